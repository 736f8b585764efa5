/**
 * Decides how a request goes on for which no replica has a permit: one that can have a permit
 * soon waits for it, the others are refused at once, with the time until there is one for them.
 *
 * @module
 */
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import type { ReplicaLimit } from '../limits/BendfallRouterReplicaLimits.js'
import { usableReplicas } from './BendfallRouterBelief.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { draw, logDecision } from './BendfallRouterContext.js'
import { askPermits, limitedReplicas } from './BendfallRouterReplicaLimit.js'
import type { PermitStep, RequestState } from './BendfallRouterRequest.js'

/** Longest wait of a request for a permit. */
const LONGEST_WAIT_MS = 150

/** Requests that may wait, beside those that permits of the longest wait serve. */
const WAITING_BESIDE = 2

/** Told to callers while no keeper answers: another one is chosen within seconds. */
const UNKNOWN_RETRY_MS = 500

/** Waits that are told to callers. */
const SHORTEST_RETRY_MS = 50
const LONGEST_RETRY_MS = 4_000

/** Waits are told up to this much longer, so that callers who were told the same come apart. */
const SPREAD = 0.2

const MS_PER_SECOND = 1_000

/** A request that has waited. */
export interface WaitedRequest {
  readonly request: RequestState
  readonly step: PermitStep
}

/**
 * Tells how a request goes on for which no replica has a permit.
 *
 * @param context - of the event
 * @param request - the request
 * @param stage - pool that is needed
 * @param step - that follows the wait
 * @returns what follows; undefined when no limit is in the way
 */
export function awaitPermit (context: RouterContext, request: RequestState, stage: ReplicaStage, step: PermitStep): { readonly next: NextStep } | undefined {
  const { nowMs, state } = context
  if (state.limits.size === 0 || usableReplicas(context, request, stage).length > 0) return undefined
  const limited = limitedReplicas(context, request, stage)
  if (limited.length === 0) return undefined
  const soonest = limited.reduce((best, one) => freeAtMs(one.limit, nowMs) < freeAtMs(best.limit, nowMs) ? one : best)
  const perS = limited.reduce((sum, { limit }) => sum + limit.perS / limit.entries, 0)
  if (mayWait(context, request, freeAtMs(soonest.limit, nowMs), perS)) {
    if (!soonest.limit.isAsking) askPermits(context, soonest.replicaId, soonest.limit, freeAtMs(soonest.limit, nowMs) - nowMs)
    wait(context, request, step)
    return { next: undefined }
  }
  return { next: refuseLimited(context, request, freeAtMs(soonest.limit, nowMs), perS) }
}

/**
 * Has those go on that waited for permits of a replica's service: those that can be on time
 * before the others, the most urgent first.
 *
 * @param context - of the event
 * @param replicaId - of the replica that the keeper was asked for
 * @returns requests that go on, each with its step
 */
export function takePermitWaiters (context: RouterContext, replicaId: string): WaitedRequest[] {
  const { nowMs, state } = context
  // Of a replica that is gone meanwhile the service is not known: all look again.
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
 * Notes that a request waits for a permit no longer.
 *
 * @param context - of the event
 * @param request - the request
 */
export function endPermitWait ({ state }: RouterContext, request: RequestState): void {
  state.permitWaiters.delete(request.key)
  request.permitStep = undefined
}

function freeAtMs ({ nextAskAtMs }: ReplicaLimit, nowMs: number): number {
  return Math.max(nowMs, nextAskAtMs)
}

function mayWait ({ nowMs, state }: RouterContext, request: RequestState, atMs: number, perS: number): boolean {
  request.permitWaitUntilMs ??= Math.min(nowMs + LONGEST_WAIT_MS, request.deadlineAtMs)
  if (atMs > request.permitWaitUntilMs || nowMs >= request.permitWaitUntilMs) return false
  return state.permitWaiters.has(request.key) || state.permitWaiters.size < WAITING_BESIDE + perS * LONGEST_WAIT_MS / MS_PER_SECOND
}

function wait ({ state }: RouterContext, request: RequestState, step: PermitStep): void {
  state.permitWaiters.add(request.key)
  request.phase = 'permit'
  request.attempt += 1
  request.permitStep = step
}

// Callers of one entry are told to return one after the other, as fast as its part of the permits comes.
function refuseLimited (context: RouterContext, request: RequestState, freeAtMs: number, perS: number): NextStep {
  const { nowMs, state } = context
  logDecision(context, request, 'permits_lacking', { perS: Math.round(perS * 100) / 100, freeInMs: Math.round(freeAtMs - nowMs), waiting: state.permitWaiters.size })
  if (request.isCommitted) return { type: 'cut', reason: 'replicas_limited' }
  const spacingMs = perS > 0 ? MS_PER_SECOND / perS : LONGEST_RETRY_MS
  const knownAtMs = freeAtMs > nowMs ? freeAtMs : nowMs + UNKNOWN_RETRY_MS
  const returnAtMs = Math.min(nowMs + LONGEST_RETRY_MS, Math.max(knownAtMs, (state.permitReturns.get(request.service) ?? -Infinity) + spacingMs))
  state.permitReturns.set(request.service, returnAtMs)
  const retryAfterMs = Math.max(SHORTEST_RETRY_MS, (returnAtMs - nowMs) * (1 + SPREAD * draw(state)))
  return { type: 'refuse', status: request.runs > 0 ? 502 : 503, reason: 'replicas_limited', retryAfterMs }
}
