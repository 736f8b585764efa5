/**
 * Floor for less urgent requests. While urgent requests take all memory of a replica, a small share of
 * the granted tokens is credited to less urgent ones that ask, and the first of them goes before the
 * urgent ones once the credit covers it. Without it, a steady load of urgent work starves them. Where less
 * urgent requests are rare, no credit has built up when one asks: a single one that has waited is served on
 * credit, and further ones only once that is made up for.
 *
 * @module
 */
import type { BookingRequest, LedgerState, PendingBooking } from './BendfallRouterLedgerState.js'

/** Share of the granted prompt tokens that urgent requests yield at most. */
export const FLOOR_SHARE = 0.05

/** Time after which a request no longer shows that its priority is in use: longer than callers wait before they return. */
const IN_USE_MS = 5_000

/** Upper bound of the credit, so that a long time with few less urgent requests is not followed by a burst of them. */
const MAX_CREDIT_TOKENS = 22_000

/** Share of its caller's time after which a single less urgent request is served on credit: in the rest, memory has to become free for it. */
const FLOOR_WAIT_SHARE = 0.5

/** Account of the floor. */
export interface LedgerFloor {
  /** Prompt tokens that less urgent requests may take before urgent ones; negative after one was served on credit. */
  creditTokens: number
  /** When a request of the highest priority in use was last granted. */
  urgentGrantedAtMs: number
  /** When requests of each priority last asked. */
  readonly askedAtMs: Map<number, number>
}

/** @returns an account without credit */
export function createLedgerFloor (): LedgerFloor {
  return { creditTokens: 0, urgentGrantedAtMs: -Infinity, askedAtMs: new Map() }
}

/**
 * Records that a request asked for memory.
 *
 * @param state - changed in place
 * @param request - the booking request
 * @param nowMs - current time
 */
export function recordAsked ({ floor }: LedgerState, { priority }: BookingRequest, nowMs: number): void {
  floor.askedAtMs.set(priority, nowMs)
  for (const [other, askedAtMs] of floor.askedAtMs) {
    if (nowMs - askedAtMs > IN_USE_MS) floor.askedAtMs.delete(other)
  }
}

/**
 * Records that a request was granted: the credit grows with those of the highest priority while others are
 * in use, and shrinks with the others.
 *
 * @param state - changed in place
 * @param request - the booking request
 * @param nowMs - current time
 */
export function recordGranted (state: LedgerState, request: PendingBooking, nowMs: number): void {
  const { floor } = state
  if (!isLessUrgent(state, request, nowMs)) floor.urgentGrantedAtMs = nowMs
  if (isLessUrgent(state, request, nowMs)) floor.creditTokens = Math.max(hasWaitedForFloor(state, request, nowMs) ? -Infinity : Math.min(0, floor.creditTokens), floor.creditTokens - request.promptTokens)
  else if (floor.creditTokens < 0 || prioritiesInUse(state, nowMs).length > 1) floor.creditTokens = Math.min(MAX_CREDIT_TOKENS, floor.creditTokens + FLOOR_SHARE * request.promptTokens)
}

/**
 * Returns whether a less urgent request goes before the urgent ones.
 *
 * @param state - state of the ledger
 * @param request - the booking request
 * @param nowMs - current time
 * @returns true if the credit covers its prompt, or if it has waited and none was served on credit lately
 */
export function isPreferredByFloor (state: LedgerState, request: PendingBooking, nowMs: number): boolean {
  if (state.decisions.floor !== 'share' || !isLessUrgent(state, request, nowMs)) return false
  return state.floor.creditTokens >= request.promptTokens || hasWaitedForFloor(state, request, nowMs)
}

function hasWaitedForFloor ({ floor }: LedgerState, { askedAtMs, maxWaitMs }: PendingBooking, nowMs: number): boolean {
  return floor.creditTokens >= 0 && maxWaitMs > 0 && nowMs - askedAtMs >= FLOOR_WAIT_SHARE * maxWaitMs
}

/**
 * Returns whether a less urgent request may wait to be served on credit, although no memory beside the urgent
 * ones is forecast for it in time.
 *
 * @param state - state of the ledger
 * @param request - the booking request
 * @param nowMs - current time
 * @returns true for the only one that waits while urgent ones are granted, unless one was served on credit lately
 */
export function mayWaitForFloor (state: LedgerState, request: PendingBooking, nowMs: number): boolean {
  const { creditTokens, urgentGrantedAtMs } = state.floor
  if (state.decisions.floor !== 'share' || creditTokens < 0 || request.maxWaitMs <= 0 || nowMs - urgentGrantedAtMs > IN_USE_MS) return false
  return isLessUrgent(state, request, nowMs) && !state.waiting.some((other) => other !== request && isLessUrgent(state, other, nowMs))
}

/**
 * Returns whether requests with a higher priority use the replica.
 *
 * @param state - state of the ledger
 * @param request - the booking request
 * @param nowMs - current time
 * @returns false where all have the same priority
 */
export function isLessUrgent (state: LedgerState, { priority }: BookingRequest, nowMs: number): boolean {
  return prioritiesInUse(state, nowMs).some((other) => other < priority)
}

/**
 * Returns the highest priority that uses the replica.
 *
 * @param state - state of the ledger
 * @param nowMs - current time
 * @returns the lowest value; Infinity if none asked of late or waits
 */
export function highestPriorityInUse (state: LedgerState, nowMs: number): number {
  return Math.min(...prioritiesInUse(state, nowMs))
}

// A request that waits longer than the time in use still needs its credit.
function prioritiesInUse ({ floor, waiting }: LedgerState, nowMs: number): number[] {
  const asked = [...floor.askedAtMs].flatMap(([priority, askedAtMs]) => nowMs - askedAtMs <= IN_USE_MS ? [priority] : [])
  return [...new Set([...asked, ...waiting.map(({ priority }) => priority)])]
}
