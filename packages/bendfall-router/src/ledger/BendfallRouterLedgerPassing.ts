/**
 * Small requests that pass a large one. A prompt that is too large for the free memory would hold back
 * all requests behind it while memory is free, and would never be served if all of them passed it. A
 * small request may pass if the large one is not forecast to start later, and only a few may.
 *
 * @module
 */
import { delayUntilFit } from './BendfallRouterForecast.js'
import { forecastOf, toAllocation } from './BendfallRouterLedgerMemory.js'
import { isPrefill } from './BendfallRouterLedgerSlots.js'
import type { LedgerState, PendingBooking } from './BendfallRouterLedgerState.js'

/** Requests that may pass one that waits, over its whole wait: forecasts err, so that each may delay it. */
const MAX_PASSING = 4

/**
 * Returns whether a request may be granted before one that goes before it and has no capacity yet. At a
 * prefill replica none may: a prompt ends there within 200 ms.
 *
 * @param state - state of the ledger
 * @param blocked - the first request without capacity
 * @param pending - a request behind it that has capacity
 * @param nowMs - current time
 * @returns true if it passes
 */
export function mayPass (state: LedgerState, blocked: PendingBooking, pending: PendingBooking, nowMs: number): boolean {
  if (state.decisions.passing === 'none' || isPrefill(state)) return false
  if (blocked.passedBy !== undefined && blocked.passedBy >= MAX_PASSING) return false
  if (pending.promptTokens >= blocked.promptTokens || pending.priority > blocked.priority) return false
  const forecast = forecastOf(state, nowMs)
  const wanted = toAllocation(state, blocked, nowMs)
  const withPassing = { ...forecast, allocations: [...forecast.allocations, toAllocation(state, pending, nowMs)] }
  return delayUntilFit(withPassing, wanted) <= delayUntilFit(forecast, wanted)
}
