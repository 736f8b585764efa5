/**
 * Detection of responses that end within their head. The HTTP client takes a head for complete before the last
 * byte of its empty line. If the connection ends there and delimits the body, it reports a complete response without a body.
 *
 * @module
 */

/** End of the last field and the empty line. */
const HEAD_END = '\r\n\r\n'

/** Last bytes that a connection has received. */
export interface HeadEnd {
  /** Records received data. */
  readonly record: (chunk: Uint8Array) => void
  /** @returns whether the data ends with an empty line, as a complete head does */
  readonly isReceived: () => boolean
}

/**
 * Creates a detector for one connection.
 *
 * @returns the detector, which has received nothing
 */
export function createHeadEnd (): HeadEnd {
  let last = ''
  return {
    record: (chunk) => { last = (last + Buffer.from(chunk.subarray(-HEAD_END.length)).toString('latin1')).slice(-HEAD_END.length) },
    isReceived: () => last === HEAD_END
  }
}
