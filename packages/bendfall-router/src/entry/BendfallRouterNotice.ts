/**
 * Applies the status notices that replicas send about themselves, and decides which replicas may be
 * sent anything at all. That is a prohibition, not a preference: it applies even if no other replica
 * is left, and to everything that was booked or granted before the notice.
 *
 * @module
 */
import { formatProcessName } from '../crashes/BendfallRouterCrashRecords.js'
import type { Replica } from '../BendfallRouterTypes.js'
import { backoffLeftMs, recordNotice } from '../notices/BendfallRouterNotices.js'
import type { ReplicaNotice } from '../notices/BendfallRouterNotices.js'
import { isLeaving, stageOf } from './BendfallRouterReplicaHealth.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import { eligibleReplicas } from './BendfallRouterEligibility.js'
import { handleLimitNotice } from './BendfallRouterReplicaLimit.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'
import { updateSubset } from './BendfallRouterSubset.js'

/** Maximum number of distinct pairs of header and replica that are logged, once each. */
const MAX_UNDECODED = 1_000

/**
 * Handles a status notice, which a replica sends in a response head or to the ledger beside it.
 *
 * @param context - context of the current event
 * @param event - the notice, the replica's id, and when the request that it responds to was sent
 */
export function handleReplicaNotice (context: RouterContext, { isFormerProcess, notice, replicaId, sentAtMs = -Infinity }: Pick<RouterEventOf<'replica_spoke'>, 'isFormerProcess' | 'notice' | 'replicaId' | 'sentAtMs'>): void {
  const { effects, nowMs, state } = context
  const view = state.replicas.get(replicaId)
  if (view === undefined) return
  // The status of a process that has ended, or shuts down, doesn't bind its successor at the same address.
  if (isFormerProcess === true && view.refusesWhileRunning !== true) {
    if (notice.isLeaving && view.endedAtMs !== undefined) view.hasAnnouncedExit = true
    return
  }
  const { replica } = view
  logUndecoded(context, replica, notice)
  if (notice.limit !== undefined) handleLimitNotice(context, replica, notice.limit, sentAtMs)
  const change = recordNotice(state.notices, formatProcessName(replica), notice, nowMs)
  if (change === 'nothing') return
  effects.push({ type: 'log', decision: change === 'leaves' ? 'replica_says_leaving' : 'replica_backs_off', requestId: '', inputs: { replica: replicaId, backoffMs: notice.backoffMs } })
  if (change !== 'leaves') return
  state.isSubsetStale = true
  updateSubset(state)
}

// Shows operators which headers of a replica the router does not decode and therefore ignores.
function logUndecoded ({ effects, state: { undecodedHeaders } }: RouterContext, { replicaId }: Replica, notice: ReplicaNotice): void {
  for (const header of notice.undecoded ?? []) {
    const name = `${header} ${replicaId}`
    if (undecodedHeaders.has(name) || undecodedHeaders.size >= MAX_UNDECODED) continue
    undecodedHeaders.add(name)
    effects.push({ type: 'log', decision: 'answer_header_undecoded', requestId: '', inputs: { replica: replicaId, header } })
  }
}

/**
 * Returns whether a replica is in a backoff period, in which it wants no call at all.
 *
 * @param context - context of the current event
 * @param replicaId - id of the replica
 * @returns true during the backoff period
 */
export function isBackingOff ({ nowMs, state }: RouterContext, replicaId: string): boolean {
  const replica = state.replicas.get(replicaId)?.replica
  return replica !== undefined && backoffLeftMs(state.notices, formatProcessName(replica), nowMs) > 0
}

/**
 * Returns whether a replica may be sent anything now.
 *
 * @param context - context of the current event
 * @param view - view of the replica
 * @returns false for a replica that is leaving or backs off
 */
export function isAcceptingRequests (context: RouterContext, view: ReplicaView): boolean {
  return !isLeaving(context.state, view) && !isBackingOff(context, view.replica.replicaId)
}

/**
 * Refuses a request immediately if only backoff periods keep replicas from serving it, since the
 * end of the first of these periods is known.
 *
 * @param context - context of the current event
 * @param request - request to be sent
 * @param stage - pool that the request needs
 * @returns the refusal or the abort of a started response; undefined when a replica accepts requests, or none backs off
 */
export function refuseBackoff (context: RouterContext, request: RequestState, stage: 'decode' | 'plain'): NextStep {
  const { nowMs, state } = context
  const staying = eligibleReplicas(state, request, stage).filter((view) => stageOf(view) === stage && !isLeaving(state, view))
  const backoffsMs = staying.map(({ replica }) => backoffLeftMs(state.notices, formatProcessName(replica), nowMs))
  const retryAfterMs = Math.min(...backoffsMs.filter((ms) => ms > 0))
  const isAnyOpen = staying.some(({ replica }, index) => backoffsMs[index] === 0 && !request.excluded.has(replica.replicaId))
  if (isAnyOpen || retryAfterMs === Infinity) return undefined
  if (request.isCommitted) return { type: 'cut', reason: 'replicas_back_off' }
  return { type: 'refuse', status: request.runs > 0 ? 502 : 503, reason: 'replicas_back_off', retryAfterMs }
}
