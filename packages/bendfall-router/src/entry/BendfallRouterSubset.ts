/**
 * The model replicas that one entry uses. Every entry follows the load of those
 * and of no others, so that its work does not grow with the fleet; each replica
 * is followed by as many entries as any other, but for chance.
 *
 * @module
 */
import { hashText, rendezvousScore } from 'bendfall-core'
import type { Replica } from '../BendfallRouterTypes.js'
import type { RouterState } from './BendfallRouterState.js'

/** Replicas of one service and pool that an entry uses at most: all of the users' small deployments. */
export const SUBSET_SIZE = 12

/**
 * Chooses the subset anew.
 *
 * @param state - changed in place
 */
export function chooseSubset (state: RouterState): void {
  state.subset.clear()
  for (const group of groupByPool(state).values()) {
    for (const replicaId of bestOf(state.instanceId, group)) state.subset.add(replicaId)
  }
}

/**
 * Tells whether this entry uses a replica.
 *
 * @param state - of the entry
 * @param replica - the replica
 * @returns true for replicas without a model and for the subset of the others
 */
export function isUsed (state: RouterState, { replicaId, stage }: Replica): boolean {
  return stage === 'plain' || state.subset.has(replicaId)
}

function groupByPool ({ replicas }: RouterState): Map<string, string[]> {
  const groups = new Map<string, string[]>()
  for (const { replica } of replicas.values()) {
    if (replica.stage === 'plain' || replica.isDraining) continue
    const pool = `${replica.service} ${replica.stage}`
    groups.set(pool, [...groups.get(pool) ?? [], replica.replicaId])
  }
  return groups
}

function bestOf (instanceId: string, replicaIds: readonly string[]): string[] {
  if (replicaIds.length <= SUBSET_SIZE) return [...replicaIds]
  const key = hashText(instanceId)
  const scored = replicaIds.map((replicaId) => ({ replicaId, score: rendezvousScore(key, replicaId) }))
  return scored.sort((a, b) => b.score - a.score).slice(0, SUBSET_SIZE).map(({ replicaId }) => replicaId)
}
