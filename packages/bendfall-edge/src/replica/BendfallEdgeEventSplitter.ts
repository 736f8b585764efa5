/**
 * Cuts a stream of server-sent events into whole events, so that another
 * replica can go on behind the last one.
 *
 * @module
 */

/** Whole events of a chunk and the id of the last one. */
export interface WholeEvents {
  readonly bytes: Buffer
  /** Id of the last whole event so far; absent before the first. */
  readonly lastEventId?: string
  /** Number of whole events so far. */
  readonly count: number
}

/** Cuts a stream. */
export interface EventSplitter {
  /** Takes a chunk and gives the events that it completes; what follows them is kept for the next one. */
  readonly take: (chunk: Buffer) => WholeEvents
  /** What followed the last whole event so far. */
  readonly tail: () => Buffer
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_LINE = /^id: ?(.*)$/

/**
 * Makes a splitter.
 *
 * @returns the splitter
 */
export function createEventSplitter (): EventSplitter {
  let rest: Buffer = Buffer.alloc(0)
  let lastEventId: string | undefined
  let count = 0

  function take (chunk: Buffer): WholeEvents {
    const text = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
    let end = 0
    for (let at = findEventEnd(text, 0); at > 0; at = findEventEnd(text, end)) {
      lastEventId = readId(text.subarray(end, at)) ?? lastEventId
      count += 1
      end = at
    }
    rest = Buffer.from(text.subarray(end))
    return { bytes: text.subarray(0, end), lastEventId, count }
  }

  return { take, tail: () => rest }
}

// An event ends with an empty line.
function findEventEnd (text: Buffer, from: number): number {
  let lineStart = from
  for (let at = text.indexOf(LINE_FEED, from); at >= 0; at = text.indexOf(LINE_FEED, at + 1)) {
    const length = at > lineStart && text[at - 1] === CARRIAGE_RETURN ? at - 1 - lineStart : at - lineStart
    if (length === 0 && at > from) return at + 1
    lineStart = at + 1
  }
  return -1
}

function readId (event: Buffer): string | undefined {
  const lines = event.toString('utf8').split(/\r?\n/)
  return lines.map((line) => ID_LINE.exec(line)?.[1]).filter((id) => id !== undefined).at(-1)
}
