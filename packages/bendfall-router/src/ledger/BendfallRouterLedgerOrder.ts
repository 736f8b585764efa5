/**
 * Order of the requests that wait at one replica while they ask for more memory than it has: those that
 * continue a stream, since other replicas may not be able to; then by priority, with a floor for less
 * urgent ones; then customers within their share; then those that can meet their latency targets, by target, and late
 * ones, by the time that their callers have left.
 *
 * @module
 */
import { isPreferredByFloor } from './BendfallRouterLedgerFloor.js'
import { isOverShare } from './BendfallRouterLedgerShares.js'
import type { LedgerState, PendingBooking } from './BendfallRouterLedgerState.js'
import { isLate, targetGrantAtMs } from './BendfallRouterLedgerTargets.js'
import { latestGrantAtMs } from './BendfallRouterLedgerWait.js'

/**
 * Sorts the requests that wait, or would wait, by the order in which they are granted.
 *
 * @param state - state of the ledger
 * @param pending - requests to sort
 * @param nowMs - current time
 * @returns the first to be granted first
 */
export function sortPendingBookings (state: LedgerState, pending: readonly PendingBooking[], nowMs: number): PendingBooking[] {
  const { decisions } = state
  const shareRank = (one: PendingBooking): number => isOverShare(state, one, nowMs) ? 1 : 0
  const newRank = ({ isContinuation }: PendingBooking): number => isContinuation ? 0 : 1
  const lateRank = (one: PendingBooking): number => isLate(state, one, nowMs) ? 1 : 0
  const dueMs = (one: PendingBooking): number => decisions.late === 'among' || isLate(state, one, nowMs) ? latestGrantAtMs(one) : targetGrantAtMs(one)
  const orderMs = decisions.queueOrder === 'due_first' ? dueMs : ({ askedAtMs }: PendingBooking) => askedAtMs
  const sorted = [...pending].sort((a, b) => newRank(a) - newRank(b) || a.priority - b.priority || shareRank(a) - shareRank(b) || lateRank(a) - lateRank(b) || orderMs(a) - orderMs(b))
  const preferred = sorted.find((one) => isPreferredByFloor(state, one, nowMs))
  return preferred === undefined ? sorted : insertAfterContinuations(sorted.filter((one) => one !== preferred), preferred)
}

function insertAfterContinuations (sorted: readonly PendingBooking[], preferred: PendingBooking): PendingBooking[] {
  const index = sorted.filter(({ isContinuation }) => isContinuation).length
  return [...sorted.slice(0, index), preferred, ...sorted.slice(index)]
}

/**
 * Returns the waiting requests that are granted before a new one.
 *
 * @param state - state of the ledger
 * @param request - new request, which does not wait yet
 * @param nowMs - current time
 * @returns all that wait, where the settings judge a request by all of them
 */
export function pendingAheadOf (state: LedgerState, request: PendingBooking, nowMs: number): readonly PendingBooking[] {
  if (state.decisions.admission === 'all_waiting') return state.waiting
  const sorted = sortPendingBookings(state, [...state.waiting, request], nowMs)
  return sorted.slice(0, sorted.indexOf(request))
}
