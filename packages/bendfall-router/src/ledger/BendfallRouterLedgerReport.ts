/**
 * What a ledger learns from the reports of its replica: which bookings run or ended,
 * how fast answers grow, and what is free for those that wait with their prompt read.
 *
 * @module
 */
import type { Booking, LedgerEffect, LedgerState, ReplicaReport, ReportedRun } from './BendfallRouterLedgerState.js'
import { learnOutput } from './BendfallRouterOutputModel.js'

/** A booking whose run the replica does not report is dropped this long after its memory was due: its entry is gone. */
const UNSEEN_MS = 1_500

/** Weight of the newest reading in the learned speed. */
const SPEED_WEIGHT = 0.1

/** A request is reported this soon after it was sent: network, transfer and one step. */
const ON_THE_WAY_MS = 150

/** Growth of the other requests until a request arrives: a block for each of a dozen runs. */
const GROWTH_TOKENS = 192

/** Which run of the replica's process a report tells of, against that of the last report. */
export type ReportIncarnation = 'same' | 'new' | 'former'

/** Reports of an idle replica are 300 ms apart, and one that is 400 ms late has failed. */
const OLD_REPORT_MS = 1_000

/**
 * Compares the incarnation of a report with that of the last one.
 *
 * @param state - of the ledger
 * @param report - of the replica
 * @returns `same` where the platform does not tell the start of replicas
 */
export function incarnationOf (state: LedgerState, { startedAtMs }: ReplicaReport): ReportIncarnation {
  const knownAtMs = state.report?.startedAtMs
  if (knownAtMs === undefined || startedAtMs === undefined || knownAtMs === startedAtMs) return 'same'
  return startedAtMs > knownAtMs ? 'new' : 'former'
}

/**
 * Forgets what was booked with a process that has ended: a replica that starts again
 * under its id holds nothing of before. Those that wait go on waiting for the new one.
 *
 * @param state - changed in place
 * @param effects - refusals of confirmations are added
 */
export function forgetFormerIncarnation (state: LedgerState, effects: LedgerEffect[]): void {
  for (const { bookingId, confirm } of state.bookings.values()) {
    if (confirm !== undefined) effects.push({ type: 'confirmed', bookingId, isFree: false })
  }
  state.bookings.clear()
  state.lastRuns = new Map()
}

/**
 * Takes a report.
 *
 * @param state - changed in place
 * @param report - of the replica
 * @param nowMs - the time
 */
export function takeReport (state: LedgerState, report: ReplicaReport, nowMs: number): void {
  const runs = new Map(report.runs.map((run) => [run.requestId, run]))
  learnSpeed(state, runs, nowMs)
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
  // What the replica reported last is short of the end by a report's age at most.
  if (last !== undefined) state.output = learnOutput(state.output, booking.hintTokens, last.tokensInMemory - booking.promptTokens)
  state.bookings.delete(booking.bookingId)
}

function learnSpeed (state: LedgerState, runs: ReadonlyMap<string, ReportedRun>, nowMs: number): void {
  const elapsedMs = nowMs - state.lastReportAtMs
  for (const [requestId, run] of runs) {
    const before = state.lastRuns.get(requestId)
    if (before === undefined || before.eventsMade === 0 || elapsedMs <= 0) continue
    const grown = run.tokensInMemory - before.tokensInMemory
    if (grown > 0) state.tokensPerMs += SPEED_WEIGHT * (grown / elapsedMs - state.tokensPerMs)
  }
}

/**
 * Confirms bookings whose memory is free at the replica, in the order in which it was
 * granted. Only a report that was asked for after the confirmation shows what is free then.
 *
 * @param state - changed in place
 * @param reportAskedAtMs - when the last report was asked for
 * @param nowMs - the time
 * @param effects - answers are added
 */
export function confirmWaiting (state: LedgerState, reportAskedAtMs: number, nowMs: number, effects: LedgerEffect[]): void {
  const { report } = state
  if (report === undefined) return
  let freeTokens = report.capacityTokens - report.usedTokens - onTheWayTokens(state, nowMs)
  for (const booking of state.bookings.values()) {
    const { confirm } = booking
    if (confirm === undefined) continue
    const isFree = confirm.askedAtMs <= reportAskedAtMs && freeTokens >= booking.promptTokens + GROWTH_TOKENS
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

// Memory of requests that were sent and that the replica does not report yet.
function onTheWayTokens (state: LedgerState, nowMs: number): number {
  let tokens = 0
  for (const { confirmedAtMs, promptTokens, requestId } of state.bookings.values()) {
    const isOnTheWay = confirmedAtMs !== undefined && nowMs - confirmedAtMs < ON_THE_WAY_MS && !state.lastRuns.has(requestId)
    if (isOnTheWay) tokens += promptTokens
  }
  return tokens
}

/**
 * Tells whether what was learned of the replica is too old to grant memory by. A process
 * that stood still finds the answer of before in its connection, and asks of entries that
 * have given up.
 *
 * @param learnedAtMs - when the replica was asked
 * @param nowMs - the time
 * @returns true when only a fresh report may decide
 */
export function isOld (learnedAtMs: number, nowMs: number): boolean {
  return nowMs - learnedAtMs > OLD_REPORT_MS
}

/**
 * Drops bookings whose run the replica never showed, and slots that were not used.
 *
 * @param state - changed in place
 * @param nowMs - the time
 */
export function dropUnseen (state: LedgerState, nowMs: number): void {
  for (const booking of state.bookings.values()) {
    if (booking.slotUntilMs !== undefined && nowMs > booking.slotUntilMs) state.bookings.delete(booking.bookingId)
    const dueAtMs = booking.confirmedAtMs ?? booking.grantedAtMs + booking.leadMs
    if (nowMs > dueAtMs + UNSEEN_MS && booking.seenAtMs === undefined && booking.confirm === undefined) state.bookings.delete(booking.bookingId)
  }
}
