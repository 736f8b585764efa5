/**
 * The queue of one replica: who waits for memory or for a slot, in which order it is
 * granted, and who is refused.
 *
 * @module
 */
import { delayUntilFit, fits } from './BendfallRouterForecast.js'
import { dueMs, followCrowd, isCrowded, isLate, longestDelayMs, retryAfterMs } from './BendfallRouterLedgerCrowd.js'
import { forecastOf, forecastWithWaiting, freeTokens, toOccupant } from './BendfallRouterLedgerMemory.js'
import { isOld } from './BendfallRouterLedgerReport.js'
import { canRead, hasSlot, isPrefill, slotDelayMs } from './BendfallRouterLedgerSlots.js'
import type { LedgerEffect, LedgerState, MemoryAsk, Waiting } from './BendfallRouterLedgerState.js'

/** A slot at a prefill replica is kept this long for a request that books its memory: a call between instances and a margin. */
const SLOT_KEPT_MS = 60

/**
 * Takes an ask: it waits, or is refused at once.
 *
 * @param state - changed in place
 * @param ask - the ask
 * @param nowMs - the time
 * @param effects - answers are added
 */
export function takeAsk (state: LedgerState, ask: MemoryAsk, nowMs: number, effects: LedgerEffect[]): void {
  const known = state.bookings.get(ask.bookingId)
  if (known !== undefined) {
    state.bookings.set(ask.bookingId, { ...known, grantedAtMs: nowMs, slotUntilMs: undefined })
    effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: true, retryAfterMs: 0 })
    return
  }
  if (state.report !== undefined && !state.isHealthy) {
    effects.push({ type: 'replica_lost', bookingId: ask.bookingId })
    return
  }
  if (isPrefill(state) && ask.maxWaitMs === 0) {
    // The prompt is read already: the booking only shows it to other entries.
    grant(state, { ...ask, askedAtMs: nowMs }, nowMs, effects, undefined)
    return
  }
  const delayMs = isPrefill(state) ? slotDelayMs(state) : delayUntilFit(forecastWithWaiting(state, nowMs), toOccupant(state, ask, nowMs))
  if (delayMs > longestDelayMs(state, ask, nowMs)) refuse(state, ask, delayMs, nowMs, effects)
  else state.waiting.push({ ...ask, askedAtMs: nowMs })
}

/**
 * Gives up those that wait for a replica that is lost: they were held up to 2.8 s and
 * refused by its last report, while other replicas had room.
 *
 * @param state - changed in place
 * @param effects - answers are added
 */
export function giveUpWaiting (state: LedgerState, effects: LedgerEffect[]): void {
  for (const { bookingId } of state.waiting) effects.push({ type: 'replica_lost', bookingId })
  state.waiting = []
  for (const booking of state.bookings.values()) {
    if (booking.confirm === undefined) continue
    booking.confirm = undefined
    effects.push({ type: 'confirmed', bookingId: booking.bookingId, isFree: false })
  }
}

/**
 * Grants what there is room for: the most important first; then those that can still
 * be on time, the one that is due first before the others; then those that are late,
 * in their order.
 *
 * @param state - changed in place
 * @param nowMs - the time
 * @param effects - answers are added
 */
export function grantWaiting (state: LedgerState, nowMs: number, effects: LedgerEffect[]): void {
  const left: Waiting[] = []
  const isUnsure = state.report !== undefined && isOld(state.lastReportAtMs, nowMs)
  if (isUnsure && state.waiting.length > 0) effects.push({ type: 'read_report' })
  for (const ask of inOrder(state, nowMs)) {
    const isBlocked = isUnsure || left.length > 0
    if (!isBlocked && hasRoom(state, ask, nowMs)) grant(state, ask, nowMs, effects, isPrefill(state) ? nowMs + SLOT_KEPT_MS : undefined)
    else if (isOver(state, ask, nowMs)) refuse(state, ask, 0, nowMs, effects)
    else left.push(ask)
  }
  state.waiting = left
  followCrowd(state, nowMs)
}

function inOrder ({ decisions, waiting }: LedgerState, nowMs: number): Waiting[] {
  const lateRank = (ask: Waiting): number => decisions.late === 'behind' && isLate(ask, nowMs) ? 1 : 0
  const orderMs = decisions.queueOrder === 'due_first' ? dueMs : ({ askedAtMs }: Waiting) => askedAtMs
  return [...waiting].sort((a, b) => a.priority - b.priority || lateRank(a) - lateRank(b) || orderMs(a) - orderMs(b))
}

function isOver (state: LedgerState, ask: Waiting, nowMs: number): boolean {
  return nowMs >= ask.askedAtMs + ask.maxWaitMs || (isCrowded(state, nowMs) && isLate(ask, nowMs))
}

function grant (state: LedgerState, ask: Waiting, nowMs: number, effects: LedgerEffect[], slotUntilMs: number | undefined): void {
  state.bookings.set(ask.bookingId, { ...ask, grantedAtMs: nowMs, slotUntilMs })
  effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: true, retryAfterMs: 0 })
}

function refuse (state: LedgerState, { bookingId }: MemoryAsk, delayMs: number, nowMs: number, effects: LedgerEffect[]): void {
  effects.push({ type: 'answer', bookingId, isGranted: false, retryAfterMs: retryAfterMs(state, delayMs, nowMs) })
}

function hasRoom (state: LedgerState, ask: Waiting, nowMs: number): boolean {
  if (isPrefill(state)) return hasSlot(state, ask)
  if (ask.readsInPlace && !canRead(state, ask)) return false
  if (freeTokens(state, nowMs) < ask.promptTokens) return false
  return state.decisions.room === 'free_now' || fits(forecastOf(state, nowMs), toOccupant(state, ask, nowMs))
}
