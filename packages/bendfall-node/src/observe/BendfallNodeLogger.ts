/**
 * Log of a process: one line of key=value pairs for each event.
 *
 * @module
 */
import { createConsola } from 'consola/core'
import type { LogObject } from 'consola/core'
import type { LogLevel } from '../settings/BendfallNodeSettings.js'
import { formatLogLine } from './BendfallNodeLogLine.js'
import type { LogFields } from './BendfallNodeLogLine.js'

/** Writes one event to the log. */
export type LogEvent = (event: string, fields?: LogFields) => void

/** Log of a process. */
export type Logger = Readonly<Record<LogLevel, LogEvent>>

/** What a logger needs. */
export interface LoggerOptions {
  readonly level: LogLevel
  /** Pairs that stand on every line, such as the instance. */
  readonly base?: LogFields
  /** Takes a line with its line feed. Default: standard output. */
  readonly write?: (line: string) => void
  /** Wall-clock time in milliseconds. Default: the system's. */
  readonly wallMs?: () => number
}

const LEVEL_NUMBERS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 }

/**
 * Makes the log of a process.
 *
 * @param options - level, pairs of every line, and where lines go
 * @returns the logger
 */
export function createLogger (options: LoggerOptions): Logger {
  const { base = {}, level, wallMs = Date.now, write = writeToStandardOutput } = options
  const report = (entry: LogObject): void => {
    const [event, fields] = entry.args as [string, LogFields | undefined]
    const head = { time: new Date(wallMs()).toISOString(), level: entry.type, event, ...base }
    write(`${formatLogLine({ ...head, ...fields, ...head })}\n`)
  }
  const consola = createConsola({ level: LEVEL_NUMBERS[level], reporters: [{ log: report }], throttle: 0 })
  return {
    error: (event, fields) => consola.error(event, fields),
    warn: (event, fields) => consola.warn(event, fields),
    info: (event, fields) => consola.info(event, fields),
    debug: (event, fields) => consola.debug(event, fields)
  }
}

function writeToStandardOutput (line: string): void {
  process.stdout.write(line)
}
