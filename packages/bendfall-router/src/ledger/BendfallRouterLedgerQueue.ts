/**
 * The queue of one replica: which requests wait for memory or for a slot, in which order they are
 * granted, and which are rejected.
 *
 * @module
 */
import { recordWait } from '../BendfallRouterForecastError.js'
import { delayed, delayUntilFit, fits } from './BendfallRouterForecast.js'
import type { Forecast } from './BendfallRouterForecast.js'
import { mayWaitForFloor, recordAsked, recordGranted } from './BendfallRouterLedgerFloor.js'
import { forecastOf, freeTokens, toAllocation } from './BendfallRouterLedgerMemory.js'
import { pendingAheadOf, sortPendingBookings } from './BendfallRouterLedgerOrder.js'
import { mayPass } from './BendfallRouterLedgerPassing.js'
import { isReportStale } from './BendfallRouterLedgerReport.js'
import { isOverShare, recordContention, recordShare, shareReserveTokens } from './BendfallRouterLedgerShares.js'
import { canPrefill, hasSlot, isPrefill, slotDelayMs } from './BendfallRouterLedgerSlots.js'
import type { LedgerEffect, LedgerState, BookingRequest, PendingBooking } from './BendfallRouterLedgerState.js'
import { delayWithOnTimeMs, isLate, recordOnTimeRequest, targetGrantAtMs } from './BendfallRouterLedgerTargets.js'
import { urgentReserveTokens } from './BendfallRouterLedgerUrgentReserve.js'
import { isGrantedBy, isGrantedInTime, isHopeless, latestGrantAtMs } from './BendfallRouterLedgerWait.js'

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
    grant(state, { ...request, askedAtMs: nowMs, forecastMs: 0 }, nowMs, effects, undefined)
    return
  }
  recordAsked(state, request, nowMs)
  const asked: PendingBooking = { ...request, askedAtMs: nowMs, forecastMs: 0 }
  asked.isExpectedLate = !isExpectedOnTime(state, asked, nowMs)
  if (!asked.isExpectedLate) recordOnTimeRequest(state, request, nowMs)
  const forecastMs = delayBehind(state, asked, pendingAheadOf(state, asked, nowMs), nowMs)
  const pending: PendingBooking = { ...asked, forecastMs }
  if (forecastMs > 0) recordContention(state, request, nowMs)
  const mayWait = isGrantedInTime(state, pending, forecastMs, nowMs) || mayWaitForFloor(state, pending, nowMs)
  if (!mayWait || displacesOthers(state, pending, nowMs)) return refuse(request, forecastMs, effects)
  state.waiting.push(pending)
  refuseBehind(state, pending, nowMs, effects)
}

// Whether a request is likely to meet its target without making another one miss its own.
function isExpectedOnTime (state: LedgerState, added: PendingBooking, nowMs: number): boolean {
  if (isLate(state, added, nowMs)) return false
  const sorted = sortPendingBookings(state, [...state.waiting, added], nowMs)
  const delayMs = forecastDelays(state, sorted.slice(0, sorted.indexOf(added) + 1), nowMs).pop() as number
  return isGrantedBy(state, targetGrantAtMs(added), delayMs, nowMs) && !delaysOthers(state, added, targetGrantAtMs, nowMs)
}

// Whether requests that wait already would miss their callers' time behind a new one. More urgent ones and those that
// continue a stream go first all the same.
function displacesOthers (state: LedgerState, added: PendingBooking, nowMs: number): boolean {
  return state.decisions.behind !== 'hold' && !added.isContinuation && delaysOthers(state, added, latestGrantAtMs, nowMs)
}

// Whether a request of the same rank would be granted by a time of its own without a new one, and not behind it.
function delaysOthers (state: LedgerState, added: PendingBooking, dueAtMs: (pending: PendingBooking) => number, nowMs: number): boolean {
  const sorted = sortPendingBookings(state, [...state.waiting, added], nowMs)
  const position = sorted.indexOf(added)
  if (position === sorted.length - 1) return false
  const [after, before] = [forecastDelays(state, sorted, nowMs), forecastDelays(state, sorted.filter((pending) => pending !== added), nowMs)]
  return sorted.some((pending, i) => i > position && hasSameRank(state, pending, added, nowMs) &&
    isGrantedBy(state, dueAtMs(pending), before[i - 1] as number, nowMs) && !isGrantedBy(state, dueAtMs(pending), after[i] as number, nowMs))
}

function hasSameRank (state: LedgerState, pending: PendingBooking, added: PendingBooking, nowMs: number): boolean {
  return pending.priority === added.priority && isLate(state, pending, nowMs) === isLate(state, added, nowMs) && !isOverShare(state, pending, nowMs)
}

function delayBehind (state: LedgerState, request: PendingBooking, ahead: readonly PendingBooking[], nowMs: number): number {
  return forecastDelays(state, [...ahead, request], nowMs).pop() as number
}

// Forecasts the wait of each request of a queue: one after the other, as they are granted.
function forecastDelays (state: LedgerState, sorted: readonly PendingBooking[], nowMs: number): number[] {
  const delaysMs = isPrefill(state) ? sorted.map((_, i) => slotDelayMs(state, sorted.slice(0, i))) : forecastMemoryDelays(state, sorted, nowMs)
  return delaysMs.map((delayMs, i) => delayWithOnTimeMs(state, sorted[i] as PendingBooking, delayMs, nowMs))
}

function forecastMemoryDelays (state: LedgerState, sorted: readonly PendingBooking[], nowMs: number): number[] {
  let forecast = forecastOf(state, nowMs)
  let previousMs = 0
  return sorted.map((pending) => {
    const allocation = toAllocation(state, pending, nowMs)
    const delayMs = delayUntilFit(withReserve(forecast, reservedTokens(state, pending, nowMs)), allocation, previousMs)
    if (delayMs === Infinity) return delayMs
    previousMs = delayMs
    forecast = { ...forecast, allocations: [...forecast.allocations, delayed(allocation, delayMs)] }
    return delayMs
  })
}

// Refuses the last of the requests that a new one goes before, if they can no longer be served in time.
function refuseBehind (state: LedgerState, added: PendingBooking, nowMs: number, effects: LedgerEffect[]): void {
  if (state.decisions.behind === 'hold') return
  const sorted = sortPendingBookings(state, state.waiting, nowMs)
  refuseHopelessAfter(state, sorted, sorted.indexOf(added) + 1, nowMs, effects)
}

/**
 * Refuses the last of the waiting requests that can no longer be granted in time, for example after memory was
 * lost or outputs became longer than forecast.
 *
 * @param state - changed in place
 * @param nowMs - current time
 * @param effects - receives the responses
 */
export function refuseHopeless (state: LedgerState, nowMs: number, effects: LedgerEffect[]): void {
  if (state.decisions.behind === 'hold' || state.waiting.length === 0) return
  refuseHopelessAfter(state, sortPendingBookings(state, state.waiting, nowMs), 0, nowMs, effects)
}

function refuseHopelessAfter (state: LedgerState, sorted: readonly PendingBooking[], from: number, nowMs: number, effects: LedgerEffect[]): void {
  if (from >= sorted.length) return
  const delaysMs = forecastDelays(state, sorted, nowMs)
  for (let index = sorted.length - 1; index >= from; index--) {
    const [pending, delayMs] = [sorted[index] as PendingBooking, delaysMs[index] as number]
    if (!isHopeless(state, pending, delayMs, nowMs) || mayWaitForFloor(state, pending, nowMs)) continue
    state.waiting = state.waiting.filter((other) => other !== pending)
    recordWait(state.waitError, pending.forecastMs, Infinity, nowMs)
    refuse(pending, delayMs, effects)
  }
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
 * Grants pending bookings in their order, as far as capacity permits.
 *
 * @param state - changed in place
 * @param nowMs - current time
 * @param effects - receives the responses
 */
export function grantPendingBookings (state: LedgerState, nowMs: number, effects: LedgerEffect[]): void {
  const remaining: PendingBooking[] = []
  const isStale = state.report !== undefined && isReportStale(state.lastReportAtMs, nowMs)
  if (isStale && state.waiting.length > 0) effects.push({ type: 'read_report' })
  for (const pending of sortPendingBookings(state, state.waiting, nowMs)) {
    const [blocked] = remaining
    if (!isStale && hasCapacity(state, pending, nowMs) && (blocked === undefined || mayPass(state, blocked, pending, nowMs))) {
      if (blocked !== undefined) blocked.passedBy = (blocked.passedBy ?? 0) + 1
      grant(state, pending, nowMs, effects, isPrefill(state) ? nowMs + SLOT_HOLD_MS : undefined)
    } else if (nowMs >= latestGrantAtMs(pending)) {
      recordWait(state.waitError, pending.forecastMs, Infinity, nowMs)
      refuse(pending, delayBehind(state, pending, remaining, nowMs), effects)
    } else remaining.push(pending)
  }
  state.waiting = remaining
  for (const pending of remaining) recordContention(state, pending, nowMs)
}

function grant (state: LedgerState, pending: PendingBooking, nowMs: number, effects: LedgerEffect[], slotUntilMs: number | undefined): void {
  state.bookings.set(pending.bookingId, { ...pending, grantedAtMs: nowMs, slotUntilMs })
  recordWait(state.waitError, pending.forecastMs, nowMs - pending.askedAtMs, nowMs)
  recordGranted(state, pending, nowMs)
  recordShare(state, pending, nowMs)
  effects.push({ type: 'answer', bookingId: pending.bookingId, isGranted: true, retryAfterMs: 0 })
}

function refuse ({ bookingId }: BookingRequest, delayMs: number, effects: LedgerEffect[]): void {
  effects.push({ type: 'answer', bookingId, isGranted: false, retryAfterMs: delayMs })
}

function hasCapacity (state: LedgerState, pending: PendingBooking, nowMs: number): boolean {
  if (isPrefill(state)) return hasSlot(state, pending)
  if (pending.readsInPlace && !canPrefill(state, pending)) return false
  const reserveTokens = reservedTokens(state, pending, nowMs)
  if (freeTokens(state, nowMs) - reserveTokens < pending.promptTokens) return false
  return state.decisions.room === 'free_now' || fits(withReserve(forecastOf(state, nowMs), reserveTokens), toAllocation(state, pending, nowMs))
}

function reservedTokens (state: LedgerState, request: PendingBooking, nowMs: number): number {
  return Math.max(urgentReserveTokens(state, request, nowMs), shareReserveTokens(state, request, nowMs))
}

function withReserve (forecast: Forecast, reserveTokens: number): Forecast {
  return { ...forecast, capacityTokens: forecast.capacityTokens - reserveTokens }
}
