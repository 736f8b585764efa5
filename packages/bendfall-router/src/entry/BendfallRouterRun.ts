/**
 * Runs a request with a prompt at the decode replica whose memory is booked.
 *
 * @module
 */
import { noteFailure, noteSuccess } from './BendfallRouterBelief.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { noteConnectionLost } from './BendfallRouterCrashes.js'
import { logDecision, registrationsAgeMs, noteSent, remainingMs } from './BendfallRouterContext.js'
import { endAnswered, leaveHandle, leaveReservation, leaveRun } from './BendfallRouterEnd.js'
import type { RouterEventOf, SendFailure } from './BendfallRouterEvents.js'
import { readInPlaceMs } from './BendfallRouterReading.js'
import { noteRun } from './BendfallRouterRefusals.js'
import { hasNotRun, mayRunAgain, takeRetry } from './BendfallRouterRetry.js'
import { coverSends, noteSendFailed, paySend, refuseUnpaid, sendRun } from './BendfallRouterSend.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** A second call that reads the prompt counts like the run. */
const SENDS_TO_READ_AND_RUN = 2

/** Told to callers whose request every replica refused. */
const REFUSED_RETRY_MS = 600

/**
 * A run from the result of a prefill that may be repeated is given up without a
 * first event in this time: 99 of 100 have it within 55 ms.
 */
const FIRST_EVENT_TIMEOUT_MS = 300

/** The same where the replica reads the prompt itself: this many times the expected length beyond that. */
const READING_TIMEOUT_FACTOR = 2.5

/**
 * Sends the request to the replica whose memory is booked.
 *
 * @param context - of the event
 * @param request - the request
 * @returns the next step
 */
export function startRun (context: RouterContext, request: RequestState): NextStep {
  const belief = context.state.replicas.get(request.reservedAt ?? '')
  if (belief === undefined) return reserveElsewhere(context, request)
  if (request.handle !== undefined && request.handle.expiresAtMs <= context.nowMs) return readAnew(context, request)
  const { address, replicaId } = belief.replica
  const { handle, hold } = request
  const payment = paySend(context, request, belief)
  if (payment === 'closed') return reserveElsewhere(context, request)
  if (payment === 'unpaid') return refuseUnpaid(request)
  noteSent(context, request, belief, 'run')
  request.handle = undefined
  request.hold = undefined
  request.triedHandle = handle
  sendRun(context, request, payment, {
    key: request.key,
    attempt: request.attempt,
    replicaId,
    address,
    deadlineMs: remainingMs(context, request),
    holdId: hold?.holdId,
    source: handle === undefined ? undefined : `${handle.address}/${handle.handle}`,
    lastEventId: request.lastEventId,
    isStream: true,
    tryTimeoutMs: tryTimeoutOf(context, request, handle !== undefined)
  }, { replica: replicaId, prefillAt: handle?.replicaId, inFlight: belief.inFlight, registrationsAgeMs: registrationsAgeMs(context), attempt: request.attempt, lastEventId: request.lastEventId })
  return undefined
}

function reserveElsewhere (context: RouterContext, request: RequestState): NextStep {
  leaveReservation(context, request)
  return { type: 'reserve' }
}

// Sent with a result that is gone, it would be refused as if there were no memory, and be tried
// with the same one elsewhere.
function readAnew (context: RouterContext, request: RequestState): NextStep {
  logDecision(context, request, 'result_lapsed', { replica: request.handle?.replicaId })
  leaveHandle(context, request)
  return coverSends(context, request, SENDS_TO_READ_AND_RUN) ? { type: 'prefill' } : refuseUnpaid(request)
}

function tryTimeoutOf ({ state }: RouterContext, request: RequestState, isRead: boolean): number | undefined {
  if (!mayRunAgain(request) || request.runs >= request.route.maxAttempts) return undefined
  return FIRST_EVENT_TIMEOUT_MS + (isRead ? 0 : READING_TIMEOUT_FACTOR * readInPlaceMs(state, request))
}

/**
 * Takes the end of a whole answer.
 *
 * @param context - of the event
 * @param request - the request
 * @param event - the answer
 * @returns the next step
 */
export function takeRunAnswer (context: RouterContext, request: RequestState, event: RouterEventOf<'answer_complete'>): NextStep {
  const replica = request.runAt
  const belief = context.state.replicas.get(replica ?? '')
  if (belief !== undefined && event.status < 500) noteSuccess(belief)
  if (belief !== undefined && event.status >= 500) noteFailure(belief, context.nowMs)
  leaveRun(context, request)
  context.effects.push({ type: 'deliver', key: request.key })
  endAnswered(context, request, { status: event.status, replica, events: event.outputEvents, longestGapMs: event.longestGapMs })
  return undefined
}

/**
 * Takes the failure of a run: it is tried elsewhere where that is allowed,
 * from the prefill's result while that lasts.
 *
 * @param context - of the event
 * @param request - the request
 * @param event - how it failed
 * @returns the next step
 */
export function takeRunFailure (context: RouterContext, request: RequestState, event: RouterEventOf<'run_failed'>): NextStep {
  const { failure } = event
  const replicaId = request.runAt ?? ''
  const belief = context.state.replicas.get(replicaId)
  if (failure === 'connection_lost') noteConnectionLost(context, request)
  if (belief !== undefined && failure !== 'not_run') noteFailure(belief, context.nowMs, failure)
  if (hasNotRun(failure)) request.runs -= 1
  if (failure === 'not_run') noteRun(context, request.service, 'refused')
  noteSendFailed(context, request, failure)
  if (event.lastEventId !== undefined) request.lastEventId = event.lastEventId
  if (request.isCommitted) request.brokenOffAtMs = context.nowMs
  request.excluded.add(replicaId)
  logDecision(context, request, 'run_failed', { replica: replicaId, failure, isCommitted: request.isCommitted, attempt: request.attempt })
  leaveRun(context, request)
  leaveReservation(context, request)
  keepHandle(context, request, failure)
  const mayGoOn = !request.isCommitted || context.state.decisions.resume === 'elsewhere'
  if (mayGoOn && takeRetry(context, request, failure)) return { type: 'reserve' }
  if (request.isCommitted) return { type: 'cut', reason: 'replica_failed' }
  if (request.runs > 0) return { type: 'refuse', status: 502, reason: 'replica_failed' }
  return { type: 'refuse', status: 503, reason: 'replica_refused', retryAfterMs: REFUSED_RETRY_MS }
}

/**
 * Takes a run that has not begun to answer in time: its connection is closed, so
 * that the replica drops it, before it is tried elsewhere.
 *
 * @param context - of the event
 * @param request - the request
 * @returns the next step
 */
export function takeRunTimeout (context: RouterContext, request: RequestState): NextStep {
  context.effects.push({ type: 'abort_send', key: request.key })
  return takeRunFailure(context, request, { type: 'run_failed', atMs: context.nowMs, key: request.key, attempt: request.attempt, failure: 'unknown' })
}

// A handle can be taken once: only a replica that was not reached, or that
// refused for want of memory, leaves it usable.
function keepHandle (context: RouterContext, request: RequestState, failure: SendFailure): void {
  const { triedHandle } = request
  request.triedHandle = undefined
  if (triedHandle === undefined || !hasNotRun(failure)) return
  request.handle = triedHandle
  if (triedHandle.expiresAtMs <= context.nowMs) leaveHandle(context, request)
}
