/**
 * Derives pool and state of a member from what is known of it.
 *
 * @module
 */
import type { Map } from 'immutable'
import type { Config, InstanceRecord } from '../BendfallCoreConfig.js'
import type { InstanceId, InstanceState, PoolName } from '../BendfallCoreTypes.js'
import type { Member } from './BendfallCoreMembers.js'

/**
 * Makes the member of an instance that was not known.
 *
 * @param record - the instance as the list shows it
 * @returns a member without load, not yet resolved against a configuration
 */
export function createMember (record: InstanceRecord): Member {
  return { record, state: record.state, pool: record.pool, loadSeenAtMs: 0, suspectedUntilMs: 0 }
}

/**
 * Derives pool and state of one member.
 *
 * @param member - the member
 * @param config - configuration in force, if any
 * @param atMs - monotonic time
 * @returns the member with pool and state in force
 */
export function resolveMember (member: Member, config: Config | undefined, atMs: number): Member {
  const pool = poolInForce(member.record, config)
  const state = stateInForce(member, config, atMs)
  if (pool === member.pool && state === member.state) return member
  return { ...member, pool, state }
}

/**
 * Derives pool and state of all members, after a change of configuration.
 *
 * @param members - the members
 * @param config - configuration in force
 * @param atMs - monotonic time
 * @returns the members with pools and states in force
 */
export function resolveMembers (members: Map<InstanceId, Member>, config: Config, atMs: number): Map<InstanceId, Member> {
  return members.map((member) => resolveMember(member, config, atMs))
}

/**
 * Tells the state of a member at a time; a suspicion ends without an event.
 *
 * @param member - the member
 * @param atMs - monotonic time
 * @returns the state at that time
 */
export function memberStateAt (member: Member, atMs: number): InstanceState {
  const isOver = member.state === 'suspected' && atMs >= member.suspectedUntilMs
  return isOver ? 'live' : member.state
}

/**
 * Tells the pool of an instance.
 *
 * @param record - the instance as the list shows it
 * @param config - configuration in force, if any
 * @returns the configuration's assignment, else the list's label
 */
export function poolInForce (record: InstanceRecord, config: Config | undefined): PoolName {
  return config?.assignments[record.instanceId] ?? record.pool
}

function stateInForce (member: Member, config: Config | undefined, atMs: number): InstanceState {
  if (member.goneSinceMs !== undefined) return 'gone'
  if (isLeaving(member, config)) return 'leaving'
  return member.suspectedUntilMs > atMs ? 'suspected' : 'live'
}

function isLeaving (member: Member, config: Config | undefined): boolean {
  if (member.record.state === 'leaving' || member.drainSaid !== undefined) return true
  return config?.withdrawn.includes(member.record.instanceId) ?? false
}
