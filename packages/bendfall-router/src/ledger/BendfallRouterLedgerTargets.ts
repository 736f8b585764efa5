/**
 * Latency targets of the requests that wait. Those that can still meet the target of their route go before those that
 * can't, so that a queue that a burst has left does not make all that follow late. A request that is not expected to meet its
 * target when it asks is late from then on, so that it does not make others late as well.
 *
 * @module
 */
import { lateDelayMs, onTimePerMs, recordOnTime } from '../BendfallRouterOnTimeLoad.js'
import { expectedOutputTokens } from './BendfallRouterLedgerMemory.js'
import { isPrefill } from './BendfallRouterLedgerSlots.js'
import type { BookingRequest, LedgerState, PendingBooking } from './BendfallRouterLedgerState.js'

/**
 * Returns until when a grant lets the response meet the latency target of its route.
 *
 * @param pending - booking request that waits
 * @returns the time
 */
export function targetGrantAtMs ({ askedAtMs, onTimeWaitMs }: PendingBooking): number {
  return askedAtMs + onTimeWaitMs
}

/**
 * Checks whether a request waits behind those that can meet their targets.
 *
 * @param state - state of the ledger
 * @param pending - booking request that waits
 * @param nowMs - current time
 * @returns false for a stream that is continued, which no target concerns
 */
export function isLate ({ decisions }: LedgerState, pending: PendingBooking, nowMs: number): boolean {
  if (decisions.late !== 'behind' || pending.isContinuation) return false
  return pending.isExpectedLate === true || nowMs >= targetGrantAtMs(pending)
}

/**
 * Records that a request asked that is expected to meet its target.
 *
 * @param state - changed in place
 * @param request - the booking request
 * @param nowMs - current time
 */
export function recordOnTimeRequest (state: LedgerState, request: BookingRequest, nowMs: number): void {
  recordOnTime(state.onTimeLoad, request.priority, memoryTimeMs(state, request), nowMs)
}

/**
 * Adds to the forecast wait of a late request for decode memory what will go before it. Prompts can be read by decode
 * replicas as well, so that a busy prefill replica proves no lack.
 *
 * @param state - state of the ledger
 * @param pending - booking request that waits
 * @param delayMs - wait behind those that have asked
 * @param nowMs - current time
 * @returns milliseconds; infinite while requests that are on time need all of the memory
 */
export function delayWithOnTimeMs (state: LedgerState, pending: PendingBooking, delayMs: number, nowMs: number): number {
  if (isPrefill(state) || !isLate(state, pending, nowMs)) return delayMs
  return lateDelayMs(delayMs, onTimePerMs(state.onTimeLoad, pending.priority, nowMs))
}

// Time for which a request would occupy the memory if it took all of it.
function memoryTimeMs (state: LedgerState, request: BookingRequest): number {
  const outputTokens = expectedOutputTokens(state, request, 0)
  const heldMs = request.leadMs + outputTokens / state.tokensPerMs
  return heldMs * (request.promptTokens + outputTokens / 2) / Math.max(1, state.report?.capacityTokens ?? 0)
}
