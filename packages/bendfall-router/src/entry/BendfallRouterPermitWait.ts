/**
 * Handles requests for which every usable replica is out of rate limit permits. A request that can
 * get a permit soon waits for it; any other is refused at once with a `Retry-After` that tells its
 * caller when a permit is expected.
 *
 * @module
 */
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import type { ReplicaLimit } from '../limits/BendfallRouterReplicaLimits.js'
import { usableReplicas } from './BendfallRouterReplicaHealth.js'
import { callerTimeoutAtMs, compareLate, compareWaiting, maxRetryMs } from './BendfallRouterCallerTime.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { draw, logDecision } from './BendfallRouterContext.js'
import { highLatencyMs } from './BendfallRouterEstimates.js'
import { FIRST_EVENT_MS, inPlacePrefillMs } from './BendfallRouterPrefillPlacement.js'
import { requestPermits, limitedReplicas } from './BendfallRouterReplicaLimit.js'
import type { PermitStep, RequestState } from './BendfallRouterRequest.js'
import type { RouterState } from './BendfallRouterState.js'
import { endWaitTime, startWaitTime } from './BendfallRouterWaitTimes.js'

/** Maximum number of requests that wait for permits in an entry; bounds the memory and the time for each answer of the leader. */
const MAX_WAITERS = 250

/** `Retry-After` while the limit leader does not respond; a new leader is elected within seconds. */
const NO_LEADER_RETRY_MS = 500

/** Lower bound of the `Retry-After` sent to callers. */
const MIN_RETRY_MS = 50

/** Random increase of `Retry-After`, so that callers refused at the same time do not return together. */
const RETRY_JITTER = 0.2

const MS_PER_SECOND = 1_000

/** A request that stops waiting for a permit, with the step to retry. */
export interface ResumableRequest {
  readonly request: RequestState
  readonly step: PermitStep
}

/**
 * Makes a request wait for a permit or refuses it if rate limits leave no replica usable.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that needs a replica
 * @param stage - pool that the replica must belong to
 * @param step - step to retry after the wait
 * @returns the next step; undefined when no rate limit blocks the request
 */
export function awaitPermit (context: RouterContext, request: RequestState, stage: ReplicaStage, step: PermitStep): { readonly next: NextStep } | undefined {
  const { nowMs, state } = context
  if (state.limits.size === 0 || usableReplicas(context, request, stage).length > 0) return undefined
  const limited = limitedReplicas(context, request, stage)
  if (limited.length === 0) return undefined
  const earliest = limited.reduce((best, one) => nextPermitAtMs(one.limit, nowMs) < nextPermitAtMs(best.limit, nowMs) ? one : best)
  const perS = limited.reduce((sum, { limit }) => sum + limit.perS / limit.entries, 0)
  if (canWait(context, request, stage, earliest.limit, nextPermitAtMs(earliest.limit, nowMs), perS)) {
    if (!earliest.limit.isAsking) requestPermits(context, earliest.replicaId, earliest.limit, nextPermitAtMs(earliest.limit, nowMs) - nowMs)
    startWait(context, request, step)
    startWaitTime(context, request, 'permit')
    return { next: undefined }
  }
  return { next: refuseForLimit(context, request, nextPermitAtMs(earliest.limit, nowMs), perS) }
}

/**
 * Removes the requests that wait for permits of a replica's service from the wait list, in order of
 * {@link compareWaiting}.
 *
 * @param context - state, time and effects of the current event
 * @param replicaId - replica for which permits were requested from the limit leader
 * @returns requests to resume in order, each with its step
 */
export function removePermitWaiters (context: RouterContext, replicaId: string): ResumableRequest[] {
  const { nowMs, state } = context
  // If the replica was removed in the meantime, its service is unknown and all waiting requests are retried.
  const service = state.replicas.get(replicaId)?.replica.service
  const waiting = [...state.permitWaiters].flatMap((key) => state.requests.get(key) ?? []).filter((request) => service === undefined || request.service === service)
  waiting.sort((one, other) => compareWaiting(one, other, nowMs))
  return waiting.flatMap((request) => {
    const step = request.permitStep
    endPermitWait(context, request)
    endWaitTime(context, request)
    return step === undefined ? [] : [{ request, step }]
  })
}

/**
 * Removes a request from the wait list.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that no longer waits for a permit
 */
export function endPermitWait ({ state }: RouterContext, request: RequestState): void {
  state.permitWaiters.delete(request.key)
  request.permitStep = undefined
}

function nextPermitAtMs ({ nextRequestAtMs }: ReplicaLimit, nowMs: number): number {
  return Math.max(nowMs, nextRequestAtMs)
}

// Whether a permit and the response are expected in the caller's time, also once the request is late.
function canWait ({ state }: RouterContext, request: RequestState, stage: ReplicaStage, { isLeaderSilent }: ReplicaLimit, freeAtMs: number, perS: number): boolean {
  if (isLeaderSilent || perS <= 0 || state.permitWaiters.size >= MAX_WAITERS) return false
  const ahead = [...state.permitWaiters].filter((key) => {
    const other = state.requests.get(key)
    return other !== undefined && other !== request && other.service === request.service && compareLate(other, request) <= 0
  }).length
  return freeAtMs + ahead * MS_PER_SECOND / perS + responseMsOf(state, request, stage) <= callerTimeoutAtMs(request)
}

// Of a prompt, the longer one of its placements is assumed.
function responseMsOf (state: RouterState, request: RequestState, stage: ReplicaStage): number {
  if (stage !== 'plain') return inPlacePrefillMs(state, request) + FIRST_EVENT_MS
  return Math.min(...(state.usedByService.get(request.service) ?? []).map(highLatencyMs))
}

function startWait ({ state }: RouterContext, request: RequestState, step: PermitStep): void {
  state.permitWaiters.add(request.key)
  request.phase = 'permit'
  request.attempt += 1
  request.permitStep = step
}

// Spaces the retries of refused callers at the rate at which this entry receives its share of the permits.
function refuseForLimit (context: RouterContext, request: RequestState, freeAtMs: number, perS: number): NextStep {
  const { nowMs, state } = context
  logDecision(context, request, 'permits_lacking', { perS: Math.round(perS * 100) / 100, freeInMs: Math.round(freeAtMs - nowMs), waiting: state.permitWaiters.size })
  if (request.isCommitted) return { type: 'cut', reason: 'replicas_limited' }
  const lastAtMs = nowMs + maxRetryMs(context, request)
  const spacingMs = perS > 0 ? MS_PER_SECOND / perS : Infinity
  const permitAtMs = freeAtMs > nowMs ? freeAtMs : nowMs + NO_LEADER_RETRY_MS
  const retryAtMs = Math.min(lastAtMs, Math.max(permitAtMs, (state.lastPermitRetryAtMs.get(request.service) ?? -Infinity) + spacingMs))
  state.lastPermitRetryAtMs.set(request.service, retryAtMs)
  const retryAfterMs = Math.max(MIN_RETRY_MS, Math.min(lastAtMs, retryAtMs + RETRY_JITTER * draw(state) * (retryAtMs - nowMs)) - nowMs)
  return { type: 'refuse', status: request.runs > 0 ? 502 : 503, reason: 'replicas_limited', retryAfterMs }
}
