/**
 * Computes fingerprints of requests. Equal requests of a caller have the same fingerprint,
 * regardless of the entry that receives them and of their request ids.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'

/** Parts of a request that identify its content and its caller. */
export interface FingerprintInput {
  readonly method: string
  /** Path including the query. */
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** 64 bits: among a million requests the probability of a collision is 1 in 37 million. */
const FINGERPRINT_DIGITS = 16

/**
 * Computes the fingerprint of a request. The host identifies the customer. The caller is
 * identified by its credentials, if any, and not by its address, which may be that of a gateway.
 *
 * @param input - parts of the request to hash
 * @returns the fingerprint as hexadecimal digits
 */
export function fingerprintOf ({ body, headers, method, path }: FingerprintInput): string {
  const head = JSON.stringify([method, headers.host ?? '', path, headers.authorization ?? ''])
  return createHash('sha256').update(head).update(body).digest('hex').slice(0, FINGERPRINT_DIGITS)
}
