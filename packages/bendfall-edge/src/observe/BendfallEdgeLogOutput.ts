/**
 * Log lines to standard output, bounded: a reader that is slow or gone neither
 * stalls nor grows the process. Lines about failures are dropped last.
 *
 * @module
 */
import type { Writable } from 'node:stream'

/** Lines held for a slow reader; lines of served requests are dropped beyond it. */
const SOFT_LIMIT_BYTES = 262_144

/** All lines are dropped beyond this. */
const HARD_LIMIT_BYTES = 1_048_576

/** Lines that tell of something that went wrong, or of a change of belief. */
const IMPORTANT_LINE = / level=(warn|error) | event=(refused|cut|retried|run_failed|prefill_failed|config|replica_|store_|ledger_|started|stopp)/

/** Where lines go. */
export interface LogOutput {
  readonly write: (line: string) => void
  /** Lines dropped so far. */
  readonly dropped: () => number
}

/**
 * Makes the output.
 *
 * @param stream - standard output
 * @returns the output
 */
export function createLogOutput (stream: Writable): LogOutput {
  let droppedTotal = 0
  let unreportedDropped = 0
  // A reader that is gone costs lines, not the process.
  stream.on('error', () => { droppedTotal += 1 })

  return {
    dropped: () => droppedTotal,
    write: (line) => {
      const limit = IMPORTANT_LINE.test(line) ? HARD_LIMIT_BYTES : SOFT_LIMIT_BYTES
      if (stream.writableLength > limit) {
        droppedTotal += 1
        unreportedDropped += 1
        return
      }
      if (unreportedDropped > 0) {
        stream.write(`time=${new Date().toISOString()} level=warn event=log_lines_dropped lines=${unreportedDropped}\n`)
        unreportedDropped = 0
      }
      stream.write(line)
    }
  }
}
