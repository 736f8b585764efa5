/**
 * The queue of one replica: which requests wait for memory or for a slot, in which order they are
 * granted, and which are rejected.
 *
 * @module
 */
import { delayUntilFit, fits } from './BendfallRouterForecast.js'
import { dueAtMs, isLate, isOverloaded, maxDelayMs, retryAfterMs, updateOverload } from './BendfallRouterLedgerOverload.js'
import { forecastOf, forecastWithPending, freeTokens, toAllocation } from './BendfallRouterLedgerMemory.js'
import { isReportStale } from './BendfallRouterLedgerReport.js'
import { canPrefill, hasSlot, isPrefill, slotDelayMs } from './BendfallRouterLedgerSlots.js'
import type { LedgerEffect, LedgerState, BookingRequest, PendingBooking } from './BendfallRouterLedgerState.js'

/** How long a slot at a prefill replica is held for a request that books its decode memory: one call between instances and a margin. */
const SLOT_HOLD_MS = 60

/**
 * Queues a booking request, or rejects it at once.
 *
 * @param state - changed in place
 * @param request - the booking request
 * @param nowMs - current time
 * @param effects - receives the responses
 */
export function handleBookingRequest (state: LedgerState, request: BookingRequest, nowMs: number, effects: LedgerEffect[]): void {
  const existing = state.bookings.get(request.bookingId)
  if (existing !== undefined) {
    state.bookings.set(request.bookingId, { ...existing, grantedAtMs: nowMs, slotUntilMs: undefined })
    effects.push({ type: 'answer', bookingId: request.bookingId, isGranted: true, retryAfterMs: 0 })
    return
  }
  if (state.report !== undefined && !state.isHealthy) {
    effects.push({ type: 'replica_lost', bookingId: request.bookingId })
    return
  }
  if (isPrefill(state) && request.maxWaitMs === 0) {
    // The prompt is already prefilled: the booking only makes it visible to other entries.
    grant(state, { ...request, askedAtMs: nowMs }, nowMs, effects, undefined)
    return
  }
  const delayMs = isPrefill(state) ? slotDelayMs(state) : delayUntilFit(forecastWithPending(state, nowMs), toAllocation(state, request, nowMs))
  if (delayMs > maxDelayMs(state, request, nowMs)) refuse(state, request, delayMs, nowMs, effects)
  else state.waiting.push({ ...request, askedAtMs: nowMs })
}

/**
 * Fails the pending bookings and confirmations of a replica that is lost. They used to be held for up to
 * 2.8 s and rejected based on its last report, while other replicas had free memory.
 *
 * @param state - changed in place
 * @param effects - receives the responses
 */
export function failPendingBookings (state: LedgerState, effects: LedgerEffect[]): void {
  for (const { bookingId } of state.waiting) effects.push({ type: 'replica_lost', bookingId })
  state.waiting = []
  for (const booking of state.bookings.values()) {
    if (booking.confirm === undefined) continue
    booking.confirm = undefined
    effects.push({ type: 'confirmed', bookingId: booking.bookingId, isFree: false })
  }
}

/**
 * Grants pending bookings as far as capacity permits: those that continue a stream, since other replicas
 * may not be able to; then by priority; then requests that can still meet their target, by due time; then late requests, in the same order.
 *
 * @param state - changed in place
 * @param nowMs - current time
 * @param effects - receives the responses
 */
export function grantPendingBookings (state: LedgerState, nowMs: number, effects: LedgerEffect[]): void {
  const remaining: PendingBooking[] = []
  const isStale = state.report !== undefined && isReportStale(state.lastReportAtMs, nowMs)
  if (isStale && state.waiting.length > 0) effects.push({ type: 'read_report' })
  for (const pending of sortPendingBookings(state, nowMs)) {
    const isBlocked = isStale || remaining.length > 0
    if (!isBlocked && hasCapacity(state, pending, nowMs)) grant(state, pending, nowMs, effects, isPrefill(state) ? nowMs + SLOT_HOLD_MS : undefined)
    else if (mustRefuse(state, pending, nowMs)) refuse(state, pending, 0, nowMs, effects)
    else remaining.push(pending)
  }
  state.waiting = remaining
  updateOverload(state, nowMs)
}

function sortPendingBookings ({ decisions, waiting }: LedgerState, nowMs: number): PendingBooking[] {
  const lateRank = (pending: PendingBooking): number => decisions.late === 'behind' && isLate(pending, nowMs) ? 1 : 0
  const newRank = ({ isContinuation }: PendingBooking): number => isContinuation ? 0 : 1
  const orderMs = decisions.queueOrder === 'due_first' ? dueAtMs : ({ askedAtMs }: PendingBooking) => askedAtMs
  return [...waiting].sort((a, b) => newRank(a) - newRank(b) || a.priority - b.priority || lateRank(a) - lateRank(b) || orderMs(a) - orderMs(b))
}

function mustRefuse (state: LedgerState, pending: PendingBooking, nowMs: number): boolean {
  return nowMs >= pending.askedAtMs + pending.maxWaitMs || (isOverloaded(state, nowMs) && isLate(pending, nowMs))
}

function grant (state: LedgerState, pending: PendingBooking, nowMs: number, effects: LedgerEffect[], slotUntilMs: number | undefined): void {
  state.bookings.set(pending.bookingId, { ...pending, grantedAtMs: nowMs, slotUntilMs })
  effects.push({ type: 'answer', bookingId: pending.bookingId, isGranted: true, retryAfterMs: 0 })
}

function refuse (state: LedgerState, { bookingId }: BookingRequest, delayMs: number, nowMs: number, effects: LedgerEffect[]): void {
  effects.push({ type: 'answer', bookingId, isGranted: false, retryAfterMs: retryAfterMs(state, delayMs, nowMs) })
}

function hasCapacity (state: LedgerState, pending: PendingBooking, nowMs: number): boolean {
  if (isPrefill(state)) return hasSlot(state, pending)
  if (pending.readsInPlace && !canPrefill(state, pending)) return false
  if (freeTokens(state, nowMs) < pending.promptTokens) return false
  return state.decisions.room === 'free_now' || fits(forecastOf(state, nowMs), toAllocation(state, pending, nowMs))
}
