/**
 * Collects the bytes of a body that arrives in chunks.
 *
 * @module
 */

/** Bytes received so far. */
export interface ByteCollector {
  /** Number of bytes. */
  readonly length: () => number
  readonly append: (chunk: Uint8Array) => void
  /** Returns a view of the bytes, which is valid until more are appended. */
  readonly peek: () => Buffer
  /** Returns the bytes and starts over. */
  readonly take: () => Buffer
}

const INITIAL_BYTES = 1_024

/**
 * Creates an empty collector. It copies the chunks: one that is kept costs a buffer object besides its bytes, which
 * for a body in chunks of one byte is most of the memory.
 *
 * @returns the collector
 */
export function createByteCollector (): ByteCollector {
  let buffer: Buffer = Buffer.alloc(0)
  let length = 0
  return {
    length: () => length,
    append: (chunk) => {
      if (length + chunk.length > buffer.length) {
        const grown = Buffer.allocUnsafeSlow(Math.max(length + chunk.length, 2 * buffer.length, INITIAL_BYTES))
        buffer.copy(grown, 0, 0, length)
        buffer = grown
      }
      buffer.set(chunk, length)
      length += chunk.length
    },
    peek: () => buffer.subarray(0, length),
    take: () => {
      const bytes = buffer.subarray(0, length)
      buffer = Buffer.alloc(0)
      length = 0
      return bytes
    }
  }
}
