/**
 * Ends requests: every way out gives back what the request holds.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import type { DecisionInputs, EndReason } from './BendfallRouterEffects.js'
import { noteCallerRefused } from './BendfallRouterCallerWaits.js'
import { leaveUnits } from './BendfallRouterAllotment.js'
import { noteUnanswered } from './BendfallRouterStalls.js'
import { endPermitWait } from './BendfallRouterPermitWait.js'
import { leavePermit, mayRelease } from './BendfallRouterPermits.js'
import { leaveHold } from './BendfallRouterHold.js'
import { leavePromises } from './BendfallRouterSend.js'
import type { RequestState } from './BendfallRouterRequest.js'

/**
 * Ends the stay of a request at the replica that it was sent to.
 *
 * @param context - of the event
 * @param request - the request
 */
export function leaveRun ({ state }: RouterContext, request: RequestState): void {
  const belief = state.replicas.get(request.runAt ?? '')
  belief?.routes.get(request.route.name)?.overdue.delete(request.key)
  if (belief !== undefined) belief.inFlight = Math.max(0, belief.inFlight - 1)
  request.runAt = undefined
}

/**
 * Ends the stay of a request at the replica that reads its prompt.
 *
 * @param context - of the event
 * @param request - the request
 */
export function leavePrefill ({ effects, state }: RouterContext, request: RequestState): void {
  const belief = state.replicas.get(request.prefillAt ?? '')
  if (belief !== undefined && request.prefillBookingId !== undefined) {
    effects.push({ type: 'release', replicaId: belief.replica.replicaId, address: belief.replica.address, bookingId: request.prefillBookingId })
  }
  request.prefillBookingId = undefined
  if (belief !== undefined) belief.prefillTokens = Math.max(0, belief.prefillTokens - promptTokensOf(request))
  request.prefillAt = undefined
}

/**
 * Gives up the place in the queue of a prefill replica.
 *
 * @param context - of the event
 * @param request - the request
 */
export function leavePrefillSlot ({ effects, state }: RouterContext, request: RequestState): void {
  const { prefillSlot } = request
  request.prefillSlot = undefined
  const belief = state.replicas.get(prefillSlot?.replicaId ?? '')
  if (prefillSlot === undefined || belief === undefined) return
  effects.push({ type: 'release', replicaId: prefillSlot.replicaId, address: belief.replica.address, bookingId: prefillSlot.bookingId })
}

/**
 * Gives booked memory back to its ledger.
 *
 * @param context - of the event
 * @param request - the request
 */
export function leaveReservation (context: RouterContext, request: RequestState): void {
  const { effects, state } = context
  const belief = state.replicas.get(request.reservedAt ?? '')
  if (belief !== undefined && request.bookingId !== undefined) {
    belief.ownTokens = Math.max(0, belief.ownTokens - promptTokensOf(request))
    effects.push({ type: 'release', replicaId: belief.replica.replicaId, address: belief.replica.address, bookingId: request.bookingId })
  }
  leaveHold(context, request)
  leavePermit(context, request)
  request.reservedAt = undefined
  request.bookingId = undefined
}

/**
 * Frees the result of a prefill that no run took.
 *
 * @param context - of the event
 * @param request - the request
 */
export function leaveHandle (context: RouterContext, request: RequestState): void {
  if (request.handle === undefined) return
  const { address, handle, replicaId } = request.handle
  // It lapses by itself where the replica wants no call, or takes no more.
  if (mayRelease(context, replicaId)) context.effects.push({ type: 'free_handle', address, handle })
  request.handle = undefined
}

/**
 * Ends a request whose answer went to the caller whole.
 *
 * @param context - of the event
 * @param request - the request
 * @param inputs - what the log should tell
 */
export function endAnswered (context: RouterContext, request: RequestState, inputs: DecisionInputs): void {
  const isLate = request.isCommitted ? request.isLate : context.nowMs > request.targetAtMs
  logDecision(context, request, 'answered', { ...namesOf(request), steps: request.attempt, isLate, ...inputs })
  end(context, request)
}

/**
 * Ends a request with an answer of the router's own.
 *
 * @param context - of the event
 * @param request - the request
 * @param status - HTTP status; 503 only if the request has not run and never will
 * @param reason - why
 * @param retryAfterMs - when the caller should come back
 */
export function endRefused (context: RouterContext, request: RequestState, status: number, reason: EndReason, retryAfterMs?: number): void {
  context.effects.push({ type: 'abort_send', key: request.key })
  context.effects.push({ type: 'refuse', key: request.key, status, reason, retryAfterMs })
  noteReturning(context, request, retryAfterMs)
  logDecision(context, request, 'refused', { ...namesOf(request), status, reason, retryAfterMs, phase: request.phase, steps: request.attempt })
  end(context, request)
}

function noteReturning ({ nowMs, state }: RouterContext, { route }: RequestState, retryAfterMs: number | undefined): void {
  const waits = state.callerWaits.get(route.name)
  if (waits !== undefined && retryAfterMs !== undefined) noteCallerRefused(waits, nowMs)
}

/**
 * Ends a request whose answer has begun and cannot be completed.
 *
 * @param context - of the event
 * @param request - the request
 * @param reason - why
 */
export function endCut (context: RouterContext, request: RequestState, reason: EndReason): void {
  context.effects.push({ type: 'abort_send', key: request.key })
  context.effects.push({ type: 'cut', key: request.key })
  logDecision(context, request, 'cut', { ...namesOf(request), reason, replica: request.runAt, lastEventId: request.lastEventId, steps: request.attempt })
  end(context, request)
}

/**
 * Ends a request whose caller left.
 *
 * @param context - of the event
 * @param request - the request
 */
export function endCancelled (context: RouterContext, request: RequestState): void {
  noteUnanswered(context, request)
  context.effects.push({ type: 'abort_send', key: request.key })
  logDecision(context, request, 'cancelled', { ...namesOf(request), phase: request.phase, replica: request.runAt ?? request.prefillAt })
  end(context, request)
}

function end (context: RouterContext, request: RequestState): void {
  endPermitWait(context, request)
  leaveRun(context, request)
  leavePrefillSlot(context, request)
  leavePrefill(context, request)
  leaveReservation(context, request)
  leaveHandle(context, request)
  leavePromises(context, request)
  leaveUnits(context, request)
  request.phase = 'ended'
  context.state.requests.delete(request.key)
  context.effects.push({ type: 'forget', key: request.key })
}

function namesOf ({ customer, route }: RequestState): DecisionInputs {
  return { route: route.name, customer: customer?.name }
}

function promptTokensOf (request: RequestState): number {
  return request.prompt?.promptTokens ?? 0
}
