/**
 * Parses log lines of bendfall processes: key=value pairs, where values with
 * spaces are quoted as JSON strings.
 *
 * @module
 */

/** A parsed log line. */
export interface LogLine {
  /** Wall clock of the instance that wrote the line, in milliseconds since 1970. */
  readonly timeMs: number
  readonly instance: string
  readonly event: string
  /** All pairs except time, level, instance and event, in the order of the line. */
  readonly fields: ReadonlyMap<string, string>
}

/** Matches a line at its `time` pair, since log collectors may prepend columns of their own. */
const LINE_START = /(?:^|\s)(time=\d{4}-.*)$/

const PAIR = /([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?=\s|$)/gy

const COMMON_KEYS: ReadonlySet<string> = new Set(['time', 'level', 'instance', 'event'])

/**
 * Parses a line.
 *
 * @param text - the line without its line feed
 * @returns the parsed line, or undefined if it is not from bendfall or is truncated
 */
export function parseLogLine (text: string): LogLine | undefined {
  const start = LINE_START.exec(text)?.[1]
  const pairs = start === undefined ? undefined : parsePairs(start)
  const timeMs = Date.parse(pairs?.get('time') ?? '')
  const event = pairs?.get('event')
  const instance = pairs?.get('instance')
  // Every line has its instance before its other fields, so a line without one is truncated.
  if (pairs === undefined || event === undefined || instance === undefined || Number.isNaN(timeMs)) return undefined
  const fields = new Map([...pairs].filter(([key]) => !COMMON_KEYS.has(key)))
  return { timeMs, event, instance, fields }
}

function parsePairs (text: string): Map<string, string> | undefined {
  const pairs = new Map<string, string>()
  PAIR.lastIndex = 0
  for (let offset = 0; offset < text.length;) {
    PAIR.lastIndex = offset
    const match = PAIR.exec(text)
    if (match === null) return undefined
    const [, key = '', value = ''] = match
    pairs.set(key, value.startsWith('"') ? String(JSON.parse(value)) : value)
    offset = PAIR.lastIndex + 1
  }
  return pairs
}
