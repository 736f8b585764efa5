/**
 * The deterministic subset of each pool that one entry uses: its own
 * availability zone first, then others, both in rendezvous order. It bounds
 * connections, lease renewals and the cost of a choice, whatever the fleet.
 *
 * @module
 */
import { Map } from 'immutable'
import type { Event, EventOf } from '../BendfallCoreEvents.js'
import { rankByRendezvous } from '../BendfallCoreHash.js'
import type { HandlerTable, Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import type { InstanceId, PoolName } from '../BendfallCoreTypes.js'
import type { Member } from '../members/BendfallCoreMembers.js'
import { SUBSET_SIZE } from './BendfallCoreEntryPolicy.js'
import { updateEntry } from './BendfallCoreEntryUpdate.js'

function groupByPool (state: State): ReadonlyMap<PoolName, readonly Member[]> {
  const groups = new globalThis.Map<PoolName, Member[]>()
  for (const member of state.members.values()) {
    if (member.record.kind !== 'upstream' || member.state === 'gone') continue
    const group = groups.get(member.pool)
    if (group === undefined) groups.set(member.pool, [member])
    else group.push(member)
  }
  return groups
}

function chooseSubset (state: State, members: readonly Member[]): readonly InstanceId[] {
  const isNear = (member: Member): boolean => member.record.availabilityZone === state.self.availabilityZone
  const near = members.filter(isNear).map((member) => member.record.instanceId)
  const far = members.filter((member) => !isNear(member)).map((member) => member.record.instanceId)
  const chosen = rankByRendezvous(state.self.instanceId, near, SUBSET_SIZE)
  const rest = rankByRendezvous(state.self.instanceId, far, SUBSET_SIZE - chosen.length)
  return [...chosen, ...rest]
}

function refreshSubsets (state: State, _event: Event): Step {
  if (state.entry === undefined) return stay(state)
  const subsets = Map<PoolName, readonly InstanceId[]>().withMutations((draft) => {
    for (const [pool, members] of groupByPool(state)) draft.set(pool, chooseSubset(state, members))
  })
  return stay(updateEntry(state, { subsets }))
}

function refreshChanged (state: State, { changed, removed }: EventOf<'instances_changed'>): Step {
  if (state.entry === undefined) return stay(state)
  const ids = new Set([...changed.map((record) => record.instanceId), ...removed])
  const pools = touchedPools(state, state.entry.subsets, ids)
  if (pools.size === 0) return stay(state)
  const groups = groupByPool(state)
  const subsets = state.entry.subsets.withMutations((draft) => {
    for (const pool of pools) {
      const members = groups.get(pool)
      if (members === undefined) draft.delete(pool)
      else draft.set(pool, chooseSubset(state, members))
    }
  })
  return stay(updateEntry(state, { subsets }))
}

/** A pool that an instance left without being chosen in it keeps its subset. */
function touchedPools (state: State, subsets: Map<PoolName, readonly InstanceId[]>, ids: ReadonlySet<InstanceId>): ReadonlySet<PoolName> {
  const pools = new Set<PoolName>()
  for (const instanceId of ids) {
    const member = state.members.get(instanceId)
    if (member?.record.kind === 'upstream') pools.add(member.pool)
  }
  for (const [pool, chosen] of subsets) {
    if (chosen.some((instanceId) => ids.has(instanceId))) pools.add(pool)
  }
  return pools
}

/** Keeps the subsets; must come after configuration and members. */
export const entrySubsetHandlers: HandlerTable = {
  config_learned: refreshSubsets,
  instances_changed: refreshChanged,
  instances_listed: refreshSubsets
}
