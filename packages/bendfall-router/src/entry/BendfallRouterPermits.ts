/**
 * Has each send to a replica that names a limit use a permit, which is leased ahead of the
 * requests as far as they come.
 *
 * @module
 */
import { nameProcess } from '../crashes/BendfallRouterCrashRecords.js'
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import { hasPermit, returnPermit, usePermit } from '../limits/BendfallRouterReplicaLimits.js'
import { backoffLeftMs } from '../notices/BendfallRouterNotices.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { askPermits, limitedReplicas, limitOf } from './BendfallRouterReplicaLimit.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief } from './BendfallRouterState.js'

/** A permit of a run that waits for its prompt to be read holds for so long. */
const CARRIED_MS = 2_000

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
    if (!limit.isAsking && nowMs >= limit.nextAskAtMs) askPermits(context, replicaId, limit, 0)
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
export function mayRelease (context: RouterContext, replicaId: string): boolean {
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
  if (context.nowMs - permit.takenAtMs >= CARRIED_MS) {
    leavePermit(context, request)
    return takePermit(context, belief)
  }
  request.permit = undefined
  return true
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
