/**
 * Selects the model replicas that one entry uses, so that its number of connections does not grow
 * with the fleet. On average each replica is used by the same number of entries. An entry whose own
 * requests need more capacity than its subset has uses more replicas for as long as they do.
 *
 * @module
 */
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import { formatProcessName } from '../crashes/BendfallRouterCrashRecords.js'
import { isProcessLeaving } from '../notices/BendfallRouterNotices.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView, RouterState } from './BendfallRouterState.js'

/** Number of replicas that an entry uses per service and pool unless it needs more; covers the users' small deployments completely. */
export const SUBSET_SIZE = 12

/** Factor by which a subset grows and shrinks. */
const GROWTH_FACTOR = 2

/** Minimum time between two steps of growth, in which the loads of the new replicas arrive. */
const MIN_GROWTH_INTERVAL_MS = 100

/** A subset shrinks by one step when it was sufficient for this long. */
const SHRINK_AFTER_MS = 10_000

/** Number of replicas that an entry uses of one pool. */
export interface SubsetSize {
  readonly replicas: number
  /** When the subset last lacked capacity. */
  readonly neededAtMs: number
  readonly changedAtMs: number
}

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
    for (const view of selectBest(state, group)) addTo(state.usedBySoftware, view.software, view)
  }
  state.sparesByPool.clear()
  for (const [name, group] of groups) {
    const size = sizeOf(state, group)
    const ranked = group.length <= size ? group : rank(group)
    for (const view of ranked.slice(0, size)) {
      state.subset.add(view.replica.replicaId)
      addToService(state, view)
    }
    if (ranked.length > size) state.sparesByPool.set(name, ranked.slice(size, size + SUBSET_SIZE))
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

function selectBest (state: RouterState, group: readonly ReplicaView[]): readonly ReplicaView[] {
  const size = sizeOf(state, group)
  return group.length <= size ? group : rank(group).slice(0, size)
}

function sizeOf (state: RouterState, group: readonly ReplicaView[]): number {
  return state.subsetSizes.get(poolNameOf(group))?.replicas ?? SUBSET_SIZE
}

function rank (group: readonly ReplicaView[]): ReplicaView[] {
  return [...group].sort((a, b) => b.subsetScore - a.subsetScore)
}

/**
 * Returns the replicas that rank next to the subset of a request's service: as many as a subset usually has, so that
 * the connections of an entry stay bounded.
 *
 * @param state - state of the entry
 * @param request - request that finds no capacity in the subset
 * @param stage - pool that it needs
 * @returns views of the replicas; none for a stream that is bound to a software version
 */
export function spareReplicas (state: RouterState, { requiredSoftware, service }: RequestState, stage: ReplicaStage): ReplicaView[] {
  return requiredSoftware !== undefined ? [] : [...state.sparesByPool.get(formatPoolName(service, stage)) ?? []]
}

function poolNameOf ([view]: readonly ReplicaView[]): string {
  return view === undefined ? '' : formatPoolName(view.replica.service, view.replica.stage)
}

function formatPoolName (service: string, stage: ReplicaStage): string {
  return `${service} ${stage}`
}

/**
 * Enlarges the subset of a pool that lacks capacity for a request. An entry with fewer requests for the service
 * than replicas in the subset keeps its size, so that a lack of capacity everywhere does not connect all entries
 * to all replicas.
 *
 * @param context - context of the current event
 * @param request - request for which no replica of the subset has capacity now
 * @param stage - pool that lacks capacity
 * @returns whether the request can choose among more replicas than before
 */
export function growSubset ({ effects, nowMs, state }: RouterContext, { service }: RequestState, stage: ReplicaStage): boolean {
  const name = formatPoolName(service, stage)
  const { changedAtMs, replicas } = state.subsetSizes.get(name) ?? { replicas: SUBSET_SIZE, changedAtMs: -Infinity }
  if (replicas > SUBSET_SIZE) state.subsetSizes.set(name, { replicas, changedAtMs, neededAtMs: nowMs })
  const used = countUsed(state, service, stage)
  if (used < replicas || nowMs - changedAtMs < MIN_GROWTH_INTERVAL_MS) return false
  const requests = [...state.requests.values()].filter((other) => other.service === service).length
  if (requests <= replicas) return false
  const grown = replicas * GROWTH_FACTOR
  state.subsetSizes.set(name, { replicas: grown, changedAtMs: nowMs, neededAtMs: nowMs })
  state.isSubsetStale = true
  updateSubset(state)
  effects.push({ type: 'log', decision: 'subset_grown', requestId: '', inputs: { service, stage, replicas: grown, requests } })
  return countUsed(state, service, stage) > used
}

function countUsed ({ usedByService }: RouterState, service: string, stage: ReplicaStage): number {
  return (usedByService.get(service) ?? []).filter(({ replica }) => replica.stage === stage).length
}

/**
 * Reduces the subsets that have been sufficient for some time.
 *
 * @param context - context of the current event
 */
export function shrinkSubsets ({ effects, nowMs, state }: RouterContext): void {
  for (const [name, { neededAtMs, replicas }] of state.subsetSizes) {
    if (nowMs - neededAtMs < SHRINK_AFTER_MS) continue
    const shrunk = Math.floor(replicas / GROWTH_FACTOR)
    if (shrunk > SUBSET_SIZE) state.subsetSizes.set(name, { replicas: shrunk, neededAtMs: nowMs, changedAtMs: nowMs })
    else state.subsetSizes.delete(name)
    state.isSubsetStale = true
    effects.push({ type: 'log', decision: 'subset_shrunk', requestId: '', inputs: { pool: name, replicas: Math.max(shrunk, SUBSET_SIZE) } })
  }
  updateSubset(state)
}
