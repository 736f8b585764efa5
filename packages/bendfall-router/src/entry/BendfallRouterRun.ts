/**
 * Runs a request with a prompt on the decode replica whose memory is booked, and handles its
 * response, failure or timeout.
 *
 * @module
 */
import { recordFailedRun, recordFailure, recordSuccess, usableReplicas } from './BendfallRouterReplicaHealth.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { recordConnectionLost } from './BendfallRouterCrashes.js'
import { logDecision, registrationsAgeMs, recordSent, remainingMs } from './BendfallRouterContext.js'
import { endAnswered, releaseHandle, releaseReservation, releaseRun } from './BendfallRouterEnd.js'
import type { RouterEventOf, SendFailure } from './BendfallRouterEvents.js'
import { canRunOn } from './BendfallRouterEligibility.js'
import { chooseMemoryOption } from './BendfallRouterMemoryOptions.js'
import { inPlacePrefillMs } from './BendfallRouterPrefillPlacement.js'
import { keepsResults, recordRefusedResult } from './BendfallRouterPrefillResults.js'
import { recordRunOutcome } from './BendfallRouterRefusals.js'
import { hasNotRun, mayRunAgain, authorizeRetry } from './BendfallRouterRetry.js'
import { reserveSends, recordSendFailure, chargeSend, refuseOverBudget, sendRun } from './BendfallRouterSend.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** Sends of a repeated prefill and of the run; only the first prefill is free. */
const PREFILL_AND_RUN_SENDS = 2

/** `Retry-After` for requests that every replica refused. */
const REFUSED_RETRY_MS = 600

/**
 * Timeout for the first event of a repeatable run that starts from a prefill result; 99 of 100
 * arrive within 55 ms.
 */
const FIRST_EVENT_TIMEOUT_MS = 300

/** Added to that timeout for an in-place prefill, as a multiple of its predicted duration. */
const IN_PLACE_TIMEOUT_FACTOR = 2.5

/**
 * Sends a request to the replica whose memory is booked.
 *
 * @param context - state, time and effects of the current event
 * @param request - request with booked memory
 * @returns the next step
 */
export function startRun (context: RouterContext, request: RequestState): NextStep {
  const view = context.state.replicas.get(request.reservedReplicaId ?? '')
  if (view === undefined || !canRunOn(request, view)) return reserveElsewhere(context, request)
  if (request.handle !== undefined && request.handle.expiresAtMs <= context.nowMs) return repeatPrefill(context, request)
  const { address, replicaId } = view.replica
  const { handle, hold } = request
  const charge = chargeSend(context, request, view)
  if (charge === 'closed') return reserveElsewhere(context, request)
  if (charge === 'unpaid') return refuseOverBudget(request)
  recordSent(context, request, view, 'run')
  request.handle = undefined
  request.hold = undefined
  request.sentHandle = handle
  sendRun(context, request, charge, {
    key: request.key,
    attempt: request.attempt,
    replicaId,
    address,
    deadlineMs: remainingMs(context, request),
    holdId: hold?.holdId,
    source: handle === undefined ? undefined : `${handle.address}/${handle.handle}`,
    lastEventId: request.lastEventId,
    isStream: true,
    tryTimeoutMs: tryTimeoutMsOf(context, request, handle !== undefined)
  }, { replica: replicaId, softwareVersion: view.replica.softwareVersion, prefillAt: handle?.replicaId, inFlight: view.inFlight, registrationsAgeMs: registrationsAgeMs(context), attempt: request.attempt, lastEventId: request.lastEventId })
  return undefined
}

function reserveElsewhere (context: RouterContext, request: RequestState): NextStep {
  releaseReservation(context, request)
  return { type: 'reserve' }
}

// A run with an expired prefill result would be refused as if memory were missing, and would then be
// retried elsewhere with the same result.
function repeatPrefill (context: RouterContext, request: RequestState): NextStep {
  logDecision(context, request, 'result_lapsed', { replica: request.handle?.replicaId })
  releaseHandle(context, request)
  return reserveSends(context, request, PREFILL_AND_RUN_SENDS) ? { type: 'prefill' } : refuseOverBudget(request)
}

function tryTimeoutMsOf ({ state }: RouterContext, request: RequestState, isPrefilled: boolean): number | undefined {
  if (!mayRunAgain(request) || request.runs >= request.route.maxAttempts) return undefined
  return FIRST_EVENT_TIMEOUT_MS + (isPrefilled ? 0 : IN_PLACE_TIMEOUT_FACTOR * inPlacePrefillMs(state, request))
}

/**
 * Handles the complete response to a run and ends the request. A run that the replica answered with an error is
 * retried on another one where that is allowed.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that was run
 * @param event - status and output of the response
 * @returns the next step
 */
export function handleRunAnswer (context: RouterContext, request: RequestState, event: RouterEventOf<'answer_complete'>): NextStep {
  const replica = request.runReplicaId
  const view = context.state.replicas.get(replica ?? '')
  if (view !== undefined && event.status < 500) recordSuccess(view, context.nowMs)
  if (view !== undefined && event.status >= 500) {
    if (context.state.decisions.failedRuns === 'elsewhere') recordFailedRun(view, context.nowMs)
    else recordFailure(view, context.nowMs)
    if (mayRetryError(context, request) && authorizeRetry(context, request, 'unknown')) return retryError(context, request)
  }
  releaseRun(context, request)
  context.effects.push({ type: 'deliver', key: request.key })
  endAnswered(context, request, { status: event.status, replica, events: event.outputEvents, longestGapMs: event.longestGapMs })
  return undefined
}

// Without another replica that has memory now, a retry would discard a response that is already available.
function mayRetryError (context: RouterContext, request: RequestState): boolean {
  if (context.state.decisions.failedRuns !== 'elsewhere' || request.isCommitted || context.state.isRefreshPending) return false
  const others = usableReplicas(context, request, 'decode').filter(({ replica }) => replica.replicaId !== request.runReplicaId)
  return chooseMemoryOption(context, request, others)?.waitMs === 0
}

function retryError (context: RouterContext, request: RequestState): NextStep {
  context.effects.push({ type: 'abort_send', key: request.key })
  leaveReplica(context, request, 'unknown')
  return { type: 'reserve' }
}

/**
 * Handles a failed run: retries it on another replica where that is allowed, reusing the prefill
 * result while that is valid.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that was run
 * @param event - how the run failed, and the last event that was delivered
 * @returns the next step
 */
export function handleRunFailure (context: RouterContext, request: RequestState, event: RouterEventOf<'run_failed'>): NextStep {
  const { failure } = event
  const replicaId = request.runReplicaId ?? ''
  const view = context.state.replicas.get(replicaId)
  if (failure === 'connection_lost') recordConnectionLost(context, request)
  if (view !== undefined && failure !== 'not_run') recordFailure(view, context.nowMs, failure)
  if (hasNotRun(failure)) request.runs -= 1
  if (failure === 'not_run') recordRunOutcome(context, request.service, 'refused')
  if (failure === 'not_run') recordRefusedResult(context, request)
  recordSendFailure(context, request, failure)
  if (event.lastEventId !== undefined) request.lastEventId = event.lastEventId
  if (request.isCommitted) request.interruptedAtMs = context.nowMs
  leaveReplica(context, request, failure)
  const mayResume = !request.isCommitted || context.state.decisions.resume === 'elsewhere'
  if (mayResume && authorizeRetry(context, request, failure)) return { type: 'reserve' }
  if (request.isCommitted) return { type: 'cut', reason: 'replica_failed' }
  if (request.runs > 0) return { type: 'refuse', status: 502, reason: 'replica_failed' }
  return { type: 'refuse', status: 503, reason: 'replica_refused', retryAfterMs: REFUSED_RETRY_MS }
}

/**
 * Handles a run whose response has not started in time. Closes its connection first, so that the
 * replica drops the run before it is retried elsewhere.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that timed out
 * @returns the next step
 */
export function handleRunTimeout (context: RouterContext, request: RequestState): NextStep {
  context.effects.push({ type: 'abort_send', key: request.key })
  return handleRunFailure(context, request, { type: 'run_failed', atMs: context.nowMs, key: request.key, attempt: request.attempt, failure: 'unknown' })
}

function leaveReplica (context: RouterContext, request: RequestState, failure: SendFailure): void {
  const replica = request.runReplicaId ?? ''
  request.excluded.add(replica)
  logDecision(context, request, 'run_failed', { replica, failure, isCommitted: request.isCommitted, attempt: request.attempt })
  releaseRun(context, request)
  releaseReservation(context, request)
  keepHandle(context, request, failure)
}

// A handle can be used once. It stays valid only if the replica was not reached or refused the run
// for lack of memory.
function keepHandle (context: RouterContext, request: RequestState, failure: SendFailure): void {
  const { sentHandle } = request
  request.sentHandle = undefined
  if (sentHandle === undefined || !hasNotRun(failure)) return
  request.handle = sentHandle
  const view = context.state.replicas.get(sentHandle.replicaId)
  const isLost = view !== undefined && !keepsResults(view, context.nowMs)
  if (isLost) request.reading = 'in_place_only'
  if (isLost || sentHandle.expiresAtMs <= context.nowMs) releaseHandle(context, request)
}
