/**
 * Ends requests. Every way to end releases all resources that the request holds.
 *
 * @module
 */
import { honouredRetryMs, targetAtMs } from './BendfallRouterCallerTime.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { logDecision, remainingMs } from './BendfallRouterContext.js'
import type { DecisionInputs, EndReason } from './BendfallRouterEffects.js'
import { returnUnusedUnits } from './BendfallRouterAllotment.js'
import { recordUnanswered } from './BendfallRouterStalls.js'
import { endPermitWait } from './BendfallRouterPermitWait.js'
import { endPlainWait } from './BendfallRouterPlainWait.js'
import { releasePermit, canCallForRelease } from './BendfallRouterPermits.js'
import { releaseHold } from './BendfallRouterHold.js'
import { releaseReservedSends } from './BendfallRouterSend.js'
import type { RequestState } from './BendfallRouterRequest.js'
import { endWaitTime, waitLogInputs } from './BendfallRouterWaitTimes.js'

/** Reasons whose end is known, not predicted, so that it is told as it is. */
const KNOWN_TIMES: ReadonlySet<EndReason> = new Set(['allotment_spent', 'crashes_replicas', 'replicas_back_off'])

/**
 * Removes a request from the replica that it was sent to run at.
 *
 * @param context - context of the current event
 * @param request - request that no longer runs there
 */
export function releaseRun ({ state }: RouterContext, request: RequestState): void {
  const view = state.replicas.get(request.runReplicaId ?? '')
  view?.routes.get(request.route.name)?.overdue.delete(request.key)
  if (view !== undefined) view.inFlight = Math.max(0, view.inFlight - 1)
  request.runReplicaId = undefined
}

/**
 * Removes a request from the replica that processes its prompt, and releases the booking there.
 *
 * @param context - context of the current event
 * @param request - request whose prefill has ended
 */
export function releasePrefill ({ effects, state }: RouterContext, request: RequestState): void {
  const view = state.replicas.get(request.prefillReplicaId ?? '')
  if (view !== undefined && request.prefillBookingId !== undefined) {
    effects.push({ type: 'release', replicaId: view.replica.replicaId, address: view.replica.address, bookingId: request.prefillBookingId })
  }
  request.prefillBookingId = undefined
  if (view !== undefined) view.prefillTokens = Math.max(0, view.prefillTokens - promptTokensOf(request))
  request.prefillReplicaId = undefined
}

/**
 * Releases a request's place in the queue of a prefill replica.
 *
 * @param context - context of the current event
 * @param request - request that has or waits for the place
 */
export function releasePrefillSlot ({ effects, state }: RouterContext, request: RequestState): void {
  const { prefillSlot } = request
  request.prefillSlot = undefined
  const view = state.replicas.get(prefillSlot?.replicaId ?? '')
  if (prefillSlot === undefined || view === undefined) return
  effects.push({ type: 'release', replicaId: prefillSlot.replicaId, address: view.replica.address, bookingId: prefillSlot.bookingId })
}

/**
 * Releases booked memory at its ledger, with the hold and the permit that belong to it.
 *
 * @param context - context of the current event
 * @param request - request that the memory is booked for
 */
export function releaseReservation (context: RouterContext, request: RequestState): void {
  const { effects, state } = context
  const view = state.replicas.get(request.reservedReplicaId ?? '')
  if (view !== undefined && request.bookingId !== undefined) {
    view.ownTokens = Math.max(0, view.ownTokens - promptTokensOf(request))
    effects.push({ type: 'release', replicaId: view.replica.replicaId, address: view.replica.address, bookingId: request.bookingId })
  }
  releaseHold(context, request)
  releasePermit(context, request)
  request.reservedReplicaId = undefined
  request.bookingId = undefined
}

/**
 * Frees the result of a prefill that no run has used.
 *
 * @param context - context of the current event
 * @param request - request that the result belongs to
 */
export function releaseHandle (context: RouterContext, request: RequestState): void {
  if (request.handle === undefined) return
  const { address, handle, replicaId } = request.handle
  // The result expires by itself where the replica backs off, or has no permit for the call.
  if (canCallForRelease(context, replicaId)) context.effects.push({ type: 'free_handle', address, handle })
  request.handle = undefined
}

/**
 * Checks whether a response that starts now misses the latency target of its route.
 *
 * @param request - request that is answered
 * @param nowMs - current time
 * @returns true after the target
 */
export function isLateAt (request: RequestState, nowMs: number): boolean {
  return nowMs > targetAtMs(request)
}

/**
 * Ends a request whose response was delivered completely.
 *
 * @param context - context of the current event
 * @param request - request that was answered
 * @param inputs - additional fields of the log line
 */
export function endAnswered (context: RouterContext, request: RequestState, inputs: DecisionInputs): void {
  const isLate = request.isCommitted ? request.isLate : isLateAt(request, context.nowMs)
  logDecision(context, request, 'answered', { ...endLogInputs(context, request), steps: request.attempt, isLate, ...inputs })
  end(context, request)
}

/**
 * Ends a request with an error response of the router itself.
 *
 * @param context - context of the current event
 * @param request - request that is refused
 * @param status - HTTP status; 503 only if the request has not run and never will
 * @param reason - why it is refused
 * @param retryAfterMs - delay that is sent as Retry-After; absent for none
 */
export function endRefused (context: RouterContext, request: RequestState, status: number, reason: EndReason, retryAfterMs?: number): void {
  context.effects.push({ type: 'abort_send', key: request.key })
  const honouredMs = KNOWN_TIMES.has(reason) ? retryAfterMs : honouredRetryMs(remainingMs(context, request), retryAfterMs)
  context.effects.push({ type: 'refuse', key: request.key, status, reason, retryAfterMs: honouredMs })
  logDecision(context, request, 'refused', { ...endLogInputs(context, request), status, reason, retryAfterMs: honouredMs, phase: request.phase, steps: request.attempt })
  end(context, request)
}

/**
 * Ends a request whose response has started and can't be completed.
 *
 * @param context - context of the current event
 * @param request - request whose response is aborted
 * @param reason - why it can't be completed
 */
export function endCut (context: RouterContext, request: RequestState, reason: EndReason): void {
  context.effects.push({ type: 'abort_send', key: request.key })
  context.effects.push({ type: 'cut', key: request.key })
  logDecision(context, request, 'cut', { ...endLogInputs(context, request), reason, replica: request.runReplicaId, lastEventId: request.lastEventId, steps: request.attempt })
  end(context, request)
}

/**
 * Ends a request whose caller disconnected.
 *
 * @param context - context of the current event
 * @param request - request that is cancelled
 */
export function endCancelled (context: RouterContext, request: RequestState): void {
  recordUnanswered(context, request)
  context.effects.push({ type: 'abort_send', key: request.key })
  logDecision(context, request, 'cancelled', { ...endLogInputs(context, request), phase: request.phase, replica: request.runReplicaId ?? request.prefillReplicaId })
  end(context, request)
}

function end (context: RouterContext, request: RequestState): void {
  endPermitWait(context, request)
  endPlainWait(context, request)
  releaseRun(context, request)
  releasePrefillSlot(context, request)
  releasePrefill(context, request)
  releaseReservation(context, request)
  releaseHandle(context, request)
  releaseReservedSends(context, request)
  returnUnusedUnits(context, request)
  request.phase = 'ended'
  context.state.requests.delete(request.key)
  context.effects.push({ type: 'forget', key: request.key })
}

function endLogInputs (context: RouterContext, request: RequestState): DecisionInputs {
  endWaitTime(context, request)
  return { route: request.route.name, customer: request.customer?.name, ...waitLogInputs(request) }
}

function promptTokensOf (request: RequestState): number {
  return request.prompt?.promptTokens ?? 0
}
