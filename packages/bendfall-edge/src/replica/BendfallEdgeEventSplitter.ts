/**
 * Splits a stream of server-sent events into complete events, so that another replica can resume
 * the stream after the last one.
 *
 * @module
 */

import { createByteCollector } from 'bendfall-platform'

/** Complete events of a chunk and the position in the stream. */
export interface CompleteEvents {
  readonly bytes: Buffer
  /** Latest id of a complete event so far; absent before the first id. */
  readonly lastEventId?: string
  /** Number of complete events so far. */
  readonly count: number
}

/** Incremental splitter of an event stream. */
export interface EventSplitter {
  /** Adds a chunk and returns the events that it completes; the remaining bytes are kept for the next chunk. */
  readonly push: (chunk: Buffer) => CompleteEvents
  /** Returns the bytes after the last complete event. */
  readonly tail: () => Buffer
  /** Returns whether these bytes are part of an event. */
  readonly isWithinEvent: () => boolean
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const CR_LF = '\r\n'
const ID_LINE = /^id: ?(.*)$/

/**
 * Creates a splitter for one stream.
 *
 * @returns the splitter
 */
export function createEventSplitter (): EventSplitter {
  const pending = createByteCollector()
  const scan: ScanPosition = { at: 0, lineStart: 0 }
  let lastEventId: string | undefined
  let count = 0

  function push (chunk: Buffer): CompleteEvents {
    pending.append(chunk)
    const text = pending.peek()
    let end = 0
    for (let at = findEventEnd(text, 0, scan); at > 0; at = findEventEnd(text, end, scan)) {
      lastEventId = readEventId(text.subarray(end, at)) ?? lastEventId
      count += 1
      end = at
    }
    if (end > 0) {
      pending.append(pending.take().subarray(end))
      scan.at -= end
      scan.lineStart -= end
    }
    return { bytes: text.subarray(0, end), lastEventId, count }
  }

  return { push, tail: pending.peek, isWithinEvent: () => hasText(pending.peek()) }
}

/** Where the next scan begins, so that an event in many chunks is scanned once. */
interface ScanPosition {
  at: number
  /** Start of the line at this position. */
  lineStart: number
}

// Returns the end of the next event, or -1. An event ends with an empty line, and lines end with LF,
// CR LF or CR. A CR at the end of the chunk waits for an LF only if earlier lines ended with CR LF.
function findEventEnd (text: Buffer, from: number, scan: ScanPosition): number {
  let { at, lineStart } = scan
  for (; at < text.length; at++) {
    if (!isLineBreak(text[at])) continue
    const isEmptyLine = at === lineStart
    const isLastCarriageReturn = at + 1 === text.length && text[at] === CARRIAGE_RETURN
    if (isLastCarriageReturn && (!isEmptyLine || text.subarray(from, at).includes(CR_LF))) break
    const lineEnd = text[at] === CARRIAGE_RETURN && text[at + 1] === LINE_FEED ? at + 1 : at
    if (isEmptyLine && lineEnd > from && hasText(text.subarray(from, at))) {
      Object.assign(scan, { at: lineEnd + 1, lineStart: lineEnd + 1 })
      return lineEnd + 1
    }
    at = lineEnd
    lineStart = lineEnd + 1
  }
  Object.assign(scan, { at, lineStart })
  return -1
}

function isLineBreak (byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN
}

function hasText (bytes: Buffer): boolean {
  return bytes.some((byte) => !isLineBreak(byte))
}

function readEventId (event: Buffer): string | undefined {
  const lines = event.toString('utf8').split(/\r\n|\r|\n/)
  return lines.map((line) => ID_LINE.exec(line)?.[1]).filter((id) => id !== undefined).at(-1)
}
