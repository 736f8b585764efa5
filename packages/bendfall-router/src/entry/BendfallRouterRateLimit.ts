/**
 * Keeps an entry within the limits that replicas name: each send to such a replica uses a
 * permit, which is leased ahead of the requests as far as they come. A replica without a
 * permit at hand is not used while another one is open; where none is, requests that can be
 * on time wait for the next permit, and the others are refused at once.
 *
 * @module
 */
import { nameProcess, readReplicaId } from '../crashes/BendfallRouterCrashRecords.js'
import type { Replica, ReplicaStage } from '../BendfallRouterTypes.js'
import type { PermitAsk } from '../limits/BendfallRouterPermitKeeper.js'
import { addToldLimit, createAsk, createLiftedAsk, forgetLimits, hasPermit, returnPermit, takeLimitWord, takePermits, usePermit } from '../limits/BendfallRouterReplicaLimits.js'
import type { LimitChange, LimitWord, ReplicaLimit } from '../limits/BendfallRouterReplicaLimits.js'
import { backoffLeftMs } from '../notices/BendfallRouterNotices.js'
import { isLeaving, stageOf, usableReplicas } from './BendfallRouterBelief.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { draw, logDecision } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import { countSent } from './BendfallRouterRecentSends.js'
import type { PermitStep, RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief, RouterState } from './BendfallRouterState.js'

/** Longest wait of a request for a permit. */
const LONGEST_WAIT_MS = 150

/** Requests of a service that may wait, beside those that permits of the longest wait serve. */
const WAITING_BESIDE = 2

/** A permit of a run that waits for its prompt to be read holds for so long. */
const CARRIED_MS = 1_000

/** Told to callers while no keeper answers: another one is chosen within seconds. */
const UNKNOWN_RETRY_MS = 500

/** Waits that are told to callers. */
const SHORTEST_RETRY_MS = 50
const LONGEST_RETRY_MS = 4_000

/** Waits are told this much shorter or longer by chance, so that those who were told together come apart. */
const SPREAD = 0.2

const MS_PER_SECOND = 1_000

/**
 * Finds the limit that the process of a replica names.
 *
 * @param state - of the entry
 * @param replica - the replica
 * @returns the limit; undefined when it names none
 */
export function limitOf ({ limits }: RouterState, replica: Replica): ReplicaLimit | undefined {
  return limits.size === 0 ? undefined : limits.get(nameProcess(replica))
}

/**
 * Tells whether a replica names a limit.
 *
 * @param state - of the entry
 * @param replicaId - of the replica
 * @returns true while it does
 */
export function hasLimit (state: RouterState, replicaId: string): boolean {
  const replica = state.replicas.get(replicaId)?.replica
  return replica !== undefined && limitOf(state, replica) !== undefined
}

/**
 * Takes what an answer says of a limit.
 *
 * @param context - of the event
 * @param replica - that answered
 * @param word - from the head of its answer
 * @param sentAtMs - when its request was sent
 */
export function takeLimit (context: RouterContext, replica: Replica, word: LimitWord, sentAtMs: number): void {
  const { effects, nowMs, state } = context
  const processName = nameProcess(replica)
  const { replicaId } = replica
  if (word.type === 'unreadable') effects.push({ type: 'log', decision: 'replica_limit_unreadable', requestId: '', inputs: { replica: replicaId, text: word.text } })
  const change = takeLimitWord(state.limits, processName, word, sentAtMs, nowMs)
  logChange(context, replicaId, change, 'answer')
  const limit = state.limits.get(processName)
  if (change === 'named' && limit !== undefined) {
    limit.sentBefore = countSent(state.replicas.get(replicaId)?.recentSends, nowMs)
    ask(context, replicaId, limit, 0)
  }
  if (change === 'lifted') effects.push({ type: 'ask_permits', replicaId, ask: createLiftedAsk(processName, state.instanceId, nowMs - sentAtMs), inMs: 0 })
}

/**
 * Takes limits that other entries have heard of.
 *
 * @param context - of the event
 * @param event - the limits
 */
export function takeToldLimits (context: RouterContext, { limits }: RouterEventOf<'limits_told'>): void {
  const { nowMs, state } = context
  for (const told of limits) {
    const replicaId = readReplicaId(told.processName)
    const replica = state.replicas.get(replicaId)?.replica
    if (replica === undefined || nameProcess(replica) !== told.processName || state.limits.has(told.processName)) continue
    addToldLimit(state.limits, told, nowMs)
    logChange(context, replicaId, 'named', 'news')
    const limit = limitOf(state, replica)
    if (limit !== undefined) limit.sentBefore = countSent(state.replicas.get(replicaId)?.recentSends, nowMs)
  }
}

/**
 * Takes the keeper's answer, and has those go on that waited for it: the most urgent first,
 * those that can be on time before the others.
 *
 * @param context - of the event
 * @param event - the answer
 * @returns requests that go on, each with its step
 */
export function takePermitsAnswer (context: RouterContext, { ask, outcome, replicaId }: RouterEventOf<'permits_answered'>): Array<{ readonly request: RequestState, readonly step: PermitStep }> {
  const { nowMs, state } = context
  const limit = state.limits.get(ask.processName)
  if (limit !== undefined && ask.perS !== undefined) {
    const change = takePermits(state.limits, limit, ask, outcome, nowMs)
    logChange(context, replicaId, change, 'keeper')
    logPermits(context, replicaId, limit, ask, outcome.type)
  }
  const service = state.replicas.get(replicaId)?.replica.service
  const waiting = [...state.permitWaiters].flatMap((key) => state.requests.get(key) ?? []).filter((request) => request.service === service)
  const isLate = ({ targetAtMs }: RequestState): number => targetAtMs < nowMs ? 1 : 0
  waiting.sort((one, other) => isLate(one) - isLate(other) || one.priority - other.priority || one.targetAtMs - other.targetAtMs)
  return waiting.flatMap((request) => {
    const step = request.permitStep
    return step === undefined ? [] : [{ request, step }]
  })
}

function logChange ({ effects, nowMs, state }: RouterContext, replicaId: string, change: LimitChange, from: 'answer' | 'keeper' | 'news'): void {
  if (change === 'nothing') return
  const replica = state.replicas.get(replicaId)?.replica
  const limit = replica === undefined ? undefined : limitOf(state, replica)
  effects.push({ type: 'log', decision: `replica_limit_${change}`, requestId: '', inputs: { replica: replicaId, perS: limit?.perS, from, ageMs: limit === undefined ? undefined : Math.round(nowMs - limit.heardAtMs) } })
}

function logPermits ({ effects, nowMs }: RouterContext, replicaId: string, { entries, nextAskAtMs, perS, permits }: ReplicaLimit, { sentBefore, wanted }: PermitAsk, outcome: string): void {
  effects.push({ type: 'log', decision: 'permits_answered', requestId: '', inputs: { replica: replicaId, outcome, perS, wanted, permits, sentBefore, nextInMs: Math.max(0, Math.round(nextAskAtMs - nowMs)), entries } })
}

/**
 * Asks for permits of the replicas that a request could use, as far as they lack.
 *
 * @param context - of the event
 * @param request - the request
 * @param stage - pool that is needed
 */
export function wantPermits (context: RouterContext, request: RequestState, stage: ReplicaStage): void {
  const { nowMs, state } = context
  if (state.limits.size === 0) return
  for (const { limit, replicaId } of limitedReplicas(context, request, stage)) {
    if (hasPermit(limit, nowMs)) continue
    limit.wanted += 1
    if (!limit.isAsking && nowMs >= limit.nextAskAtMs) ask(context, replicaId, limit, 0)
  }
}

/**
 * Uses a permit for a send, if the replica names a limit.
 *
 * @param context - of the event
 * @param belief - about the replica
 * @returns whether the send may be made
 */
export function takePermit ({ nowMs, state }: RouterContext, { replica }: ReplicaBelief): boolean {
  const limit = limitOf(state, replica)
  if (limit === undefined) return true
  if (!hasPermit(limit, nowMs)) return false
  usePermit(limit)
  return true
}

/**
 * Tells whether a replica may be called for what lapses by itself, and uses a permit for it.
 *
 * @param context - of the event
 * @param replicaId - of the replica
 * @returns false where the replica wants no call, or takes no more
 */
export function mayTell (context: RouterContext, replicaId: string): boolean {
  const { nowMs, state } = context
  const belief = state.replicas.get(replicaId)
  if (belief === undefined) return true
  return backoffLeftMs(state.notices, nameProcess(belief.replica), nowMs) === 0 && takePermit(context, belief)
}

/**
 * Takes the permit for a run when its memory is booked, so that no prompt is read for a
 * run that the limit does not let through.
 *
 * @param context - of the event
 * @param request - the request
 * @param belief - about the replica
 */
export function carryPermit (context: RouterContext, request: RequestState, belief: ReplicaBelief): void {
  if (limitOf(context.state, belief.replica) === undefined || !takePermit(context, belief)) return
  request.permit = { processName: nameProcess(belief.replica), takenAtMs: context.nowMs }
}

/**
 * Uses the permit that a run carries, or another one.
 *
 * @param context - of the event
 * @param request - the request
 * @param belief - about the replica that it is sent to
 * @returns whether the send may be made
 */
export function usePermitOf (context: RouterContext, request: RequestState, belief: ReplicaBelief): boolean {
  const { permit } = request
  if (permit === undefined || permit.processName !== nameProcess(belief.replica)) return takePermit(context, belief)
  request.permit = undefined
  return context.nowMs - permit.takenAtMs < CARRIED_MS || takePermit(context, belief)
}

/**
 * Gives the permit back that a run carried which was not sent.
 *
 * @param context - of the event
 * @param request - the request
 */
export function leavePermit ({ state }: RouterContext, request: RequestState): void {
  const limit = state.limits.get(request.permit?.processName ?? '')
  if (limit !== undefined) returnPermit(limit)
  request.permit = undefined
}

/**
 * Tells how a request goes on for which no replica has a permit: it waits for the next one,
 * or is refused with the time until there is one for it.
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
    if (!soonest.limit.isAsking) ask(context, soonest.replicaId, soonest.limit, freeAtMs(soonest.limit, nowMs) - nowMs)
    wait(context, request, step)
    return { next: undefined }
  }
  return { next: refuseLimited(context, request, freeAtMs(soonest.limit, nowMs), perS) }
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

/**
 * Forgets limits of which nobody heard for long.
 *
 * @param context - of the event
 */
export function forgetOldLimits ({ nowMs, state }: RouterContext): void {
  if (state.limits.size > 0) forgetLimits(state.limits, nowMs)
}

interface Limited {
  readonly replicaId: string
  readonly limit: ReplicaLimit
}

function limitedReplicas ({ nowMs, state }: RouterContext, request: RequestState, stage: ReplicaStage): Limited[] {
  return (state.usedByService.get(request.service) ?? []).flatMap((belief) => {
    const limit = limitOf(state, belief.replica)
    const isCandidate = limit !== undefined && stageOf(belief) === stage && !isLeaving(state, belief) && !request.excluded.has(belief.replica.replicaId) && backoffLeftMs(state.notices, nameProcess(belief.replica), nowMs) === 0
    return isCandidate ? [{ replicaId: belief.replica.replicaId, limit }] : []
  })
}

function ask ({ effects, nowMs, state }: RouterContext, replicaId: string, limit: ReplicaLimit, inMs: number): void {
  effects.push({ type: 'ask_permits', replicaId, ask: createAsk(limit, state.instanceId, nowMs), inMs })
}
