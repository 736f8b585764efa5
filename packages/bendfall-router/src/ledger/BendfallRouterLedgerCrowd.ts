/**
 * Crowds: while some that can be on time wait for a replica, late ones are refused
 * there and told to come back, since they would be held for nothing.
 *
 * @module
 */
import type { LedgerState, MemoryAsk, Waiting } from './BendfallRouterLedgerState.js'

/**
 * Those that can be on time take all the room of a replica for which they have
 * waited this long: late ones are refused then, not held. With twice the load that
 * memory can bear this served 80 of 180 streams on time instead of 51 (virtual time);
 * 400 ms did the same.
 */
const CROWDED_MS = 200

/** It is crowded until none of them has waited or been refused for this long; 1 s served as many on time, 200 ms up to 14 of 180 fewer. */
const CALM_MS = 400

/** A request that would be on time by less than this counts as late: first event, network, and a prefill that takes longer than foreseen. */
const LATE_MARGIN_MS = 100

/**
 * When an answer is due.
 *
 * @param ask - one that waits
 * @returns the time
 */
export function dueMs ({ askedAtMs, targetMs }: Waiting): number {
  return askedAtMs + targetMs
}

/**
 * Tells whether an answer can't be on time any more.
 *
 * @param ask - one that waits
 * @param nowMs - the time
 * @returns true for late ones
 */
export function isLate (ask: Waiting, nowMs: number): boolean {
  return dueMs(ask) < nowMs + ask.leadMs + LATE_MARGIN_MS
}

/**
 * Notes who waits.
 *
 * @param state - changed in place
 * @param nowMs - the time
 */
export function followCrowd (state: LedgerState, nowMs: number): void {
  if (state.waiting.some((ask) => !isLate(ask, nowMs))) {
    state.crowdedSinceMs ??= nowMs
    state.lastWaitAtMs = nowMs
  } else if (nowMs - state.lastWaitAtMs > CALM_MS) {
    state.crowdedSinceMs = undefined
  }
}

/**
 * Tells whether late ones are refused.
 *
 * @param state - of the ledger
 * @param nowMs - the time
 * @returns true at a crowded replica
 */
export function isCrowded ({ crowdedSinceMs, decisions }: LedgerState, nowMs: number): boolean {
  return decisions.crowd === 'refuse_late' && crowdedSinceMs !== undefined && nowMs - crowdedSinceMs > CROWDED_MS
}

/**
 * Longest wait for which an ask is held; at a crowded replica only as long as it can
 * be on time.
 *
 * @param state - changed in place: an ask that could be on time prolongs the crowd
 * @param ask - the ask
 * @param nowMs - the time
 * @returns milliseconds
 */
export function longestDelayMs (state: LedgerState, ask: MemoryAsk, nowMs: number): number {
  const onTimeMs = ask.targetMs - ask.leadMs - LATE_MARGIN_MS
  if (onTimeMs > 0 && state.crowdedSinceMs !== undefined) state.lastWaitAtMs = nowMs
  return isCrowded(state, nowMs) ? Math.min(ask.maxWaitMs, onTimeMs) : ask.maxWaitMs
}

/**
 * Time after which a refused caller should come back. The longer a replica has been
 * crowded, the longer it is likely to stay so.
 *
 * @param state - of the ledger
 * @param delayMs - foreseen wait
 * @param nowMs - the time
 * @returns milliseconds
 */
export function retryAfterMs ({ crowdedSinceMs }: LedgerState, delayMs: number, nowMs: number): number {
  const crowdedMs = crowdedSinceMs === undefined ? 0 : nowMs - crowdedSinceMs
  return Math.max(delayMs, 2 * crowdedMs)
}
