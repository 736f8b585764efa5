/**
 * The payload of the PING frames by which an entry proves that it lives: a
 * mark and a digest of its incarnation. So a connection tells whose it is
 * without a message, and each heartbeat costs 34 bytes with its answer.
 *
 * @module
 */
import { createHash } from 'node:crypto'

/** Tells a heartbeat from the PING frames that check a connection. */
const MARK = Buffer.from('bf')

/** Bytes of a PING payload that are left for the digest. */
const DIGEST_BYTES = 6

/**
 * Makes the digest that stands for an incarnation on the wire.
 *
 * @param incarnation - incarnation of a process
 * @returns twelve hexadecimal digits
 */
export function incarnationDigest (incarnation: string): string {
  return createHash('sha256').update(incarnation).digest().subarray(0, DIGEST_BYTES).toString('hex')
}

/**
 * Makes the payload of an entry's heartbeats.
 *
 * @param incarnation - incarnation of the entry
 * @returns eight bytes
 */
export function encodeHeartbeat (incarnation: string): Buffer {
  return Buffer.concat([MARK, Buffer.from(incarnationDigest(incarnation), 'hex')])
}

/**
 * Reads the payload of a PING frame.
 *
 * @param payload - eight bytes
 * @returns digest of the sender's incarnation, undefined when it is no heartbeat
 */
export function decodeHeartbeat (payload: Buffer): string | undefined {
  if (!payload.subarray(0, MARK.length).equals(MARK)) return undefined
  return payload.subarray(MARK.length).toString('hex')
}
