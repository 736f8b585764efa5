/**
 * Where a call of a plain service goes: to a replica by load, or, with an
 * idempotency key, to the home of the key.
 *
 * @module
 */
import { drawIndex } from '../../BendfallCoreRandom.js'
import type { ServiceRequest } from '../../BendfallCoreEvents.js'
import type { State } from '../../BendfallCoreState.js'
import type { InstanceId, PoolName } from '../../BendfallCoreTypes.js'
import { homeCandidates, homeSlot, rankHomeCandidates } from '../../home/BendfallCoreHomeSlots.js'
import type { Member } from '../../members/BendfallCoreMembers.js'
import { isMemberLive, liveMembersOfPool } from '../../members/BendfallCoreMemberSelectors.js'
import type { CallRecord, CallsState, HolderHint } from './BendfallCoreCallState.js'

/** A chosen target and the seed after the draws. */
export interface TargetChoice {
  /** Empty when there is none. */
  readonly targetId: InstanceId
  readonly seed: number
}

/**
 * Tells whether a call goes to the home of its key. The key of a repeatable
 * call is not needed: such a call may run twice.
 *
 * @param request - the call
 * @returns true for a non-repeatable call with a key
 */
export function goesToHome (request: ServiceRequest): boolean {
  return !request.repeatable && request.idempotencyKey !== ''
}

/**
 * Chooses a replica: the less loaded of two drawn at random, from the own
 * availability zone if it has any that this call has not tried.
 *
 * @param state - state of the process
 * @param record - the call
 * @param atMs - monotonic time
 * @returns the choice
 */
export function chooseReplica (state: State, record: CallRecord, atMs: number): TargetChoice {
  const subset = subsetMembers(state, record, atMs)
  const untried = subset.length > 0 ? subset : poolMembers(state, record, atMs)
  const near = untried.filter((member) => member.record.availabilityZone === state.self.availabilityZone)
  return chooseOfTwo(near.length > 0 ? near : untried, state.seed)
}

// Few members to look at, whatever the size of the fleet.
function subsetMembers (state: State, record: CallRecord, atMs: number): readonly Member[] {
  const ids = state.entry?.subsets.get(record.request.pool) ?? []
  const untried = ids.filter((id) => !record.triedIds.includes(id) && isMemberLive(state, id, atMs))
  return untried.map((id) => state.members.get(id)).filter((member) => member !== undefined)
}

function poolMembers (state: State, record: CallRecord, atMs: number): readonly Member[] {
  const members = liveMembersOfPool(state, record.request.pool, atMs)
  return members.filter((member) => !record.triedIds.includes(member.record.instanceId))
}

function chooseOfTwo (members: readonly Member[], seed: number): TargetChoice {
  if (members.length === 0) return { targetId: '', seed }
  const first = drawIndex(seed, members.length)
  const second = drawIndex(first.seed, members.length)
  const chosen = lessLoaded(members[first.value], members[second.value])
  return { targetId: chosen.record.instanceId, seed: second.seed }
}

function lessLoaded (left: Member, right: Member): Member {
  return activeRequests(right) < activeRequests(left) ? right : left
}

function activeRequests (member: Member): number {
  return member.load?.activeRequests ?? 0
}

/**
 * Chooses the home of a key: the last known holder, else the best-ranked
 * candidate that this call has not tried.
 *
 * @param state - state of the process
 * @param calls - calls of the entry, with the candidates of the pool
 * @param record - the call
 * @returns the choice
 */
export function chooseHome (state: State, calls: CallsState, record: CallRecord): TargetChoice {
  const { pool, idempotencyKey } = record.request
  const candidates = calls.candidates.get(pool) ?? []
  const ranked = rankHomeCandidates(pool, homeSlot(pool, idempotencyKey), candidates)
  const hint = calls.holderHints.get(hintKey(record.request))
  const order = hint === undefined ? ranked : [hint.holderId, ...ranked]
  const targetId = order.find((id) => !record.triedIds.includes(id) && state.members.has(id))
  return { targetId: targetId ?? '', seed: state.seed }
}

/**
 * Finds the candidates of a pool unless they are known: a look at all members.
 *
 * @param state - state of the process
 * @param calls - calls of the entry
 * @param pool - the pool
 * @returns the calls, with the candidates of the pool
 */
export function findCandidates (state: State, calls: CallsState, pool: PoolName): CallsState {
  if (calls.candidates.has(pool)) return calls
  return { ...calls, candidates: calls.candidates.set(pool, homeCandidates(state.members, pool)) }
}

/**
 * Remembers the holder of the slot of a key, unless a later one is known.
 *
 * @param calls - calls of the entry
 * @param request - a call with a key of the slot
 * @param hint - the holder
 * @returns the calls
 */
export function learnHolder (calls: CallsState, request: ServiceRequest, hint: HolderHint): CallsState {
  const known = calls.holderHints.get(hintKey(request))
  if (known !== undefined && known.epoch > hint.epoch) return calls
  return { ...calls, holderHints: calls.holderHints.set(hintKey(request), hint) }
}

/**
 * Forgets the holder of the slot of a key.
 *
 * @param calls - calls of the entry
 * @param request - a call with a key of the slot
 * @returns the calls
 */
export function forgetHolder (calls: CallsState, request: ServiceRequest): CallsState {
  return { ...calls, holderHints: calls.holderHints.delete(hintKey(request)) }
}

function hintKey (request: ServiceRequest): string {
  return `${request.pool}/${homeSlot(request.pool, request.idempotencyKey)}`
}
