/**
 * Detects that the process was paused, suspended or without CPU time. Nothing is sent to replicas
 * until the registrations have been read again, since they may be older than the time within which a
 * leaving replica must stop receiving new work.
 *
 * @module
 */
import { dropPermits } from '../limits/BendfallRouterReplicaLimits.js'
import { interruptHistory } from '../streams/BendfallRouterSoftwareHistory.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { ParkedStep, RequestState } from './BendfallRouterRequest.js'
import type { RouterState } from './BendfallRouterState.js'

/** Maximum interval between events, since a tick is an event. */
export const TICK_MS = 400

/** A longer gap between events counts as a pause; a busy process is late by some hundred milliseconds. */
const MIN_PAUSE_MS = 1_000

/**
 * Compares the time of an event with that of the previous one. Wall clock time that ran ahead of the
 * monotonic clock may be a suspension or a clock step, so it is used only where a mistake costs no
 * more than a read: loads are requested again, but requests keep their deadlines.
 *
 * @param context - state, time and effects of the event, before it is handled
 * @param suspendedMs - time that the monotonic clock may not have counted
 */
export function detectPause ({ effects, nowMs, state }: RouterContext, suspendedMs = 0): void {
  const gapMs = nowMs - state.lastEventAtMs + suspendedMs
  state.lastEventAtMs = nowMs
  state.configVerifiedAtMs -= suspendedMs
  if (gapMs === Infinity || gapMs <= MIN_PAUSE_MS) return
  state.isRefreshPending = true
  if (suspendedMs > 0) {
    expireLoadsAndPermits(state)
    interruptHistory(state.softwareHistory)
  }
  effects.push({ type: 'refresh_replicas' })
  effects.push({ type: 'log', decision: 'stood_still', requestId: '', inputs: { gapMs: Math.round(gapMs), suspendedMs: Math.round(suspendedMs), requests: state.requests.size } })
}

function expireLoadsAndPermits ({ limits, replicas }: RouterState): void {
  for (const view of replicas.values()) view.loadAtMs = -Infinity
  for (const limit of limits.values()) dropPermits(limit)
}

/**
 * Parks a request until the registrations have been read again.
 *
 * @param request - request that must not be sent yet
 * @param step - step to start afterwards
 */
export function park (request: RequestState, step: ParkedStep): void {
  request.parkedStep = step
  // Responses to calls of the previous step are dropped.
  request.attempt += 1
}

/**
 * Ends the pause and unparks all requests.
 *
 * @param context - state, time and effects of the current event
 * @returns requests to resume, each with its step
 */
export function unpark ({ state }: RouterContext): Array<{ readonly request: RequestState, readonly step: ParkedStep }> {
  state.isRefreshPending = false
  return [...state.requests.values()].flatMap((request) => {
    const step = request.parkedStep
    request.parkedStep = undefined
    return step === undefined ? [] : [{ request, step }]
  })
}
