/**
 * Finds the replicas that may serve a request.
 *
 * @module
 */
import type { State } from '../BendfallCoreState.js'
import type { ModelName, PoolRole } from '../BendfallCoreTypes.js'
import { memberStateAt } from '../members/BendfallCoreMemberState.js'
import type { Member } from '../members/BendfallCoreMembers.js'
import { entryOf } from './BendfallCoreEntryUpdate.js'

/**
 * Finds the live replicas of this entry's subset that serve a model.
 *
 * @param state - state of an entry
 * @param model - the model
 * @param role - prefill or decode
 * @param atMs - monotonic time
 * @returns the members
 */
export function candidatesFor (state: State, model: ModelName, role: PoolRole, atMs: number): readonly Member[] {
  const found: Member[] = []
  for (const [pool, config] of Object.entries(state.config?.pools ?? {})) {
    if (config.role !== role || config.model !== model) continue
    for (const instanceId of entryOf(state).subsets.get(pool) ?? []) {
      const member = state.members.get(instanceId)
      if (member !== undefined && memberStateAt(member, atMs) === 'live') found.push(member)
    }
  }
  return found
}
