/**
 * Memory that less urgent requests leave to urgent ones. In a burst of less urgent requests they would
 * fill the memory of a replica between two urgent ones, which then find none for seconds. Less urgent
 * requests are therefore granted only what remains beside the memory that urgent ones lately used.
 *
 * @module
 */
import { highestPriorityInUse, isLessUrgent, isPreferredByFloor } from './BendfallRouterLedgerFloor.js'
import { isPrefill } from './BendfallRouterLedgerSlots.js'
import type { LedgerState, PendingBooking } from './BendfallRouterLedgerState.js'

/** Half-life of the largest use: longer than a stream runs, so that a lull between urgent streams is not filled. */
const HALF_LIFE_MS = 4_000

/** Memory that urgent requests used. */
export interface UrgentUse {
  /** Largest use, decayed. */
  tokens: number
  /** Time up to which the decay is applied. */
  atMs: number
  /** Highest priority in use when it was measured. */
  priority: number
}

/**
 * Updates the memory that urgent requests use from those that run, have a booking or wait.
 *
 * @param state - changed in place
 * @param nowMs - current time
 */
export function updateUrgentUse (state: LedgerState, nowMs: number): void {
  const { urgentUse } = state
  const priority = highestPriorityInUse(state, nowMs)
  // Use by requests that only now became the less urgent ones is no reason for a reserve.
  const previousTokens = priority < urgentUse.priority ? 0 : decayedTokens(urgentUse, nowMs)
  urgentUse.tokens = Math.max(urgentTokens(state, nowMs), previousTokens)
  urgentUse.atMs = nowMs
  urgentUse.priority = priority
}

/**
 * Returns the memory that a request must leave free for urgent ones.
 *
 * @param state - state of the ledger
 * @param request - the booking request
 * @param nowMs - current time
 * @returns tokens; 0 for urgent requests, and for those that the floor lets go first
 */
export function urgentReserveTokens (state: LedgerState, request: PendingBooking, nowMs: number): number {
  if (state.decisions.urgentReserve === 'none' || isPrefill(state) || request.isContinuation) return 0
  if (!isLessUrgent(state, request, nowMs) || isPreferredByFloor(state, request, nowMs)) return 0
  return Math.max(0, decayedTokens(state.urgentUse, nowMs) - urgentTokens(state, nowMs))
}

function decayedTokens ({ atMs, tokens }: UrgentUse, nowMs: number): number {
  return tokens * 0.5 ** ((nowMs - atMs) / HALF_LIFE_MS)
}

function urgentTokens (state: LedgerState, nowMs: number): number {
  const capacityTokens = state.report?.capacityTokens ?? 0
  let tokens = 0
  for (const booking of state.bookings.values()) {
    if (!isLessUrgent(state, booking, nowMs)) tokens += state.lastRuns.get(booking.requestId)?.tokensInMemory ?? booking.promptTokens
  }
  for (const pending of state.waiting) {
    if (!isLessUrgent(state, pending, nowMs)) tokens += pending.promptTokens
  }
  return Math.min(capacityTokens, tokens)
}
