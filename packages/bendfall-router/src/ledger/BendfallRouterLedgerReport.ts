/**
 * Updates a ledger from the reports of its replica: which bookings run or have ended, how fast
 * outputs grow, and whether memory is free for requests whose prompt has been prefilled.
 *
 * @module
 */
import type { Booking, LedgerEffect, LedgerState, ReplicaReport, ReportedRun } from './BendfallRouterLedgerState.js'
import { learnOutput } from './BendfallRouterOutputModel.js'
import { learnOutputRate } from './BendfallRouterOutputRate.js'

/** A booking whose run the replica does not report is dropped this long after its memory was to be used: its entry is presumed gone. */
const UNREPORTED_BOOKING_TTL_MS = 1_500

/** Weight of the newest sample in the moving average of the output rate. */
const RATE_SAMPLE_WEIGHT = 0.1

/** Time after sending within which the replica reports a request: network, transfer and one step. */
const IN_TRANSIT_MS = 150

/** Growth of the other requests while a request is in transit: one block for each of a dozen runs. */
const IN_TRANSIT_GROWTH_TOKENS = 192

/** Incarnation of the replica's process in a report, compared with that in the last report. */
export type ReportIncarnation = 'same' | 'new' | 'former'

/** A report older than this is stale: reports of an idle replica are 300 ms apart, and a report call times out after 400 ms. */
const MAX_REPORT_AGE_MS = 1_000

/**
 * Compares the incarnation of a report with that of the last one.
 *
 * @param state - state of the ledger
 * @param report - new report of the replica
 * @returns `same` if the platform does not report when replicas started
 */
export function incarnationOf (state: LedgerState, { startedAtMs }: ReplicaReport): ReportIncarnation {
  const knownAtMs = state.report?.startedAtMs
  if (knownAtMs === undefined || startedAtMs === undefined || knownAtMs === startedAtMs) return 'same'
  return startedAtMs > knownAtMs ? 'new' : 'former'
}

/**
 * Drops the bookings of a process that has ended, since a replica that restarts under the same id
 * holds none of their memory. Pending bookings keep waiting for the new process.
 *
 * @param state - changed in place
 * @param effects - receives negative responses to pending confirmations
 */
export function dropPreviousIncarnation (state: LedgerState, effects: LedgerEffect[]): void {
  for (const { bookingId, confirm } of state.bookings.values()) {
    if (confirm !== undefined) effects.push({ type: 'confirmed', bookingId, isFree: false })
  }
  state.bookings.clear()
  state.lastRuns = new Map()
}

/**
 * Applies a report.
 *
 * @param state - changed in place
 * @param report - new report of the replica
 * @param nowMs - current time
 */
export function applyReport (state: LedgerState, report: ReplicaReport, nowMs: number): void {
  const runs = new Map(report.runs.map((run) => [run.requestId, run]))
  updateOutputRate(state, runs, nowMs)
  for (const booking of state.bookings.values()) {
    if (runs.has(booking.requestId)) booking.seenAtMs ??= nowMs
    else if (booking.seenAtMs !== undefined) endBooking(state, booking)
  }
  state.report = report
  state.isHealthy = true
  state.lastRuns = runs
  state.lastReportAtMs = nowMs
}

function endBooking (state: LedgerState, booking: Booking): void {
  const last = state.lastRuns.get(booking.requestId)
  // The last reported length is short of the final one by the output of at most one report's age.
  if (last !== undefined) state.output = learnOutput(state.output, booking.hintTokens, last.tokensInMemory - booking.promptTokens)
  state.bookings.delete(booking.bookingId)
}

function updateOutputRate (state: LedgerState, runs: ReadonlyMap<string, ReportedRun>, nowMs: number): void {
  const elapsedMs = nowMs - state.lastReportAtMs
  if (elapsedMs <= 0) return
  let observedRuns = 0
  let totalGrowthTokens = 0
  for (const [requestId, run] of runs) {
    const previous = state.lastRuns.get(requestId)
    if (previous === undefined || previous.eventsMade === 0) continue
    const growthTokens = run.tokensInMemory - previous.tokensInMemory
    observedRuns += 1
    totalGrowthTokens += Math.max(0, growthTokens)
    if (growthTokens > 0) state.tokensPerMs += RATE_SAMPLE_WEIGHT * (growthTokens / elapsedMs - state.tokensPerMs)
  }
  // Runs that did not grow count as well: a replica that allocates memory in blocks reports growth now and then.
  if (observedRuns > 0) state.outputRate = learnOutputRate(state.outputRate, totalGrowthTokens / observedRuns / elapsedMs, elapsedMs, nowMs)
}

/**
 * Responds to pending confirmations, in the order in which the bookings were granted. Memory counts as
 * free only by a report that was requested after the confirmation was.
 *
 * @param state - changed in place
 * @param reportAskedAtMs - when the last report was requested
 * @param nowMs - current time
 * @param effects - receives the responses
 */
export function answerConfirmations (state: LedgerState, reportAskedAtMs: number, nowMs: number, effects: LedgerEffect[]): void {
  const { report } = state
  if (report === undefined) return
  let freeTokens = report.capacityTokens - report.usedTokens - inTransitTokens(state, nowMs)
  for (const booking of state.bookings.values()) {
    const { confirm } = booking
    if (confirm === undefined) continue
    const isFree = confirm.askedAtMs <= reportAskedAtMs && freeTokens >= booking.promptTokens + IN_TRANSIT_GROWTH_TOKENS
    if (!isFree && nowMs < confirm.untilMs) {
      freeTokens -= booking.promptTokens
      continue
    }
    booking.confirm = undefined
    if (isFree) {
      booking.confirmedAtMs = nowMs
      freeTokens -= booking.promptTokens
    }
    effects.push({ type: 'confirmed', bookingId: booking.bookingId, isFree })
  }
}

// Memory of requests that were sent but are not reported by the replica yet.
function inTransitTokens (state: LedgerState, nowMs: number): number {
  let tokens = 0
  for (const { confirmedAtMs, promptTokens, requestId } of state.bookings.values()) {
    const isInTransit = confirmedAtMs !== undefined && nowMs - confirmedAtMs < IN_TRANSIT_MS && !state.lastRuns.has(requestId)
    if (isInTransit) tokens += promptTokens
  }
  return tokens
}

/**
 * Returns whether the latest information from the replica is too old to grant memory by it. A process that
 * was suspended first reads responses from before the pause in its connection, and booking requests of
 * entries that have given up since.
 *
 * @param learnedAtMs - when the information was requested or received
 * @param nowMs - current time
 * @returns true if only a fresh report may decide
 */
export function isReportStale (learnedAtMs: number, nowMs: number): boolean {
  return nowMs - learnedAtMs > MAX_REPORT_AGE_MS
}

/**
 * Drops bookings whose run the replica never reported, and prefill slots that were not used in time.
 *
 * @param state - changed in place
 * @param nowMs - current time
 */
export function dropUnusedBookings (state: LedgerState, nowMs: number): void {
  for (const booking of state.bookings.values()) {
    if (booking.slotUntilMs !== undefined && nowMs > booking.slotUntilMs) state.bookings.delete(booking.bookingId)
    const dueAtMs = booking.confirmedAtMs ?? booking.grantedAtMs + booking.leadMs
    if (nowMs > dueAtMs + UNREPORTED_BOOKING_TTL_MS && booking.seenAtMs === undefined && booking.confirm === undefined) state.bookings.delete(booking.bookingId)
  }
}
