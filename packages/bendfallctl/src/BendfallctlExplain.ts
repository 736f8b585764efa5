/**
 * Merges the logs of several processes to show all lines of one request, or to
 * list the failed requests by cause.
 *
 * @module
 */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { CommandResult } from './BendfallctlExit.js'
import { createOutcomeRecorder, OUTCOME_COLUMNS } from './BendfallctlExplainOutcomes.js'
import type { LateCause, OutcomesOfSecond } from './BendfallctlExplainOutcomes.js'
import { parseLogLine } from './BendfallctlLogLine.js'
import type { LogLine } from './BendfallctlLogLine.js'

/** Maximum number of unfinished requests to track. Beyond it the oldest are dropped, so that a log of any size can be read. */
const MAX_OPEN_REQUESTS = 100_000

/** Maximum number of request ids listed for each cause. */
const MAX_SHOWN_IDS = 5

/** Events that show what went wrong with a request before its terminal event. */
const INTERMEDIATE_FAILURES: ReadonlySet<string> = new Set([
  'crash_cause', 'memory_occupied', 'permits_lacking', 'prefill_failed', 'prefill_slot_refused', 'prefill_slot_unreachable', 'reservation_refused', 'reservation_unreachable', 'retried', 'run_failed', 'try_timed_out', 'units_refused'
])

/** Terminal events of requests that did not get a complete response. */
const FAILED_END_EVENTS: ReadonlySet<string> = new Set(['refused', 'cut', 'cancelled'])

/** Requests that failed for the same cause. */
export interface FailureCause {
  readonly cause: string
  readonly count: number
  /** Ids of at most {@link MAX_SHOWN_IDS} of these requests. */
  readonly requestIds: readonly string[]
}

interface ReadOutcome {
  /** Number of lines that could not be parsed. */
  readonly unreadLines: number
  /** Paths of files that could not be read, each with the reason. */
  readonly unreadFiles: readonly string[]
}

/**
 * Collects all log lines of one request.
 *
 * @param requestId - id of the request
 * @param files - paths of logs of entries and sidecars, in any order
 * @returns the lines in order of time; exit `failed` if no line has the id, `findings` if a file can't be read
 */
export async function explainRequest (requestId: string, files: readonly string[]): Promise<CommandResult> {
  const lines: LogLine[] = []
  const outcome = await readFiles(files, (line) => { if (requestIdOf(line) === requestId) lines.push(line) })
  // The sort is stable: lines of one instance with the same time stay in the order in which it wrote them.
  lines.sort((a, b) => a.timeMs - b.timeMs)
  const firstMs = lines[0]?.timeMs ?? 0
  const formattedLines = lines.map((line) => formatLine(line, firstMs))
  const text = [...(lines.length === 0 ? [`no line has the request ${requestId}`] : formattedLines), ...formatUnread(outcome)].join('\n')
  const json = { requestId, lines: lines.map(({ fields, ...line }) => ({ ...line, fields: Object.fromEntries(fields) })), ...outcome }
  return { exit: exitNameOf(outcome, lines.length > 0), text, json }
}

/**
 * Lists failed requests by cause, late responses by the step with the longest
 * wait, and the number of outcomes in each second.
 *
 * @param files - paths of logs of entries, in any order
 * @returns the causes, most frequent first; exit `findings` if a file can't be read
 */
export async function explainFailures (files: readonly string[]): Promise<CommandResult> {
  const lastFailures = new Map<string, string>()
  const causes = new Map<string, string[]>()
  const recorder = createOutcomeRecorder()
  const outcome = await readFiles(files, (line) => {
    recordLine(line, lastFailures, causes)
    const requestId = requestIdOf(line)
    // Sidecars log the same request concurrently with its entry. Only the entry's lines, which have the field `request`, are steps.
    if (requestId !== undefined && line.fields.has('request')) recorder.record(requestId, line)
  })
  const rows = [...causes].map(([cause, ids]): FailureCause => ({ cause, count: ids.length, requestIds: ids.slice(0, MAX_SHOWN_IDS) })).sort((a, b) => b.count - a.count)
  const text = rows.map(({ cause, count, requestIds }) => `${String(count).padStart(6)}  ${cause}  ${requestIds.join(' ')}`)
  const late = recorder.late()
  const seconds = recorder.seconds()
  const lines = [...(rows.length === 0 ? ['no failed request'] : text), ...describeLate(late), ...describeSeconds(seconds), ...formatUnread(outcome)]
  return { exit: exitNameOf(outcome, true), text: lines.join('\n'), json: { causes: rows, late, seconds, ...outcome } }
}

function describeLate (late: readonly LateCause[]): string[] {
  return late.map(({ cause, count, meanMs }) => `${String(count).padStart(6)}  late, longest wait before ${cause}, ${meanMs} ms on average`)
}

function describeSeconds (seconds: readonly OutcomesOfSecond[]): string[] {
  if (seconds.length === 0) return []
  const head = ['second', ...OUTCOME_COLUMNS].map((name) => name.padStart(9)).join(' ')
  return ['', head, ...seconds.map((row) => [row.second, ...OUTCOME_COLUMNS.map((name) => row[name])].map((value) => String(value).padStart(9)).join(' '))]
}

function recordLine (line: LogLine, lastFailures: Map<string, string>, causes: Map<string, string[]>): void {
  const requestId = requestIdOf(line)
  if (requestId === undefined) return
  if (INTERMEDIATE_FAILURES.has(line.event)) {
    lastFailures.set(requestId, describeFailure(line))
    if (lastFailures.size > MAX_OPEN_REQUESTS) lastFailures.delete(lastFailures.keys().next().value as string)
    return
  }
  if (FAILED_END_EVENTS.has(line.event)) {
    const cause = describeEnd(line, lastFailures.get(requestId))
    const ids = causes.get(cause) ?? []
    ids.push(requestId)
    causes.set(cause, ids)
  }
  if (FAILED_END_EVENTS.has(line.event) || line.event === 'answered') lastFailures.delete(requestId)
}

function describeFailure ({ event, fields }: LogLine): string {
  return [event, fields.get('traits') ?? fields.get('fingerprint') ?? fields.get('role') ?? fields.get('failure') ?? fields.get('cause') ?? fields.get('phase')].filter((part) => part !== undefined).join(' ')
}

function describeEnd ({ event, fields }: LogLine, lastFailure: string | undefined): string {
  const words = [event, fields.get('status'), fields.get('reason'), fields.has('phase') ? `in ${fields.get('phase')}` : undefined]
  return [...words, lastFailure === undefined ? undefined : `after ${lastFailure}`].filter((part) => part !== undefined).join(' ')
}

// Lines of a sidecar name a booking instead of a request; a booking id is the request id and a number.
function requestIdOf ({ fields }: LogLine): string | undefined {
  const booking = fields.get('booking')
  return fields.get('request') ?? (booking === undefined ? undefined : booking.slice(0, booking.lastIndexOf('/')))
}

function formatLine ({ event, fields, instance, timeMs }: LogLine, firstMs: number): string {
  const pairs = [...fields].filter(([key]) => key !== 'request').map(([key, value]) => `${key}=${value}`)
  return `${String(timeMs - firstMs).padStart(7)} ms  ${instance}  ${event}  ${pairs.join(' ')}`.trimEnd()
}

async function readFiles (files: readonly string[], onLine: (line: LogLine) => void): Promise<ReadOutcome> {
  const unreadFiles: string[] = []
  let unreadLines = 0
  for (const file of files) {
    try {
      for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
        const line = parseLogLine(text)
        if (line !== undefined) onLine(line)
        else if (text.trim() !== '') unreadLines += 1
      }
    } catch (error) {
      unreadFiles.push(`${file}: ${error instanceof Error ? error.message : String(error)}`)
    }
  }
  return { unreadFiles, unreadLines }
}

function formatUnread ({ unreadFiles, unreadLines }: ReadOutcome): string[] {
  const lines = unreadLines === 0 ? [] : [`${unreadLines} lines are not from bendfall or are truncated`]
  return [...lines, ...unreadFiles.map((file) => `not read: ${file}`)]
}

function exitNameOf ({ unreadFiles }: ReadOutcome, isFound: boolean): CommandResult['exit'] {
  if (unreadFiles.length > 0) return 'findings'
  return isFound ? 'done' : 'failed'
}
