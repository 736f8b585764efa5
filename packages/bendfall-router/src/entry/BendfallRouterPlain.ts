/**
 * Sends calls without a prompt to the replica with the lowest expected latency and handles their
 * responses and failures.
 *
 * @module
 */
import { chooseOfTwo } from '../plain/BendfallRouterPlainChoice.js'
import { continueTrial, withinTrials } from '../plain/BendfallRouterPlainTrial.js'
import { recordFailure, recordSuccess, usableReplicas } from './BendfallRouterReplicaHealth.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { draw, logDecision, registrationsAgeMs, recordSent, remainingMs } from './BendfallRouterContext.js'
import { recordConnectionLost } from './BendfallRouterCrashes.js'
import { endAnswered, releaseRun } from './BendfallRouterEnd.js'
import { expectedLatencyMs, failureShareOf, highLatencyMs, isProbeDue } from './BendfallRouterEstimates.js'
import type { RouterEventOf, SendFailure } from './BendfallRouterEvents.js'
import { refuseBackoff } from './BendfallRouterNotice.js'
import { awaitPermit } from './BendfallRouterPermitWait.js'
import { awaitPlace, isLimited, isOverloadRefusal, recordPlainAnswer, recordPlainRefusal, refuseOverload, replicasWithPlace, takePlace, tryReplica } from './BendfallRouterPlainWait.js'
import { requestMissingPermits } from './BendfallRouterPermits.js'
import { limitOf } from './BendfallRouterReplicaLimit.js'
import { hasNotRun, mayRunAgain, authorizeRetry } from './BendfallRouterRetry.js'
import { recordSendFailure, chargeSend, refuseOverBudget, sendRun } from './BendfallRouterSend.js'
import { recordAnswered, recordUnanswered } from './BendfallRouterStalls.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'

/** Mean `Retry-After` when no replica is known; registrations are read within a second. */
const NO_REPLICA_RETRY_MS = 1_000

/** `Retry-After` when replicas refused the request: a few service times of a full queue. */
const REFUSED_RETRY_MS = 500

/** Candidates among which the best is chosen; with more, all entries would choose the same replica. */
const MAX_CANDIDATES = 6

/** Extra expected latency, as a share and as a constant, that is accepted for a replica with an available permit. */
const PERMIT_PREFERENCE_SHARE = 0.3
const PERMIT_PREFERENCE_MS = 20

/** Share of the calls that probe a replica without a recent response time. */
const PROBE_SHARE = 0.02

/** Timeout of a repeatable send, as a multiple of the mean latency of the replica. */
const TRY_TIMEOUT_FACTOR = 6

/** Added to the longest usual response in the lower bound of that timeout: TCP retransmits a lost segment after 200 ms at the earliest. */
const RETRANSMISSION_MS = 200

/**
 * Sends a call to the replica with the lowest expected latency.
 *
 * @param context - state, time and effects of the current event
 * @param request - request to send
 * @returns the next step
 */
export function startPlain (context: RouterContext, request: RequestState): NextStep {
  if (context.state.plainQueues.has(request.service) && remainingMs(context, request) === 0) return refuseExpired(request)
  requestMissingPermits(context, request, stageFor(request))
  const usable = usableReplicas(context, request, stageFor(request))
  const view = chooseReplica(context, withinTrials(replicasWithPlace(context, request, usable), context.nowMs))
  const hasWaited = request.hasPlainTurn === true
  request.hasPlainTurn = undefined
  if (view === undefined) return usable.length > 0 ? awaitPlace(context, request, usable) : handleNoReplica(context, request)
  const { address, replicaId } = view.replica
  const charge = chargeSend(context, request, view)
  if (charge === 'closed' || charge === 'unpaid') return refuseOverBudget(request)
  takePlace(context, request, view, hasWaited)
  recordSent(context, request, view, 'plain')
  sendRun(context, request, charge, {
    key: request.key,
    attempt: request.attempt,
    replicaId,
    address,
    deadlineMs: remainingMs(context, request),
    lastEventId: request.lastEventId,
    isStream: request.route.kind === 'streaming',
    tryTimeoutMs: tryTimeoutMsOf(request, view)
  }, { replica: replicaId, softwareVersion: view.replica.softwareVersion, inFlight: view.inFlight, limit: view.plainLimit === undefined ? undefined : round(view.plainLimit.calls), registrationsAgeMs: registrationsAgeMs(context), latencyMs: Math.round(view.latencyMs), latencyAgeMs: latencyAgeMs(context, view), failureShare: round(failureShareOf(view, context.nowMs)), attempt: request.attempt })
  return undefined
}

function isDown (failure: SendFailure): boolean {
  return failure === 'connection_lost' || failure === 'not_sent'
}

// After a pause of the process, a call may be started before its overdue deadline is handled. At a service that never
// made calls wait, it is sent as before.
function refuseExpired ({ runs }: RequestState): NextStep {
  return runs > 0 ? { type: 'refuse', status: 504, reason: 'deadline' } : { type: 'refuse', status: 503, reason: 'deadline', retryAfterMs: NO_REPLICA_RETRY_MS }
}

// Without another replica that has a place now, a retry would discard a response that is already available.
function hasOtherReplica (context: RouterContext, request: RequestState): boolean {
  const others = usableReplicas(context, request, stageFor(request)).filter(({ replica }) => replica.replicaId !== request.runReplicaId)
  return replicasWithPlace(context, request, others).length > 0
}

function handleNoReplica (context: RouterContext, request: RequestState): NextStep {
  const stage = stageFor(request)
  const limited = awaitPermit(context, request, stage, 'plain')
  if (limited !== undefined) return limited.next
  const backoff = refuseBackoff(context, request, stage)
  if (backoff !== undefined) return backoff
  if (request.isRefused === true) return refuseOverload(context, request, 0)
  if (request.runs > 0) return { type: 'refuse', status: 502, reason: 'replica_failed' }
  const spread = isLimited(context.state, request) ? 0.5 + draw(context.state) : 1
  return { type: 'refuse', status: 503, reason: 'no_replica', retryAfterMs: Math.round(NO_REPLICA_RETRY_MS * spread) }
}

function stageFor ({ route }: RequestState): 'decode' | 'plain' {
  return route.hasPrompt ? 'decode' : 'plain'
}

/**
 * Handles the complete response to a call. A failed one is retried on another replica where that
 * is allowed; any other response is delivered to the caller.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that was answered
 * @param event - response of the replica
 * @returns the next step
 */
export function handlePlainAnswer (context: RouterContext, request: RequestState, event: RouterEventOf<'answer_complete'>): NextStep {
  const view = context.state.replicas.get(request.runReplicaId ?? '')
  const isFailure = event.status >= 500
  if (view !== undefined && isFailure) recordFailure(view, context.nowMs)
  if (view !== undefined) recordAnswered(view, request)
  if (view !== undefined && !isFailure) recordSuccess(view, context.nowMs, context.nowMs - (request.runSentAtMs ?? context.nowMs))
  if (view !== undefined && !isFailure) view.trial = continueTrial(view.trial)
  if (view !== undefined && !isFailure) recordPlainAnswer(context, request, view)
  if (isFailure && !request.isCommitted && hasOtherReplica(context, request) && authorizeRetry(context, request, 'unknown')) return retryElsewhere(context, request, 'failed_answer')
  const replica = request.runReplicaId
  releaseRun(context, request)
  context.effects.push({ type: 'deliver', key: request.key })
  endAnswered(context, request, { status: event.status, replica })
  return undefined
}

/**
 * Handles a send that failed without a complete response.
 *
 * @param context - state, time and effects of the current event
 * @param request - request whose send failed
 * @param failure - how the send failed, which decides whether the request may have run
 * @returns the next step
 */
export function handlePlainFailure (context: RouterContext, request: RequestState, failure: SendFailure): NextStep {
  const view = context.state.replicas.get(request.runReplicaId ?? '')
  if (failure === 'connection_lost') recordConnectionLost(context, request)
  if (view !== undefined && isDown(failure)) tryReplica(context, view)
  const isOverload = failure === 'not_run' && view !== undefined && isOverloadRefusal(context, request, view)
  if (isOverload) recordPlainRefusal(context, request, view)
  if (view !== undefined && !isOverload) recordFailure(view, context.nowMs, failure)
  recordUnanswered(context, request)
  recordSendFailure(context, request, failure)
  if (request.isCommitted) return { type: 'cut', reason: 'replica_failed' }
  if (hasNotRun(failure)) request.runs -= 1
  if (failure === 'not_run' && isLimited(context.state, request)) request.isRefused = true
  if (authorizeRetry(context, request, failure)) return isOverload ? retryAnywhere(context, request, failure) : retryElsewhere(context, request, failure)
  if (failure === 'not_run' && isLimited(context.state, request)) return refuseOverload(context, request, 0)
  if (hasNotRun(failure) && request.runs === 0) return { type: 'refuse', status: 503, reason: 'replica_refused', retryAfterMs: REFUSED_RETRY_MS }
  return { type: 'refuse', status: 502, reason: 'replica_failed' }
}

/**
 * Handles the timeout of a try without a complete response. The call is sent to another replica, or goes on at its own
 * while no other one has a place: the timeout would discard the only answer that is under way.
 *
 * @param context - state, time and effects of the current event
 * @param request - request whose try timed out
 * @returns the next step; undefined if the call goes on
 */
export function handlePlainTimeout (context: RouterContext, request: RequestState): NextStep {
  if (context.state.decisions.plainTimeout === 'with_place' && !(hasPlaceElsewhere(context, request) && authorizeRetry(context, request, 'unknown'))) {
    if (request.overtimeAttempt !== request.attempt) logDecision(context, request, 'try_continued', { replica: request.runReplicaId, service: request.service })
    request.overtimeAttempt = request.attempt
    return undefined
  }
  return handlePlainFailure(context, request, 'unknown')
}

/**
 * Lists the calls that go on after their timeout and may now be sent to another replica.
 *
 * @param context - state, time and effects of the current tick
 * @returns requests to which `handlePlainTimeout` is to be applied again
 */
export function requestsInOvertime ({ state }: RouterContext): RequestState[] {
  return [...state.requests.values()].filter(({ attempt, isCommitted, overtimeAttempt, phase }) => phase === 'plain' && !isCommitted && overtimeAttempt === attempt)
}

// The replica of the call is left out beforehand, as for a retry: suspect replicas count where no other is left.
function hasPlaceElsewhere (context: RouterContext, request: RequestState): boolean {
  const { runReplicaId = '' } = request
  const excluded = new Set([...request.excluded, runReplicaId])
  return replicasWithPlace(context, request, usableReplicas(context, { ...request, excluded }, stageFor(request))).length > 0
}

function retryElsewhere (context: RouterContext, request: RequestState, cause: string): NextStep {
  if (request.runReplicaId !== undefined) request.excluded.add(request.runReplicaId)
  return retryAnywhere(context, request, cause)
}

// A replica that has no room is not excluded: its limit decides when it gets the next call.
function retryAnywhere (context: RouterContext, request: RequestState, cause: string): NextStep {
  logDecision(context, request, 'retried', { cause, replica: request.runReplicaId, attempt: request.attempt })
  context.effects.push({ type: 'abort_send', key: request.key })
  releaseRun(context, request)
  return { type: 'plain' }
}

function chooseReplica (context: RouterContext, candidates: ReplicaView[]): ReplicaView | undefined {
  const usable = sampleCandidates(context, candidates)
  const probed = chooseProbe(context, usable)
  if (probed !== undefined) return probed
  if (usable.some(({ plainLimit }) => plainLimit !== undefined)) return chooseOfTwo(usable, (view) => expectedLatencyMs(view, context.nowMs), () => draw(context.state))
  let best: ReplicaView | undefined
  let bestMs = Infinity
  for (const view of usable) {
    const latencyMs = expectedLatencyMs(view, context.nowMs)
    const expectedMs = latencyMs - permitPreferenceMs(context, view, latencyMs)
    if (expectedMs >= bestMs || (best !== undefined && context.state.decisions.replica === 'random')) continue
    best = view
    bestMs = expectedMs
  }
  return best
}

function chooseProbe ({ nowMs, state }: RouterContext, views: readonly ReplicaView[]): ReplicaView | undefined {
  const due = views.find((view) => isProbeDue(view, nowMs))
  return due !== undefined && draw(state) < PROBE_SHARE ? due : undefined
}

// Starts at a random index, so that replicas with equal latency share the load.
function sampleCandidates (context: RouterContext, views: ReplicaView[]): ReplicaView[] {
  const start = Math.floor(draw(context.state) * views.length)
  return [...views.slice(start), ...views.slice(0, start)].slice(0, MAX_CANDIDATES)
}

// Permits expire soon. Spending one leaves the replicas without a limit to requests that have no permit.
function permitPreferenceMs ({ state }: RouterContext, view: ReplicaView, latencyMs: number): number {
  return limitOf(state, view.replica) === undefined ? 0 : PERMIT_PREFERENCE_SHARE * latencyMs + PERMIT_PREFERENCE_MS
}

function tryTimeoutMsOf (request: RequestState, view: ReplicaView): number | undefined {
  if (!mayRunAgain(request) || request.runs >= request.route.maxAttempts) return undefined
  return Math.max(RETRANSMISSION_MS + highLatencyMs(view), TRY_TIMEOUT_FACTOR * view.latencyMs)
}

function latencyAgeMs ({ nowMs }: RouterContext, { latencyAtMs }: ReplicaView): number | undefined {
  return latencyAtMs === -Infinity ? undefined : Math.round(nowMs - latencyAtMs)
}

function round (share: number): number {
  return Math.round(share * 100) / 100
}
