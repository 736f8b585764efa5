/**
 * Writes log lines to standard output with a bounded buffer, so that a slow or closed reader
 * neither blocks the process nor makes its memory grow. Lines about failures are dropped last.
 *
 * @module
 */
import type { Writable } from 'node:stream'

/** Buffered bytes above which lines about successful requests are dropped. */
const SOFT_LIMIT_BYTES = 262_144

/** Buffered bytes above which all lines are dropped. */
const HARD_LIMIT_BYTES = 1_048_576

/** Lines about failures, or about changes of configuration, replicas, store or ledgers. */
const IMPORTANT_LINE = / level=(warn|error) | event=(refused|cut|retried|run_failed|prefill_failed|config|replica_|store_|ledger_|started|stopp)/

/** Bounded log output. */
export interface LogOutput {
  readonly write: (line: string) => void
  /** @returns number of lines dropped since the process started */
  readonly dropped: () => number
}

/**
 * Creates a bounded log output.
 *
 * @param stream - destination, usually standard output
 * @returns the output
 */
export function createLogOutput (stream: Writable): LogOutput {
  let droppedTotal = 0
  let unreportedDropped = 0
  // Unhandled, a write error after the reader closed would end the process; it costs only log lines.
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
