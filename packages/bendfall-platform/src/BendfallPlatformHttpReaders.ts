/**
 * Readers that take the answer to one HTTP request as it comes.
 *
 * @module
 */
import type { HttpAnswer } from './BendfallPlatformHttp.js'

const NEWLINE_BYTE = 10

/** Takes one answer. */
export interface AnswerReader<T> {
  /** @param headerOf - reads a header; empty when the answer has none */
  readonly onHead: (status: number, headerOf: (name: string) => string) => void
  /** @throws Error when the answer is too large or a line is refused */
  readonly onChunk: (chunk: Buffer) => void
  /** Gives what was read once the answer is whole. */
  readonly end: () => T
  /** True once a limit of size was passed. */
  readonly isTooLarge: () => boolean
}

/**
 * Makes a reader of a whole answer.
 *
 * @param maxBodyBytes - longest body
 * @returns the reader
 */
export function createAnswerReader (maxBodyBytes: number): AnswerReader<HttpAnswer> {
  const chunks: Buffer[] = []
  const size = createSizeCheck(maxBodyBytes)
  let bodyBytes = 0
  let head: Omit<HttpAnswer, 'body'> = { status: 0, contentType: '', contentEncoding: '', etag: '', headerOf: () => '' }
  return {
    onHead: (status, headerOf) => {
      head = { status, contentType: headerOf('content-type'), contentEncoding: headerOf('content-encoding'), etag: headerOf('etag'), headerOf }
    },
    onChunk: (chunk) => {
      bodyBytes += chunk.length
      size.check(bodyBytes)
      chunks.push(chunk)
    },
    end: () => ({ ...head, body: Buffer.concat(chunks) }),
    isTooLarge: size.isPassed
  }
}

/**
 * Makes a reader that hands over each line of an answer.
 *
 * @param maxLineBytes - longest line
 * @param onLine - takes each line; may throw to refuse it
 * @returns the reader, which gives the status
 */
export function createLineReader (maxLineBytes: number, onLine: (line: string) => void): AnswerReader<number> {
  const size = createSizeCheck(maxLineBytes)
  let rest: Buffer = Buffer.alloc(0)
  let head = 0
  return {
    onHead: (status) => { head = status },
    onChunk: (chunk) => {
      rest = takeLines(rest.length === 0 ? chunk : Buffer.concat([rest, chunk]), onLine)
      size.check(rest.length)
    },
    end: () => {
      if (rest.length > 0) onLine(rest.toString('utf8'))
      return head
    },
    isTooLarge: size.isPassed
  }
}

function takeLines (bytes: Buffer, onLine: (line: string) => void): Buffer {
  let start = 0
  for (let end = bytes.indexOf(NEWLINE_BYTE); end !== -1; end = bytes.indexOf(NEWLINE_BYTE, start)) {
    onLine(bytes.toString('utf8', start, end))
    start = end + 1
  }
  return bytes.subarray(start)
}

function createSizeCheck (maxBytes: number): { readonly check: (bytes: number) => void, readonly isPassed: () => boolean } {
  let passed = false
  return {
    check: (bytes) => {
      passed = bytes > maxBytes
      if (passed) throw new Error(`answer is longer than ${maxBytes} bytes`)
    },
    isPassed: () => passed
  }
}
