/**
 * Polls the reports of the model replica beside this process and passes them to its ledger. The
 * polling interval is short while requests wait and long while the replica is idle.
 *
 * @module
 */
import type { Clock, Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { createSignal } from 'bendfall-node'
import { incarnationOf } from 'bendfall-router'
import type { LedgerEffect, LedgerEvent, LedgerState } from 'bendfall-router'
import type { ReplicaDialect } from '../BendfallEdgeDialect.js'
import { createReportCalls } from './BendfallEdgeReportCalls.js'
import type { ReadReport } from './BendfallEdgeReportCalls.js'

/** Polling interval while requests wait for memory: about a dozen decode steps, within which a run may end. */
const WAITING_PERIOD_MS = 50

/** Polling interval while requests only run or are on their way: nothing waits for a report, and responses last seconds. */
const BUSY_PERIOD_MS = 150

/** Polling interval while a request whose prompt is processed waits for confirmation; each interval adds to the caller's latency. */
const CONFIRM_PERIOD_MS = 15

/** Polling interval of an idle replica. */
const IDLE_PERIOD_MS = 300

/** Number of consecutive failed reports after which the replica counts as unhealthy. */
const FAILURES_TO_UNHEALTHY = 2

/** Options of the polling. */
export interface ReportPollingOptions {
  /** `ip:port` of the replica. */
  readonly replicaAddress: string
  readonly dialect: ReplicaDialect
  readonly clock: Clock
  readonly logger: Logger
  readonly loop: UpdateLoop<LedgerEvent, LedgerEffect>
  /** @returns current state of the ledger */
  readonly state: () => LedgerState
}

/** Running polling of reports. */
export interface ReportPolling {
  /** Requests a report immediately instead of at the next interval. */
  readonly wanted: () => void
  readonly close: Teardown
}

/**
 * Starts polling the reports.
 *
 * @param options - replica and ledger
 * @returns the running polling
 */
export function startReportPolling (options: ReportPollingOptions): ReportPolling {
  const { clock, dialect, logger, loop, replicaAddress, state } = options
  const calls = createReportCalls(replicaAddress, dialect, clock)
  const ended = new AbortController()
  const wakeUp = createSignal(clock)
  let failures = 0

  function recordFailure (): void {
    failures += 1
    if (failures === FAILURES_TO_UNHEALTHY) logger.warn('replica_lost', { address: replicaAddress })
    if (failures >= FAILURES_TO_UNHEALTHY) loop.dispatch({ type: 'report_failed' })
  }

  function recordReport ({ askedAtMs, report }: ReadReport): void {
    if (failures >= FAILURES_TO_UNHEALTHY) logger.info('replica_regained', { address: replicaAddress })
    failures = 0
    if (incarnationOf(state(), report) !== 'same') logger.info('replica_restarted', { address: replicaAddress, formerStartedAtMs: state().report?.startedAtMs, startedAtMs: report.startedAtMs })
    logger.debug('report', { ...report, runs: report.runs.length })
    loop.dispatch({ type: 'report_read', report, askedAtMs })
  }

  async function readReport (): Promise<ReadReport | undefined> {
    const read = await calls.read()
    if (read === undefined || !isSuspectRepeat(state(), read)) return read
    // Without a new connection it may be a duplicate, so that it tells nothing newer than the first one.
    return await calls.readOnNewConnection() ?? { ...read, askedAtMs: read.firstAskedAtMs }
  }

  async function poll (): Promise<void> {
    while (!ended.signal.aborted) {
      const startedAtMs = clock.nowMs()
      const read = await readReport()
      if (ended.signal.aborted) return
      if (read === undefined) recordFailure()
      else recordReport(read)
      await wakeUp.wait(pollPeriodMs(state(), read?.askedAtMs ?? startedAtMs), ended.signal)
    }
  }

  poll().catch((error: unknown) => logger.error('report_loop_ended', { error }))
  return {
    wanted: () => wakeUp.notify(),
    close: () => {
      ended.abort()
      calls.close()
    }
  }
}

// Successive reports of a busy replica differ. A repeated body may be a duplicate response to an
// earlier request, which would confirm memory that is occupied by now or end runs that have begun.
function isSuspectRepeat (state: LedgerState, { isRepeat, report }: ReadReport): boolean {
  if (!isRepeat) return false
  const isConfirming = [...state.bookings.values()].some(({ confirm }) => confirm !== undefined)
  return isConfirming || report.active > 0 || state.lastRuns.size > 0
}

// A confirmation that was requested while the report was being fetched needs a new report at once.
function pollPeriodMs (state: LedgerState, reportAskedAtMs: number): number {
  const confirms = [...state.bookings.values()].flatMap(({ confirm }) => confirm ?? [])
  if (confirms.some(({ askedAtMs }) => askedAtMs > reportAskedAtMs)) return 0
  if (confirms.length > 0) return CONFIRM_PERIOD_MS
  if (state.waiting.length > 0) return WAITING_PERIOD_MS
  return isBusy(state) ? BUSY_PERIOD_MS : IDLE_PERIOD_MS
}

function isBusy (state: LedgerState): boolean {
  return state.bookings.size + state.waiting.length + state.lastRuns.size > 0 || (state.report?.active ?? 0) > 0
}
