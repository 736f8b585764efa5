/**
 * Envelopes of Connect's streaming protocol: a byte of flags, the length as
 * 32 bits in network order, the message.
 *
 * @module
 */

import { createByteCollector } from 'bendfall-platform'

/** Flag of the last envelope of a stream; its message is JSON. */
export const END_STREAM_FLAG = 0b10

const HEAD_BYTES = 5
const LENGTH_OFFSET = 1

/**
 * Puts a message into an envelope.
 *
 * @param flags - 0 or {@link END_STREAM_FLAG}
 * @param message - bytes of the message
 * @returns the envelope
 */
export function encodeEnvelope (flags: number, message: Uint8Array): Buffer {
  const envelope = Buffer.allocUnsafe(HEAD_BYTES + message.byteLength)
  envelope[0] = flags
  envelope.writeUInt32BE(message.byteLength, LENGTH_OFFSET)
  envelope.set(message, HEAD_BYTES)
  return envelope
}

/** Takes the message of one envelope; the bytes are valid during the call. */
export type EnvelopeListener = (flags: number, message: Uint8Array) => void

/**
 * Makes a reader that finds envelopes in the chunks of a stream.
 *
 * @param maxBytes - longest message
 * @param onEnvelope - takes each envelope in order
 * @returns takes the next chunk; throws RangeError on a message that is longer
 */
export function createEnvelopeReader (maxBytes: number, onEnvelope: EnvelopeListener): (chunk: Buffer) => void {
  const rest = createByteCollector()
  return (chunk) => {
    const isContinued = rest.length() > 0
    if (isContinued) rest.append(chunk)
    const bytes = isContinued ? rest.peek() : chunk
    const offset = readEnvelopes(bytes, maxBytes, onEnvelope)
    if (isContinued && offset === 0) return
    if (isContinued) rest.take()
    if (offset < bytes.byteLength) rest.append(bytes.subarray(offset))
  }
}

// Returns where the first incomplete envelope begins.
function readEnvelopes (bytes: Buffer, maxBytes: number, onEnvelope: EnvelopeListener): number {
  let offset = 0
  while (bytes.byteLength - offset >= HEAD_BYTES) {
    const length = bytes.readUInt32BE(offset + LENGTH_OFFSET)
    if (length > maxBytes) throw new RangeError(`message of ${length} bytes`)
    const end = offset + HEAD_BYTES + length
    if (end > bytes.byteLength) break
    onEnvelope(bytes[offset], bytes.subarray(offset + HEAD_BYTES, end))
    offset = end
  }
  return offset
}
