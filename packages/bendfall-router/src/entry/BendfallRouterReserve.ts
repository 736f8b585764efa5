/**
 * Books decode memory before a prompt is prefilled, so that no prefill is wasted on a request for
 * which no decode replica has memory.
 *
 * @module
 */
import type { Prompt } from '../BendfallRouterTypes.js'
import { recordLedgerUnreachable } from './BendfallRouterReplicaHealth.js'
import { callerTimeoutAtMs, maxRetryMs, targetAtMs } from './BendfallRouterCallerTime.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import { startCapacityWait } from './BendfallRouterCapacityMoves.js'
import { releaseReservation } from './BendfallRouterEnd.js'
import { startHold, applyHoldOutcome } from './BendfallRouterHold.js'
import type { HoldOutcome, ReserveOutcome } from './BendfallRouterEvents.js'
import { requestLoads, candidateReplicas } from './BendfallRouterLoads.js'
import { chooseMemoryOption, expectedTokens, estimateOutputTokens } from './BendfallRouterMemoryOptions.js'
import type { MemoryOption } from './BendfallRouterMemoryOptions.js'
import { isAcceptingRequests, refuseBackoff } from './BendfallRouterNotice.js'
import { planPrefill } from './BendfallRouterPrefillPlan.js'
import { awaitPermit } from './BendfallRouterPermitWait.js'
import { acquireRunPermit, tryUsePermit, requestMissingPermits } from './BendfallRouterPermits.js'
import { canPrefillNow, FIRST_EVENT_MS, inPlacePrefillMs } from './BendfallRouterPrefillPlacement.js'
import type { RequestState } from './BendfallRouterRequest.js'
import { recordGrant, returnDelayMs, scheduleNameOf } from './BendfallRouterReturns.js'
import { shareOf } from './BendfallRouterShares.js'
import { growSubset } from './BendfallRouterSubset.js'
import { endWaitTime, startWaitTime } from './BendfallRouterWaitTimes.js'
import { widenSample } from './BendfallRouterWidening.js'

/** Number of replicas that may refuse memory before the request is refused. */
const MAX_REFUSALS = 3

/** Number of them while a replica is known that seems to have room. */
const MAX_REFUSALS_WITH_ROOM = 6

/** `Retry-After` when no decode replica is known. */
const NO_REPLICA_RETRY_MS = 1_000

/** Part of a caller's patience reserved for prediction errors. */
const PATIENCE_MARGIN_MS = 600

/** Safety margin before a prefill result expires. */
const HANDLE_MARGIN_MS = 120

/**
 * Requests a reservation at the decode replica that is expected to have free memory first.
 *
 * @param context - state, time and effects of the current event
 * @param request - request with a prompt
 * @returns the next step
 */
export function startReserve (context: RouterContext, request: RequestState): NextStep {
  requestMissingPermits(context, request, 'decode')
  if (requestLoads(context, request, 'reserve')) return undefined
  return request.reading === 'in_place' ? reserveInPlace(context, request) : reserveMemory(context, request)
}

// In-place prefill is chosen to start sooner, so a replica that requires a wait is not used for it.
function reserveInPlace (context: RouterContext, request: RequestState): NextStep {
  const candidates = candidateReplicas(context, request, 'decode').filter((view) => canPrefillNow(view, request))
  if (candidates.length === 0) return fallBackToPrefillPool(context, request)
  const best = chooseMemoryOption(context, request, candidates)
  return best === undefined || best.waitMs > 0 ? fallBackToPrefillPool(context, request) : requestReservation(context, request, best, 0, 0)
}

function reserveMemory (context: RouterContext, request: RequestState): NextStep {
  const decodes = candidateReplicas(context, request, 'decode')
  const limited = decodes.length === 0 ? awaitPermit(context, request, 'decode', 'reserve') : undefined
  if (limited !== undefined) return limited.next
  if (decodes.length === 0) return refuseBackoff(context, request, 'decode') ?? refuseForCapacity(context, request, NO_REPLICA_RETRY_MS, 'no_replica')
  const plan = planPrefill(context, request)
  const leadMs = request.handle !== undefined ? 0 : plan?.leadMs ?? 0
  const maxWaitMs = computeMaxWaitMs(context, request, leadMs)
  const best = chooseMemoryOption(context, request, decodes)
  const isShort = best === undefined || best.waitMs > 0
  if (isShort && growSubset(context, request, 'decode')) return reserveFromMore(request)
  if (best === undefined || maxWaitMs < 0 || best.waitMs > maxWaitMs + leadMs) {
    if (widenSample(context, request, 'decode', 'reserve')) return undefined
    return refuseForCapacity(context, request, Math.min(best?.waitMs ?? Infinity, request.retryAfterMs ?? Infinity), 'no_memory')
  }
  return requestReservation(context, request, best, leadMs, maxWaitMs)
}

/**
 * Handles the response of a ledger to a reservation.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that the reservation belongs to
 * @param outcome - response of the ledger, or why there is none
 * @returns the next step
 */
export function handleReserveAnswer (context: RouterContext, request: RequestState, outcome: ReserveOutcome): NextStep {
  const replicaId = request.reservedReplicaId ?? ''
  const view = context.state.replicas.get(replicaId)
  endWaitTime(context, request)
  logDecision(context, request, `reservation_${outcome.type}`, { replica: replicaId })
  if (outcome.type === 'granted') {
    recordGrant(context, scheduleNameOf(context, request))
    return stepAfterReservation(request)
  }
  if (outcome.type === 'unreachable') {
    if (view !== undefined) recordLedgerUnreachable(view, context.nowMs)
    if (view === undefined || !isAcceptingRequests(context, view)) return retryReservation(context, request)
    if (!tryUsePermit(context, view)) return stepAfterReservation(request)
    return startHold(context, request, view, expectedTokens(request), request.handle === undefined ? planPrefill(context, request)?.leadMs ?? inPlacePrefillMs(context.state, request) : 0)
  }
  if (outcome.type === 'replica_lost') return retryWithoutReplica(context, request, replicaId)
  // Otherwise a customer whose callers retry at once makes the replica look full to all others until the next load.
  if (view !== undefined && request.customer !== undefined) view.bookedTokensSinceLoad = Math.max(0, view.bookedTokensSinceLoad - expectedTokens(request))
  if (request.reading === 'in_place') return fallBackToPrefillPool(context, request)
  request.retryAfterMs = Math.min(request.retryAfterMs ?? Infinity, outcome.retryAfterMs)
  request.refusals += 1
  request.excluded.add(replicaId)
  return retryReservation(context, request)
}

/**
 * Handles the response of a replica that was asked to hold memory because its ledger is unavailable.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that the memory is for
 * @param outcome - response of the replica, or why there is none
 * @returns the next step
 */
export function handleHoldAnswer (context: RouterContext, request: RequestState, outcome: HoldOutcome): NextStep {
  if (applyHoldOutcome(context, request, outcome)) return stepAfterReservation(request)
  request.refusals += 1
  if (request.reservedReplicaId !== undefined) request.excluded.add(request.reservedReplicaId)
  return retryReservation(context, request)
}

// Tries another replica. A lost replica does not count as a refusal for lack of memory.
function retryWithoutReplica (context: RouterContext, request: RequestState, replicaId: string): NextStep {
  releaseReservation(context, request)
  request.excluded.add(replicaId)
  return { type: 'reserve' }
}

// Falls back to a prefill replica, since no decode replica can start the prefill at once.
function fallBackToPrefillPool (context: RouterContext, request: RequestState): NextStep {
  releaseReservation(context, request)
  request.reading = 'apart'
  request.isInPlaceRefused = true
  return { type: 'queue' }
}

function stepAfterReservation (request: RequestState): NextStep {
  return request.handle !== undefined || request.reading !== 'apart' ? { type: 'run' } : { type: 'prefill' }
}

function retryReservation (context: RouterContext, request: RequestState): NextStep {
  releaseReservation(context, request)
  if (request.refusals < MAX_REFUSALS) return { type: 'reserve' }
  if (growSubset(context, request, 'decode')) return reserveFromMore(request)
  if (widenSample(context, request, 'decode', 'reserve')) return undefined
  if (hasRoomNow(context, request)) return { type: 'reserve' }
  return refuseForCapacity(context, request, request.retryAfterMs ?? 0, 'no_memory')
}

// Loads may be known that were learned since the first refusal.
function hasRoomNow (context: RouterContext, request: RequestState): boolean {
  if (context.state.decisions.widening === 'none' || request.refusals >= MAX_REFUSALS_WITH_ROOM) return false
  return chooseMemoryOption(context, request, candidateReplicas(context, request, 'decode'))?.waitMs === 0
}

// The loads of the replicas that the subset has gained are not known yet.
function reserveFromMore (request: RequestState): NextStep {
  request.loadsRequestedAtMs = -Infinity
  return { type: 'reserve' }
}

function requestReservation (context: RouterContext, request: RequestState, option: MemoryOption, leadMs: number, maxWaitMs: number): NextStep {
  const { view } = option
  const prompt = request.prompt as Prompt
  const { address, replicaId } = view.replica
  request.phase = 'reserve'
  request.attempt += 1
  request.reservedReplicaId = replicaId
  request.bookingId = `${request.requestId}/${request.attempt}`
  view.bookedTokensSinceLoad += prompt.promptTokens + estimateOutputTokens(prompt)
  view.ownTokens += prompt.promptTokens
  const readsInPlace = request.reading !== 'apart' && request.handle === undefined
  const readMs = readsInPlace ? inPlacePrefillMs(context.state, request) : 0
  if (readsInPlace) view.prefillTokensSinceLoad += prompt.promptTokens
  logDecision(context, request, 'reservation_asked', {
    replica: replicaId, waitMs: Math.round(option.waitMs), roomTokens: Math.round(option.roomTokens), loadAgeMs: Math.round(context.nowMs - view.loadAtMs), leadMs: Math.round(leadMs), maxWaitMs: Math.round(maxWaitMs), reading: request.reading
  })
  acquireRunPermit(context, request, view)
  if (context.state.decisions.reserve === 'none') return stepAfterReservation(request)
  // If the rate limit permits only one call, the run takes precedence over the hold.
  if (view.ledgerDownUntilMs > context.nowMs && !tryUsePermit(context, view)) return stepAfterReservation(request)
  if (view.ledgerDownUntilMs > context.nowMs) return startHold(context, request, view, expectedTokens(request), leadMs + readMs)
  startWaitTime(context, request, 'memory')
  context.effects.push({
    type: 'reserve',
    key: request.key,
    attempt: request.attempt,
    replicaId,
    address,
    bookingId: request.bookingId,
    promptTokens: prompt.promptTokens,
    hintTokens: estimateOutputTokens(prompt),
    maxOutputTokens: prompt.maxOutputTokens,
    leadMs,
    maxWaitMs,
    onTimeWaitMs: computeOnTimeWaitMs(context, request, leadMs + readMs),
    priority: request.priority,
    isContinuation: isContinuation(request),
    readsInPlace,
    ...shareOf(request.customer)
  })
  if (maxWaitMs > 0) startCapacityWait(context, request, option.waitMs > 0)
  return undefined
}

/**
 * Refuses a request for which no capacity is expected in time.
 *
 * @param context - state, time and effects of the current event
 * @param request - request to refuse; a response that has started is cut instead
 * @param waitMs - predicted time until capacity is available, may be infinite
 * @param reason - resource that is missing
 * @returns the next step
 */
export function refuseForCapacity (context: RouterContext, request: RequestState, waitMs: number, reason: 'no_memory' | 'no_replica' | 'prefill_busy'): NextStep {
  if (request.isCommitted) return { type: 'cut', reason }
  return { type: 'refuse', status: request.runs > 0 ? 502 : 503, reason, retryAfterMs: returnDelayMs(context, scheduleNameOf(context, request), waitMs, maxRetryMs(context, request)) }
}

/**
 * Computes how long a request may wait for capacity: until its caller would time out, minus the time
 * for the steps after the wait.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that would wait
 * @param leadMs - predicted time from the end of the wait until the prefill is complete
 * @returns milliseconds; negative if the response would come too late
 */
export function computeMaxWaitMs ({ nowMs }: RouterContext, request: RequestState, leadMs: number): number {
  if (request.handle === undefined) {
    // The caller's patience restarts with each event. When it was counted from the arrival, 12 of
    // 700 streams on a day with crashes were cut without an attempt to resume them.
    return callerTimeoutAtMs(request) - PATIENCE_MARGIN_MS - nowMs - leadMs - FIRST_EVENT_MS
  }
  return request.handle.expiresAtMs - HANDLE_MARGIN_MS - nowMs
}

/**
 * Computes how long a request may wait for capacity if its response is to meet the latency target of its route.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that would wait
 * @param leadMs - predicted time from the end of the wait until the prefill is complete
 * @returns milliseconds; 0 if the target can't be met
 */
export function computeOnTimeWaitMs ({ nowMs }: RouterContext, request: RequestState, leadMs: number): number {
  return Math.max(0, targetAtMs(request) - nowMs - leadMs - FIRST_EVENT_MS)
}

/**
 * Checks whether a request continues a stream whose caller has received events, in this request or
 * an earlier one. Few replicas may be able to continue it, so that others yield to it there.
 *
 * @param request - request to check
 * @returns true if it is bound to the software of its first event
 */
export function isContinuation ({ isCommitted, requiredSoftware }: RequestState): boolean {
  return isCommitted || requiredSoftware !== undefined
}
