/**
 * The ledger of one replica's decode memory: which requests have booked memory, which wait for it,
 * and what the replica reports. It is one reducer, run by the sidecar of the replica.
 *
 * @module
 */
import { createForecastError } from '../BendfallRouterForecastError.js'
import { DEFAULT_DECISIONS } from '../BendfallRouterDecisions.js'
import type { RouterDecisions } from '../BendfallRouterDecisions.js'
import { createOnTimeLoad } from '../BendfallRouterOnTimeLoad.js'
import type { ReplicaLoad } from '../BendfallRouterTypes.js'
import { roomByHorizon } from './BendfallRouterForecast.js'
import { createLedgerFloor, isLessUrgent } from './BendfallRouterLedgerFloor.js'
import { expectedOutputTokens, forecastOf, freeTokens } from './BendfallRouterLedgerMemory.js'
import { failPendingBookings, grantPendingBookings, handleBookingRequest, refuseHopeless } from './BendfallRouterLedgerQueue.js'
import { answerConfirmations, applyReport, dropPreviousIncarnation, dropUnusedBookings, incarnationOf, isReportStale } from './BendfallRouterLedgerReport.js'
import { createLedgerShares, isOverShare } from './BendfallRouterLedgerShares.js'
import { backlogTokens } from './BendfallRouterLedgerSlots.js'
import type { LedgerEffect, LedgerEvent, LedgerState, PendingBooking } from './BendfallRouterLedgerState.js'
import { isLate } from './BendfallRouterLedgerTargets.js'
import { updateUrgentUse } from './BendfallRouterLedgerUrgentReserve.js'
import { createOutputModel } from './BendfallRouterOutputModel.js'
import { currentOutputRate } from './BendfallRouterOutputRate.js'

/** Initial output rate, used until one is measured: one token per step of 4 ms. */
const INITIAL_TOKENS_PER_MS = 0.25

/**
 * Creates an empty ledger.
 *
 * @param decisions - which mechanisms are enabled
 * @returns the state
 */
export function createLedgerState (decisions: RouterDecisions = DEFAULT_DECISIONS): LedgerState {
  return { decisions, isHealthy: false, bookings: new Map(), waiting: [], floor: createLedgerFloor(), shares: createLedgerShares(), onTimeLoad: createOnTimeLoad(), urgentUse: { tokens: 0, atMs: 0, priority: Infinity }, waitError: createForecastError(), output: createOutputModel(), tokensPerMs: INITIAL_TOKENS_PER_MS, lastRuns: new Map(), lastReportAtMs: 0 }
}

type EventOf<T extends LedgerEvent['type']> = Extract<LedgerEvent, { readonly type: T }>
type Handler<T extends LedgerEvent['type']> = (state: LedgerState, event: EventOf<T>, effects: LedgerEffect[]) => void

const HANDLERS: { readonly [T in LedgerEvent['type']]: Handler<T> } = {
  ask_withdrawn: (state, event) => {
    state.waiting = state.waiting.filter(({ bookingId }) => bookingId !== event.bookingId)
    state.bookings.delete(event.bookingId)
  },
  confirm_asked: (state, event, effects) => {
    const booking = state.bookings.get(event.bookingId)
    if (booking === undefined) {
      effects.push({ type: 'confirmed', bookingId: event.bookingId, isFree: false })
      return
    }
    booking.confirm = { askedAtMs: event.atMs, untilMs: event.atMs + event.maxWaitMs }
    effects.push({ type: 'read_report' })
  },
  memory_asked: (state, event, effects) => handleBookingRequest(state, event.request, event.atMs, effects),
  released: (state, event) => { state.bookings.delete(event.bookingId) },
  report_failed: (state, _event, effects) => {
    state.isHealthy = false
    failPendingBookings(state, effects)
  },
  report_read: (state, event, effects) => {
    if (isReportStale(event.askedAtMs, event.atMs)) return
    const incarnation = incarnationOf(state, event.report)
    if (incarnation === 'former') return
    if (incarnation === 'new') dropPreviousIncarnation(state, effects)
    applyReport(state, event.report, event.atMs)
    answerConfirmations(state, event.askedAtMs, event.atMs, effects)
  },
  time_passed: () => {}
}

/**
 * Applies one event to the state.
 *
 * @param state - changed in place; nothing else may change it
 * @param event - the event to apply
 * @returns effects in the order in which they are to be executed
 */
export function reduceLedger (state: LedgerState, event: LedgerEvent): LedgerEffect[] {
  const effects: LedgerEffect[] = []
  const handle = HANDLERS[event.type] as Handler<LedgerEvent['type']>
  handle(state, event, effects)
  dropUnusedBookings(state, event.atMs)
  updateUrgentUse(state, event.atMs)
  grantPendingBookings(state, event.atMs, effects)
  if (event.type === 'report_read') refuseHopeless(state, event.atMs, effects)
  return effects
}

/**
 * Returns the load of the replica in the form that entries receive.
 *
 * @param state - state of the ledger
 * @param replicaId - id by which the requesting entry knows the replica
 * @param nowMs - current time
 * @returns the load
 */
export function loadOf (state: LedgerState, replicaId: string, nowMs: number): ReplicaLoad {
  const forecast = forecastOf(state, nowMs)
  const waitingTokens = state.waiting.filter((pending) => countsForOthers(state, pending, nowMs)).reduce((sum, pending) => sum + pending.promptTokens + expectedOutputTokens(state, pending, 0), 0)
  return {
    replicaId,
    stage: state.report?.isSwitching === true ? undefined : state.report?.stage,
    isHealthy: state.isHealthy && state.report?.isSwitching !== true,
    isLeaving: state.report?.isLeaving === true,
    limitPerS: state.report?.limitPerS,
    capacityTokens: forecast.capacityTokens,
    roomTokens: roomByHorizon(forecast, freeTokens(state, nowMs)).map((room) => Math.floor(room - waitingTokens)),
    backlogTokens: backlogTokens(state),
    tokensPerMs: state.report?.stage === 'decode' ? currentOutputRate(state.outputRate, nowMs) : undefined
  }
}

// Late and less urgent requests and those of customers beyond their share wait behind a new one.
function countsForOthers (state: LedgerState, pending: PendingBooking, nowMs: number): boolean {
  return state.decisions.admission === 'all_waiting' || !(isLessUrgent(state, pending, nowMs) || isLate(state, pending, nowMs) || isOverShare(state, pending, nowMs))
}
