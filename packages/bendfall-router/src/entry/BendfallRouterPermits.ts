/**
 * Spends one permit for each send to a replica that advertises a rate limit. Permits are leased
 * ahead of demand from the elected limit leader.
 *
 * @module
 */
import { formatProcessName } from '../crashes/BendfallRouterCrashRecords.js'
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import { hasPermit, returnPermit, usePermit } from '../limits/BendfallRouterReplicaLimits.js'
import { backoffLeftMs } from '../notices/BendfallRouterNotices.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { requestPermits, limitedReplicas, limitOf } from './BendfallRouterReplicaLimit.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'

/** Time for which a run keeps its permit while its prompt is prefilled. */
const RUN_PERMIT_TTL_MS = 2_000

/**
 * Requests permits for each replica that a request could use and that has none left.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that needs a replica
 * @param stage - pool that the replica must belong to
 */
export function requestMissingPermits (context: RouterContext, request: RequestState, stage: ReplicaStage): void {
  const { nowMs, state } = context
  if (state.limits.size === 0) return
  for (const { limit, replicaId } of limitedReplicas(context, request, stage)) {
    if (hasPermit(limit, nowMs)) continue
    limit.wanted += 1
    if (!limit.isAsking && nowMs >= limit.nextRequestAtMs) requestPermits(context, replicaId, limit, 0)
  }
}

/**
 * Spends a permit for a send if the replica advertises a rate limit.
 *
 * @param context - state, time and effects of the current event
 * @param view - replica that the send goes to
 * @returns whether the send may be made
 */
export function tryUsePermit ({ nowMs, state }: RouterContext, { replica }: ReplicaView): boolean {
  const limit = limitOf(state, replica)
  if (limit === undefined) return true
  if (!hasPermit(limit, nowMs)) return false
  usePermit(limit)
  return true
}

/**
 * Checks whether a replica may be called to release a resource that would otherwise expire, and
 * spends a permit for the call.
 *
 * @param context - state, time and effects of the current event
 * @param replicaId - replica that holds the resource
 * @returns false while the replica asks for backoff or its rate limit is exhausted
 */
export function canCallForRelease (context: RouterContext, replicaId: string): boolean {
  const { nowMs, state } = context
  const view = state.replicas.get(replicaId)
  if (view === undefined) return true
  return backoffLeftMs(state.notices, formatProcessName(view.replica), nowMs) === 0 && tryUsePermit(context, view)
}

/**
 * Acquires the permit for a run when its memory is booked, so that no prompt is prefilled for a
 * run that the rate limit would block.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that keeps the permit
 * @param view - replica that the memory is booked at
 */
export function acquireRunPermit (context: RouterContext, request: RequestState, view: ReplicaView): void {
  if (limitOf(context.state, view.replica) === undefined || !tryUsePermit(context, view)) return
  request.permit = { processName: formatProcessName(view.replica), acquiredAtMs: context.nowMs }
}

/**
 * Spends the permit that a run acquired earlier, or a new one if that has expired or is for another
 * process.
 *
 * @param context - state, time and effects of the current event
 * @param request - request to send
 * @param view - replica that it is sent to
 * @returns whether the send may be made
 */
export function useRunPermit (context: RouterContext, request: RequestState, view: ReplicaView): boolean {
  const { permit } = request
  if (permit === undefined || permit.processName !== formatProcessName(view.replica)) return tryUsePermit(context, view)
  if (context.nowMs - permit.acquiredAtMs >= RUN_PERMIT_TTL_MS) {
    releasePermit(context, request)
    return tryUsePermit(context, view)
  }
  request.permit = undefined
  return true
}

/**
 * Returns the permit of a run that was not sent.
 *
 * @param context - state, time and effects of the current event
 * @param request - request whose permit is returned, if it has one
 */
export function releasePermit ({ state }: RouterContext, request: RequestState): void {
  const limit = state.limits.get(request.permit?.processName ?? '')
  if (limit !== undefined) returnPermit(limit)
  request.permit = undefined
}
