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
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { draw, logDecision } from './BendfallRouterContext.js'
import { requestPermits, limitedReplicas } from './BendfallRouterReplicaLimit.js'
import type { PermitStep, RequestState } from './BendfallRouterRequest.js'

/** Longest time that a request waits for a permit. */
const MAX_WAIT_MS = 150

/** Requests that may wait in addition to those that the permits of one maximum wait can serve. */
const EXTRA_WAITERS = 2

/** `Retry-After` while the limit leader does not respond; a new leader is elected within seconds. */
const NO_LEADER_RETRY_MS = 500

/** Bounds of the `Retry-After` sent to callers. */
const MIN_RETRY_MS = 50
const MAX_RETRY_MS = 4_000

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
  if (canWait(context, request, nextPermitAtMs(earliest.limit, nowMs), perS)) {
    if (!earliest.limit.isAsking) requestPermits(context, earliest.replicaId, earliest.limit, nextPermitAtMs(earliest.limit, nowMs) - nowMs)
    startWait(context, request, step)
    return { next: undefined }
  }
  return { next: refuseForLimit(context, request, nextPermitAtMs(earliest.limit, nowMs), perS) }
}

/**
 * Removes the requests that wait for permits of a replica's service from the wait list. Requests
 * that can still meet their target come first, each group in order of priority.
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
  const isLate = ({ targetAtMs }: RequestState): number => targetAtMs < nowMs ? 1 : 0
  waiting.sort((one, other) => isLate(one) - isLate(other) || one.priority - other.priority || one.targetAtMs - other.targetAtMs)
  return waiting.flatMap((request) => {
    const step = request.permitStep
    endPermitWait(context, request)
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

function canWait ({ nowMs, state }: RouterContext, request: RequestState, atMs: number, perS: number): boolean {
  request.permitWaitUntilMs ??= Math.min(nowMs + MAX_WAIT_MS, request.deadlineAtMs)
  if (atMs > request.permitWaitUntilMs || nowMs >= request.permitWaitUntilMs) return false
  return state.permitWaiters.has(request.key) || state.permitWaiters.size < EXTRA_WAITERS + perS * MAX_WAIT_MS / MS_PER_SECOND
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
  const spacingMs = perS > 0 ? MS_PER_SECOND / perS : MAX_RETRY_MS
  const permitAtMs = freeAtMs > nowMs ? freeAtMs : nowMs + NO_LEADER_RETRY_MS
  const retryAtMs = Math.min(nowMs + MAX_RETRY_MS, Math.max(permitAtMs, (state.lastPermitRetryAtMs.get(request.service) ?? -Infinity) + spacingMs))
  state.lastPermitRetryAtMs.set(request.service, retryAtMs)
  const retryAfterMs = Math.max(MIN_RETRY_MS, (retryAtMs - nowMs) * (1 + RETRY_JITTER * draw(state)))
  return { type: 'refuse', status: request.runs > 0 ? 502 : 503, reason: 'replicas_limited', retryAfterMs }
}
