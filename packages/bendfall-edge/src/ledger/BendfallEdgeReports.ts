/**
 * Reads the reports of the model replica beside this process and feeds its ledger
 * with them: often while requests wait, rarely while it is idle.
 *
 * @module
 */
import type { Clock, Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { createSignal } from 'bendfall-node'
import { incarnationOf } from 'bendfall-router'
import type { LedgerEffect, LedgerEvent, LedgerState } from 'bendfall-router'
import type { EngineReport, ReplicaDialect } from '../BendfallEdgeDialect.js'
import { createReportCalls } from './BendfallEdgeReportCalls.js'
import type { ReadReport } from './BendfallEdgeReportCalls.js'

/** Between two reports while requests wait for memory: as long as a dozen steps, in which one of them may end. */
const WAITING_PERIOD_MS = 50

/** The same while requests only run or are on their way: nobody waits for a report, and each answer lasts seconds. */
const BUSY_PERIOD_MS = 150

/** Between two reports while a request waits with its prompt read: each of them costs the caller that much. */
const CONFIRM_PERIOD_MS = 15

/** Between two reports of an idle replica. */
const IDLE_PERIOD_MS = 300

/** Reports that fail in a row before the replica counts as unhealthy. */
const FAILURES_TO_UNHEALTHY = 2

/** What following needs. */
export interface ReportsOptions {
  /** `ip:port` of the replica. */
  readonly replicaAddress: string
  readonly dialect: ReplicaDialect
  readonly clock: Clock
  readonly logger: Logger
  readonly loop: UpdateLoop<LedgerEvent, LedgerEffect>
  /** @returns state of the ledger */
  readonly state: () => LedgerState
}

/** Reports that are followed. */
export interface Reports {
  /** Asks for a report before the next one is due. */
  readonly wanted: () => void
  readonly close: Teardown
}

/**
 * Starts to follow the reports.
 *
 * @param options - replica and ledger
 * @returns the reports
 */
export function followReports (options: ReportsOptions): Reports {
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

  function recordReport (report: EngineReport, askedAtMs: number): void {
    if (failures >= FAILURES_TO_UNHEALTHY) logger.info('replica_regained', { address: replicaAddress })
    failures = 0
    if (incarnationOf(state(), report) !== 'same') logger.info('replica_restarted', { address: replicaAddress, formerStartedAtMs: state().report?.startedAtMs, startedAtMs: report.startedAtMs })
    logger.debug('report', { ...report, runs: report.runs.length })
    loop.dispatch({ type: 'report_read', report, askedAtMs })
  }

  async function readReport (): Promise<ReadReport | undefined> {
    const read = await calls.read()
    if (read === undefined || !isSuspectRepeat(state(), read)) return read
    return await calls.readOnNewConnection() ?? read
  }

  async function poll (): Promise<void> {
    while (!ended.signal.aborted) {
      const askedAtMs = clock.nowMs()
      const read = await readReport()
      if (read === undefined) recordFailure()
      else recordReport(read.report, askedAtMs)
      await wakeUp.wait(pollPeriodMs(state(), askedAtMs), ended.signal)
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

// Reports of a replica that works differ from one to the next. One that came before may be a
// second answer: it would confirm memory that is taken by now, or end runs that have begun.
function isSuspectRepeat (state: LedgerState, { isRepeat, report }: ReadReport): boolean {
  if (!isRepeat) return false
  const isConfirming = [...state.bookings.values()].some(({ confirm }) => confirm !== undefined)
  return isConfirming || report.active > 0 || state.lastRuns.size > 0
}

// A confirmation that came while the report was on its way needs another one at once.
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
