/**
 * The model replicas that one entry uses, so that its connections do not grow with
 * the fleet; each replica is used by as many entries as any other, but for chance.
 *
 * @module
 */
import { nameProcess } from '../crashes/BendfallRouterCrashRecords.js'
import { hasSaidLeaving } from '../notices/BendfallRouterNotices.js'
import type { ReplicaBelief, RouterState } from './BendfallRouterState.js'

/** Replicas of one service and pool that an entry uses at most: all of the users' small deployments. */
export const SUBSET_SIZE = 12

/**
 * Chooses the subset anew if a replica came, went, drains or changed its pool.
 *
 * @param state - changed in place
 */
export function chooseSubset (state: RouterState): void {
  if (!state.isSubsetStale) return
  state.isSubsetStale = false
  state.subset.clear()
  state.usedByService.clear()
  const groups = new Map<string, ReplicaBelief[]>()
  for (const belief of state.replicas.values()) {
    if (belief.replica.stage === 'plain') use(state, belief)
    else if (!belief.replica.isDraining && !hasSaidLeaving(state.notices, nameProcess(belief.replica))) addTo(groups, `${belief.replica.service} ${belief.replica.stage}`, belief)
  }
  for (const group of groups.values()) {
    for (const belief of bestOf(group)) {
      state.subset.add(belief.replica.replicaId)
      use(state, belief)
    }
  }
}

function use ({ usedByService }: RouterState, belief: ReplicaBelief): void {
  addTo(usedByService, belief.replica.service, belief)
}

function addTo (groups: Map<string, ReplicaBelief[]>, name: string, belief: ReplicaBelief): void {
  const group = groups.get(name)
  if (group === undefined) groups.set(name, [belief])
  else group.push(belief)
}

function bestOf (group: readonly ReplicaBelief[]): readonly ReplicaBelief[] {
  if (group.length <= SUBSET_SIZE) return group
  return [...group].sort((a, b) => b.subsetScore - a.subsetScore).slice(0, SUBSET_SIZE)
}
