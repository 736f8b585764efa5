/**
 * Notices that the process stood still, frozen or without a processor, and sends
 * nothing to replicas until the registrations have been read again: what was known
 * before may be older than the time in which a leaving replica must get no new work.
 *
 * @module
 */
import { dropPermits } from '../limits/BendfallRouterReplicaLimits.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { ParkedStep, RequestState } from './BendfallRouterRequest.js'
import type { RouterState } from './BendfallRouterState.js'

/** Events come at least this often, since time itself is one. */
export const TICK_MS = 400

/** A longer time without an event is a standstill; a busy process is late by some hundred milliseconds. */
const STANDSTILL_MS = 1_000

/**
 * Compares the time of an event with that of the last one. A time of day that ran ahead may
 * be a suspension or a step: it is believed as far as it costs a read only, so that loads
 * are asked for anew, while requests keep their deadlines.
 *
 * @param context - of the event, before it is handled
 * @param suspendedMs - time that the monotonic clock may not have counted
 */
export function noteStandstill ({ effects, nowMs, state }: RouterContext, suspendedMs = 0): void {
  const gapMs = nowMs - state.lastEventAtMs + suspendedMs
  state.lastEventAtMs = nowMs
  state.configProvenAtMs -= suspendedMs
  if (gapMs === Infinity || gapMs <= STANDSTILL_MS) return
  state.isUnsure = true
  if (suspendedMs > 0) forgetWhatAged(state)
  effects.push({ type: 'refresh_replicas' })
  effects.push({ type: 'log', decision: 'stood_still', requestId: '', inputs: { gapMs: Math.round(gapMs), suspendedMs: Math.round(suspendedMs), requests: state.requests.size } })
}

function forgetWhatAged ({ limits, replicas }: RouterState): void {
  for (const belief of replicas.values()) belief.loadAtMs = -Infinity
  for (const limit of limits.values()) dropPermits(limit)
}

/**
 * Has a request wait until the registrations are known again.
 *
 * @param request - the request
 * @param step - step that follows
 */
export function park (request: RequestState, step: ParkedStep): void {
  request.parked = step
  // What was asked for the step before is answered in vain.
  request.attempt += 1
}

/**
 * Ends the wait.
 *
 * @param context - of the event
 * @returns the requests that waited, each with its step
 */
export function unpark ({ state }: RouterContext): Array<{ readonly request: RequestState, readonly step: ParkedStep }> {
  state.isUnsure = false
  return [...state.requests.values()].flatMap((request) => {
    const step = request.parked
    request.parked = undefined
    return step === undefined ? [] : [{ request, step }]
  })
}
