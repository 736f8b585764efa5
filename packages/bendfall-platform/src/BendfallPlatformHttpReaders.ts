/**
 * Readers that consume the response to one HTTP request as it arrives.
 *
 * @module
 */
import { createByteCollector } from './BendfallPlatformByteCollector.js'
import type { HttpResponse } from './BendfallPlatformHttp.js'

const NEWLINE_BYTE = 10

/** Consumes one response. */
export interface ResponseReader<T> {
  /** @param getHeader - returns the value of a header; empty if the response has none */
  readonly onHead: (status: number, getHeader: (name: string) => string) => void
  /** @throws Error if the response is too large, or a line was rejected */
  readonly onChunk: (chunk: Buffer) => void
  /** Returns the result; called once the response is complete. */
  readonly end: () => T
  /** Returns whether the size limit was exceeded. */
  readonly isTooLarge: () => boolean
}

/**
 * Creates a reader that buffers a complete response.
 *
 * @param maxBodyBytes - size limit of the body
 * @returns the reader
 */
export function createResponseReader (maxBodyBytes: number): ResponseReader<HttpResponse> {
  const body = createByteCollector()
  const sizeLimit = createSizeLimit(maxBodyBytes)
  let head: Omit<HttpResponse, 'body'> = { status: 0, contentType: '', contentEncoding: '', etag: '', getHeader: () => '' }
  return {
    onHead: (status, getHeader) => {
      head = { status, contentType: getHeader('content-type'), contentEncoding: getHeader('content-encoding'), etag: getHeader('etag'), getHeader }
    },
    onChunk: (chunk) => {
      sizeLimit.check(body.length() + chunk.length)
      body.append(chunk)
    },
    end: () => ({ ...head, body: body.take() }),
    isTooLarge: sizeLimit.isExceeded
  }
}

/**
 * Creates a reader that passes on each line of a response.
 *
 * @param maxLineBytes - size limit of one line
 * @param onLine - receives each line; may throw to reject it and fail the exchange
 * @returns the reader, whose result is the status
 */
export function createLineReader (maxLineBytes: number, onLine: (line: string) => void): ResponseReader<number> {
  const sizeLimit = createSizeLimit(maxLineBytes)
  const remainder = createByteCollector()
  let head = 0

  // The remainder contains no line break, so that only the chunk is scanned for one.
  function handleChunk (chunk: Buffer): void {
    const firstEnd = chunk.indexOf(NEWLINE_BYTE)
    if (firstEnd === -1) return remainder.append(chunk)
    remainder.append(chunk.subarray(0, firstEnd))
    onLine(remainder.take().toString('utf8'))
    remainder.append(emitLines(chunk.subarray(firstEnd + 1), onLine))
  }

  return {
    onHead: (status) => { head = status },
    onChunk: (chunk) => {
      handleChunk(chunk)
      sizeLimit.check(remainder.length())
    },
    end: () => {
      if (remainder.length() > 0) onLine(remainder.take().toString('utf8'))
      return head
    },
    isTooLarge: sizeLimit.isExceeded
  }
}

function emitLines (bytes: Buffer, onLine: (line: string) => void): Buffer {
  let start = 0
  for (let end = bytes.indexOf(NEWLINE_BYTE); end !== -1; end = bytes.indexOf(NEWLINE_BYTE, start)) {
    onLine(bytes.toString('utf8', start, end))
    start = end + 1
  }
  return bytes.subarray(start)
}

function createSizeLimit (maxBytes: number): { readonly check: (bytes: number) => void, readonly isExceeded: () => boolean } {
  let exceeded = false
  return {
    check: (bytes) => {
      exceeded = bytes > maxBytes
      if (exceeded) throw new Error(`response exceeds ${maxBytes} bytes`)
    },
    isExceeded: () => exceeded
  }
}
