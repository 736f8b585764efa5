/**
 * Reads members out of the state.
 *
 * @module
 */
import type { State } from '../BendfallCoreState.js'
import type { InstanceId, InstanceState, PoolName } from '../BendfallCoreTypes.js'
import type { Member } from './BendfallCoreMembers.js'
import { memberStateAt } from './BendfallCoreMemberState.js'

/**
 * Finds the upstreams of a pool in one of some states.
 *
 * @param state - state of the process
 * @param pool - the pool in force
 * @param states - states to take
 * @param atMs - monotonic time
 * @returns the members, by instance id
 */
export function membersOfPool (state: State, pool: PoolName, states: readonly InstanceState[], atMs: number): readonly Member[] {
  const found: Member[] = []
  for (const member of state.members.values()) {
    if (member.record.kind !== 'upstream' || member.pool !== pool) continue
    if (states.includes(memberStateAt(member, atMs))) found.push(member)
  }
  return found.sort(byInstanceId)
}

/**
 * Finds the upstreams of a pool that may get new work.
 *
 * @param state - state of the process
 * @param pool - the pool in force
 * @param atMs - monotonic time
 * @returns the live members, by instance id
 */
export function liveMembersOfPool (state: State, pool: PoolName, atMs: number): readonly Member[] {
  return membersOfPool(state, pool, ['live'], atMs)
}

/**
 * Tells whether an instance may get new work.
 *
 * @param state - state of the process
 * @param instanceId - the instance
 * @param atMs - monotonic time
 * @returns true for a known, live instance
 */
export function isMemberLive (state: State, instanceId: InstanceId, atMs: number): boolean {
  const member = state.members.get(instanceId)
  return member !== undefined && memberStateAt(member, atMs) === 'live'
}

function byInstanceId (a: Member, b: Member): number {
  if (a.record.instanceId === b.record.instanceId) return 0
  return a.record.instanceId < b.record.instanceId ? -1 : 1
}
