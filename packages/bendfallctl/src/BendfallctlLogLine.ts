/**
 * Reads log lines of bendfall's processes: key=value pairs, values with spaces
 * quoted as JSON.
 *
 * @module
 */

/** One line of a log. */
export interface LogLine {
  /** Wall clock of the instance that wrote it, in milliseconds since 1970. */
  readonly timeMs: number
  readonly instance: string
  readonly event: string
  /** All pairs but time, level, instance and event, in their order. */
  readonly fields: ReadonlyMap<string, string>
}

/** Collectors put their own columns before the line. */
const LINE_START = /(?:^|\s)(time=\d{4}-.*)$/

const PAIR = /([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?=\s|$)/gy

const OWN_KEYS: ReadonlySet<string> = new Set(['time', 'level', 'instance', 'event'])

/**
 * Reads a line.
 *
 * @param text - the line, without its line feed
 * @returns the line, or undefined when it is none of bendfall's or was cut
 */
export function readLogLine (text: string): LogLine | undefined {
  const start = LINE_START.exec(text)?.[1]
  const pairs = start === undefined ? undefined : readPairs(start)
  const timeMs = Date.parse(pairs?.get('time') ?? '')
  const event = pairs?.get('event')
  const instance = pairs?.get('instance')
  // Every line names its instance before what it tells: without one it was cut.
  if (pairs === undefined || event === undefined || instance === undefined || Number.isNaN(timeMs)) return undefined
  const fields = new Map([...pairs].filter(([key]) => !OWN_KEYS.has(key)))
  return { timeMs, event, instance, fields }
}

function readPairs (text: string): Map<string, string> | undefined {
  const pairs = new Map<string, string>()
  PAIR.lastIndex = 0
  for (let at = 0; at < text.length;) {
    PAIR.lastIndex = at
    const match = PAIR.exec(text)
    if (match === null) return undefined
    const [, key = '', value = ''] = match
    pairs.set(key, value.startsWith('"') ? String(JSON.parse(value)) : value)
    at = PAIR.lastIndex + 1
  }
  return pairs
}
