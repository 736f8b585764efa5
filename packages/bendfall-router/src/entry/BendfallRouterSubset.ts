/**
 * Selects the model replicas that one entry uses, so that its number of connections does not grow
 * with the fleet. On average each replica is used by the same number of entries.
 *
 * @module
 */
import { formatProcessName } from '../crashes/BendfallRouterCrashRecords.js'
import { isProcessLeaving } from '../notices/BendfallRouterNotices.js'
import type { ReplicaView, RouterState } from './BendfallRouterState.js'

/** Maximum number of replicas that an entry uses per service and pool; covers the users' small deployments completely. */
export const SUBSET_SIZE = 12

/**
 * Recomputes the subset if a replica was added or removed, started to drain or changed its pool.
 *
 * @param state - state of the entry, changed in place
 */
export function updateSubset (state: RouterState): void {
  if (!state.isSubsetStale) return
  state.isSubsetStale = false
  state.subset.clear()
  state.usedByService.clear()
  state.usedBySoftware.clear()
  const groups = new Map<string, ReplicaView[]>()
  const softwareGroups = new Map<string, ReplicaView[]>()
  for (const view of state.replicas.values()) {
    const { isDraining, service, stage } = view.replica
    if (stage === 'plain') addToService(state, view)
    if (isDraining || isProcessLeaving(state.notices, formatProcessName(view.replica))) continue
    addTo(softwareGroups, `${view.software} ${stage}`, view)
    if (stage !== 'plain') addTo(groups, `${service} ${stage}`, view)
  }
  // A software version with few replicas may have none in the subset of its service.
  for (const group of softwareGroups.values()) {
    for (const view of selectBest(group)) addTo(state.usedBySoftware, view.software, view)
  }
  for (const group of groups.values()) {
    for (const view of selectBest(group)) {
      state.subset.add(view.replica.replicaId)
      addToService(state, view)
    }
  }
}

function addToService ({ usedByService }: RouterState, view: ReplicaView): void {
  addTo(usedByService, view.replica.service, view)
}

function addTo<K> (groups: Map<K, ReplicaView[]>, name: K, view: ReplicaView): void {
  const group = groups.get(name)
  if (group === undefined) groups.set(name, [view])
  else group.push(view)
}

function selectBest (group: readonly ReplicaView[]): readonly ReplicaView[] {
  if (group.length <= SUBSET_SIZE) return group
  return [...group].sort((a, b) => b.subsetScore - a.subsetScore).slice(0, SUBSET_SIZE)
}
