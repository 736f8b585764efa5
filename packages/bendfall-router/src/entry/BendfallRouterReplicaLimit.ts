/**
 * Learns the limits that replicas name, from their answers, from the keeper and from other
 * entries, and asks the keeper for permits.
 *
 * @module
 */
import { nameProcess, readReplicaId } from '../crashes/BendfallRouterCrashRecords.js'
import type { Replica, ReplicaStage } from '../BendfallRouterTypes.js'
import type { PermitAsk } from '../limits/BendfallRouterPermitKeeper.js'
import { addLearnedLimit, createAsk, createLiftedAsk, forgetLimits, takeLimitNotice, takePermits } from '../limits/BendfallRouterReplicaLimits.js'
import type { LimitChange, LimitNotice, ReplicaLimit } from '../limits/BendfallRouterReplicaLimits.js'
import { backoffLeftMs } from '../notices/BendfallRouterNotices.js'
import { isLeaving, stageOf } from './BendfallRouterBelief.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import { countSent } from './BendfallRouterRecentSends.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { RouterState } from './BendfallRouterState.js'

/** A replica that names a limit. */
export interface LimitedReplica {
  readonly replicaId: string
  readonly limit: ReplicaLimit
}

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
 * @param notice - from the head of its answer
 * @param sentAtMs - when its request was sent
 */
export function takeLimit (context: RouterContext, replica: Replica, notice: LimitNotice, sentAtMs: number): void {
  const { effects, nowMs, state } = context
  const processName = nameProcess(replica)
  const { replicaId } = replica
  if (notice.type === 'unreadable') effects.push({ type: 'log', decision: 'replica_limit_unreadable', requestId: '', inputs: { replica: replicaId, text: notice.text } })
  const change = takeLimitNotice(state.limits, processName, notice, sentAtMs, nowMs)
  logChange(context, replicaId, change, 'answer')
  const limit = state.limits.get(processName)
  if (change === 'named' && limit !== undefined) {
    limit.sentBefore = countSent(state.replicas.get(replicaId)?.recentSends, nowMs)
    askPermits(context, replicaId, limit, 0)
  }
  if (change === 'lifted') effects.push({ type: 'ask_permits', replicaId, ask: createLiftedAsk(processName, state.instanceId, nowMs - sentAtMs), inMs: 0 })
}

/**
 * Takes limits that other entries have heard of, or the ledger beside a replica.
 *
 * @param context - of the event
 * @param event - the limits
 */
export function learnLimits (context: RouterContext, { limits }: Pick<RouterEventOf<'limits_learned'>, 'limits'>): void {
  const { nowMs, state } = context
  for (const told of limits) {
    const replicaId = readReplicaId(told.processName)
    const replica = state.replicas.get(replicaId)?.replica
    if (replica === undefined || nameProcess(replica) !== told.processName || state.limits.has(told.processName)) continue
    addLearnedLimit(state.limits, told, nowMs)
    logChange(context, replicaId, 'named', 'document')
    const limit = limitOf(state, replica)
    if (limit !== undefined) limit.sentBefore = countSent(state.replicas.get(replicaId)?.recentSends, nowMs)
  }
}

/**
 * Takes the permits of the keeper's answer.
 *
 * @param context - of the event
 * @param event - the answer
 */
export function takePermitsAnswer (context: RouterContext, { ask, outcome, replicaId }: RouterEventOf<'permits_answered'>): void {
  const { nowMs, state } = context
  const limit = state.limits.get(ask.processName)
  // The keeper was only told that the limit was lifted.
  if (limit === undefined || ask.perS === undefined) return
  const change = takePermits(state.limits, limit, ask, outcome, nowMs)
  logChange(context, replicaId, change, 'keeper')
  logPermits(context, replicaId, limit, ask, outcome.type)
}

function logChange ({ effects, nowMs, state }: RouterContext, replicaId: string, change: LimitChange, from: 'answer' | 'keeper' | 'document'): void {
  if (change === 'nothing') return
  const replica = state.replicas.get(replicaId)?.replica
  const limit = replica === undefined ? undefined : limitOf(state, replica)
  effects.push({ type: 'log', decision: `replica_limit_${change}`, requestId: '', inputs: { replica: replicaId, perS: limit?.perS, from, ageMs: limit === undefined ? undefined : Math.round(nowMs - limit.heardAtMs) } })
}

function logPermits ({ effects, nowMs }: RouterContext, replicaId: string, { entries, nextAskAtMs, perS, permits }: ReplicaLimit, { sentBefore, wanted }: PermitAsk, outcome: string): void {
  effects.push({ type: 'log', decision: 'permits_answered', requestId: '', inputs: { replica: replicaId, outcome, perS, wanted, permits, sentBefore, nextInMs: Math.max(0, Math.round(nextAskAtMs - nowMs)), entries } })
}

/**
 * Forgets limits of which nobody heard for long.
 *
 * @param context - of the event
 */
export function forgetOldLimits ({ nowMs, state }: RouterContext): void {
  if (state.limits.size > 0) forgetLimits(state.limits, nowMs)
}

/**
 * Finds the replicas that a request could use but for their limits.
 *
 * @param context - of the event
 * @param request - the request
 * @param stage - pool that is needed
 * @returns replicas that name limits
 */
export function limitedReplicas ({ nowMs, state }: RouterContext, request: RequestState, stage: ReplicaStage): LimitedReplica[] {
  return (state.usedByService.get(request.service) ?? []).flatMap((belief) => {
    const limit = limitOf(state, belief.replica)
    const isCandidate = limit !== undefined && stageOf(belief) === stage && !isLeaving(state, belief) && !request.excluded.has(belief.replica.replicaId) && backoffLeftMs(state.notices, nameProcess(belief.replica), nowMs) === 0
    return isCandidate ? [{ replicaId: belief.replica.replicaId, limit }] : []
  })
}

/**
 * Asks the keeper for permits.
 *
 * @param context - of the event
 * @param replicaId - of the replica
 * @param limit - of the replica
 * @param inMs - the ask is made after this
 */
export function askPermits ({ effects, nowMs, state }: RouterContext, replicaId: string, limit: ReplicaLimit, inMs: number): void {
  effects.push({ type: 'ask_permits', replicaId, ask: createAsk(limit, state.instanceId, nowMs), inMs })
}
