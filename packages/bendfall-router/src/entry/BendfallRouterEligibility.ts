/**
 * Which replicas may run a request at all, by its service and by the software that began its stream.
 *
 * @module
 */
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import { softwareOf } from './BendfallRouterAnsweringProcess.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView, RouterState } from './BendfallRouterState.js'

/**
 * Checks whether a request may run on a replica.
 *
 * @param request - request to run
 * @param view - replica that its memory was booked at
 * @returns false if the replica may run another software than the one that began the stream
 */
export function canRunOn ({ requiredSoftware }: Pick<RequestState, 'requiredSoftware'>, view: ReplicaView): boolean {
  return requiredSoftware === undefined || requiredSoftware === softwareOf(view)
}

/**
 * Returns the replicas of a pool from which a request may choose. Prefill results are not bound to a
 * software version.
 *
 * @param state - state of the entry
 * @param request - request to send
 * @param stage - pool that the request needs
 * @returns views of replicas of all pools of its service
 */
export function eligibleReplicas (state: RouterState, { requiredSoftware, service, spares }: RequestState, stage: ReplicaStage): readonly ReplicaView[] {
  const isBound = requiredSoftware !== undefined && stage !== 'prefill'
  if (isBound) return (state.usedBySoftware.get(requiredSoftware) ?? []).filter((view) => canRunOn({ requiredSoftware }, view))
  const used = state.usedByService.get(service) ?? []
  return spares.size === 0 ? used : [...used, ...listSpares(state, spares)]
}

function listSpares ({ replicas, subset }: RouterState, spares: ReadonlySet<string>): ReplicaView[] {
  return [...spares].flatMap((replicaId) => {
    const view = subset.has(replicaId) ? undefined : replicas.get(replicaId)
    return view === undefined ? [] : [view]
  })
}
