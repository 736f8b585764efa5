/**
 * Learns the rate limits that replicas advertise, from their responses, from the elected limit leader
 * and from other entries, and requests permits from that leader.
 *
 * @module
 */
import { formatProcessName, parseReplicaId } from '../crashes/BendfallRouterCrashRecords.js'
import type { Replica, ReplicaStage } from '../BendfallRouterTypes.js'
import type { PermitRequest } from '../limits/BendfallRouterPermitLeader.js'
import { addLearnedLimit, createPermitRequest, createLimitLiftedRequest, dropStaleLimits, applyLimitNotice, applyPermitOutcome } from '../limits/BendfallRouterReplicaLimits.js'
import type { LimitChange, LimitNotice, ReplicaLimit } from '../limits/BendfallRouterReplicaLimits.js'
import { backoffLeftMs } from '../notices/BendfallRouterNotices.js'
import { isLeaving, stageOf } from './BendfallRouterReplicaHealth.js'
import { eligibleReplicas } from './BendfallRouterEligibility.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import { countRecentSends } from './BendfallRouterRecentSends.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { RouterState } from './BendfallRouterState.js'

/** A replica that advertises a rate limit. */
export interface LimitedReplica {
  readonly replicaId: string
  readonly limit: ReplicaLimit
}

/**
 * Returns the rate limit that the process of a replica advertises.
 *
 * @param state - state of the entry
 * @param replica - replica whose current process is looked up
 * @returns the limit; undefined if the process advertises none
 */
export function limitOf ({ limits }: RouterState, replica: Replica): ReplicaLimit | undefined {
  return limits.size === 0 ? undefined : limits.get(formatProcessName(replica))
}

/**
 * Checks whether a replica advertises a rate limit.
 *
 * @param state - state of the entry
 * @param replicaId - id of the replica, which may be unknown
 * @returns true if the replica is known and advertises a limit
 */
export function hasLimit (state: RouterState, replicaId: string): boolean {
  const replica = state.replicas.get(replicaId)?.replica
  return replica !== undefined && limitOf(state, replica) !== undefined
}

/**
 * Applies the rate limit notice in the headers of a response.
 *
 * @param context - state, time and effects of the current event
 * @param replica - replica that sent the response
 * @param notice - notice decoded from the response headers
 * @param sentAtMs - time at which the request was sent
 */
export function handleLimitNotice (context: RouterContext, replica: Replica, notice: LimitNotice, sentAtMs: number): void {
  const { effects, nowMs, state } = context
  const processName = formatProcessName(replica)
  const { replicaId } = replica
  if (notice.type === 'unreadable') effects.push({ type: 'log', decision: 'replica_limit_unreadable', requestId: '', inputs: { replica: replicaId, text: notice.text } })
  const change = applyLimitNotice(state.limits, processName, notice, sentAtMs, nowMs)
  logChange(context, replicaId, change, 'answer')
  const limit = state.limits.get(processName)
  if (change === 'named' && limit !== undefined) {
    limit.sentBefore = countRecentSends(state.replicas.get(replicaId)?.recentSends, nowMs)
    requestPermits(context, replicaId, limit, 0)
  }
  if (change === 'lifted') effects.push({ type: 'ask_permits', replicaId, ask: createLimitLiftedRequest(processName, state.instanceId, nowMs - sentAtMs), inMs: 0 })
}

/**
 * Adds rate limits that other entries or the ledger of a replica reported.
 *
 * @param context - state, time and effects of the current event
 * @param event - reported limits; those of unknown processes are ignored
 */
export function learnLimits (context: RouterContext, { limits }: Pick<RouterEventOf<'limits_learned'>, 'limits'>): void {
  const { nowMs, state } = context
  for (const namedLimit of limits) {
    const replicaId = parseReplicaId(namedLimit.processName)
    const replica = state.replicas.get(replicaId)?.replica
    if (replica === undefined || formatProcessName(replica) !== namedLimit.processName || state.limits.has(namedLimit.processName)) continue
    addLearnedLimit(state.limits, namedLimit, nowMs)
    logChange(context, replicaId, 'named', 'document')
    const limit = limitOf(state, replica)
    if (limit !== undefined) limit.sentBefore = countRecentSends(state.replicas.get(replicaId)?.recentSends, nowMs)
  }
}

/**
 * Handles the response of the limit leader to a request for permits.
 *
 * @param context - state, time and effects of the current event
 * @param event - the request with its outcome
 */
export function handlePermitsAnswer (context: RouterContext, { ask, outcome, replicaId }: RouterEventOf<'permits_answered'>): void {
  const { nowMs, state } = context
  const limit = state.limits.get(ask.processName)
  // A request without a limit only reported that the limit was lifted.
  if (limit === undefined || ask.perS === undefined) return
  const change = applyPermitOutcome(state.limits, limit, ask, outcome, nowMs)
  logChange(context, replicaId, change, 'keeper')
  logPermits(context, replicaId, limit, ask, outcome.type)
}

function logChange ({ effects, nowMs, state }: RouterContext, replicaId: string, change: LimitChange, from: 'answer' | 'keeper' | 'document'): void {
  if (change === 'nothing') return
  const replica = state.replicas.get(replicaId)?.replica
  const limit = replica === undefined ? undefined : limitOf(state, replica)
  effects.push({ type: 'log', decision: `replica_limit_${change}`, requestId: '', inputs: { replica: replicaId, perS: limit?.perS, from, ageMs: limit === undefined ? undefined : Math.round(nowMs - limit.heardAtMs) } })
}

function logPermits ({ effects, nowMs }: RouterContext, replicaId: string, { entries, nextRequestAtMs, perS, permits }: ReplicaLimit, { sentBefore, wanted }: PermitRequest, outcome: string): void {
  effects.push({ type: 'log', decision: 'permits_answered', requestId: '', inputs: { replica: replicaId, outcome, perS, wanted, permits, sentBefore, nextInMs: Math.max(0, Math.round(nextRequestAtMs - nowMs)), entries } })
}

/**
 * Removes rate limits that no entry has seen for a long time.
 *
 * @param context - state, time and effects of the current event
 */
export function forgetOldLimits ({ nowMs, state }: RouterContext): void {
  if (state.limits.size > 0) dropStaleLimits(state.limits, nowMs)
}

/**
 * Returns the replicas with a rate limit that a request could use, whether or not they have permits.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that needs a replica
 * @param stage - pool that the replica must belong to
 * @returns usable replicas that advertise a limit
 */
export function limitedReplicas ({ nowMs, state }: RouterContext, request: RequestState, stage: ReplicaStage): LimitedReplica[] {
  return eligibleReplicas(state, request, stage).flatMap((view) => {
    const limit = limitOf(state, view.replica)
    const isCandidate = limit !== undefined && stageOf(view) === stage && !isLeaving(state, view) && !request.excluded.has(view.replica.replicaId) && backoffLeftMs(state.notices, formatProcessName(view.replica), nowMs) === 0
    return isCandidate ? [{ replicaId: view.replica.replicaId, limit }] : []
  })
}

/**
 * Requests permits from the limit leader.
 *
 * @param context - state, time and effects of the current event
 * @param replicaId - replica that the permits are for
 * @param limit - rate limit of that replica
 * @param inMs - delay before the request is sent
 */
export function requestPermits ({ effects, nowMs, state }: RouterContext, replicaId: string, limit: ReplicaLimit, inMs: number): void {
  effects.push({ type: 'ask_permits', replicaId, ask: createPermitRequest(limit, state.instanceId, nowMs), inMs })
}
