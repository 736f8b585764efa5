/**
 * The ledger of one replica's decode memory: who holds what, who waits, and
 * what the replica itself reports. One reducer; the sidecar beside the replica
 * runs it.
 *
 * @module
 */
import { DEFAULT_DECISIONS } from '../BendfallRouterDecisions.js'
import type { RouterDecisions } from '../BendfallRouterDecisions.js'
import type { ReplicaLoad } from '../BendfallRouterTypes.js'
import { roomByHorizon } from './BendfallRouterForecast.js'
import { expectedOutput, forecastOf, freeTokens } from './BendfallRouterLedgerMemory.js'
import { giveUpWaiting, grantWaiting, takeAsk } from './BendfallRouterLedgerQueue.js'
import { confirmWaiting, dropUnseen, forgetFormerIncarnation, incarnationOf, isOld, takeReport } from './BendfallRouterLedgerReport.js'
import { backlogTokens } from './BendfallRouterLedgerSlots.js'
import type { LedgerEffect, LedgerEvent, LedgerState } from './BendfallRouterLedgerState.js'
import { createOutputModel } from './BendfallRouterOutputModel.js'

/** Output speed before any was measured: steps of 4 ms. */
const FIRST_TOKENS_PER_MS = 0.25

/**
 * Makes an empty ledger.
 *
 * @param decisions - switches of its mechanisms
 * @returns the state
 */
export function createLedgerState (decisions: RouterDecisions = DEFAULT_DECISIONS): LedgerState {
  return { decisions, isHealthy: false, bookings: new Map(), waiting: [], lastWaitAtMs: -Infinity, output: createOutputModel(), tokensPerMs: FIRST_TOKENS_PER_MS, lastRuns: new Map(), lastReportAtMs: 0 }
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
  memory_asked: (state, event, effects) => takeAsk(state, event.ask, event.atMs, effects),
  released: (state, event) => { state.bookings.delete(event.bookingId) },
  report_failed: (state, _event, effects) => {
    state.isHealthy = false
    giveUpWaiting(state, effects)
  },
  report_read: (state, event, effects) => {
    if (isOld(event.askedAtMs, event.atMs)) return
    const incarnation = incarnationOf(state, event.report)
    if (incarnation === 'former') return
    if (incarnation === 'new') forgetFormerIncarnation(state, effects)
    takeReport(state, event.report, event.atMs)
    confirmWaiting(state, event.askedAtMs, event.atMs, effects)
  },
  time_passed: () => {}
}

/**
 * Reduces one event.
 *
 * @param state - changed in place; nothing else may change it
 * @param event - what happened
 * @returns effects in order
 */
export function reduceLedger (state: LedgerState, event: LedgerEvent): LedgerEffect[] {
  const effects: LedgerEffect[] = []
  const handle = HANDLERS[event.type] as Handler<LedgerEvent['type']>
  handle(state, event, effects)
  dropUnseen(state, event.atMs)
  grantWaiting(state, event.atMs, effects)
  return effects
}

/**
 * Load as entries see it.
 *
 * @param state - of the ledger
 * @param replicaId - id that the asker knows the replica by
 * @param nowMs - the time
 * @returns the load
 */
export function loadOf (state: LedgerState, replicaId: string, nowMs: number): ReplicaLoad {
  const forecast = forecastOf(state, nowMs)
  const waitingTokens = state.waiting.reduce((sum, ask) => sum + ask.promptTokens + expectedOutput(state, ask, 0), 0)
  return {
    replicaId,
    stage: state.report?.isSwitching === true ? undefined : state.report?.stage,
    isHealthy: state.isHealthy && state.report?.isSwitching !== true,
    isLeaving: state.report?.isLeaving === true,
    limitPerS: state.report?.limitPerS,
    capacityTokens: forecast.capacityTokens,
    roomTokens: roomByHorizon(forecast, freeTokens(state, nowMs)).map((room) => Math.floor(room - waitingTokens)),
    backlogTokens: backlogTokens(state, nowMs)
  }
}
