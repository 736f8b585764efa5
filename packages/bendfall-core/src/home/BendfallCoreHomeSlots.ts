/**
 * Where the home of a key is: the slot of the key, the instances that may hold
 * slots, and which of them should hold which. Entries and sidecars share it.
 *
 * @module
 */
import type { Map } from 'immutable'
import { hashText, rankByRendezvous, rendezvousScore } from '../BendfallCoreHash.js'
import type { InstanceId, PoolName } from '../BendfallCoreTypes.js'
import type { Member } from '../members/BendfallCoreMembers.js'

/** Ranges of keys a pool is divided into. */
export const HOME_SLOT_COUNT = 16

/** Most instances of a pool that hold slots; bounds the lease renewals. */
export const MAX_HOME_CANDIDATES = 8

/**
 * Finds the slot of a key.
 *
 * @param pool - pool of the call
 * @param key - idempotency key
 * @returns a slot in [0, `HOME_SLOT_COUNT`)
 */
export function homeSlot (pool: PoolName, key: string): number {
  return hashText(`${pool}/${key}`) % HOME_SLOT_COUNT
}

/**
 * Finds the instances that may hold slots of a pool. An instance that does not
 * answer for a while keeps its rank, so that slots do not move for a pause.
 *
 * @param members - members by instance id
 * @param pool - the pool
 * @returns at most `MAX_HOME_CANDIDATES` instances, best rank first
 */
export function homeCandidates (members: Map<InstanceId, Member>, pool: PoolName): readonly InstanceId[] {
  const ids: InstanceId[] = []
  for (const member of members.values()) {
    if (isCandidate(member, pool)) ids.push(member.record.instanceId)
  }
  return rankByRendezvous(`home/${pool}`, ids, MAX_HOME_CANDIDATES)
}

function isCandidate (member: Member, pool: PoolName): boolean {
  if (member.record.kind !== 'upstream' || member.pool !== pool) return false
  return member.state === 'live' || member.state === 'suspected'
}

/**
 * Finds the most slots that one candidate should hold.
 *
 * @param candidateCount - number of candidates
 * @returns the fair share, rounded up
 */
export function fairSlotCount (candidateCount: number): number {
  return Math.ceil(HOME_SLOT_COUNT / Math.max(1, candidateCount))
}

/**
 * Divides the slots: each goes to the best-ranked candidate that has not its
 * fair share yet.
 *
 * @param pool - the pool
 * @param candidates - see `homeCandidates`
 * @returns the instance for each slot; empty without candidates
 */
export function assignHomeSlots (pool: PoolName, candidates: readonly InstanceId[]): readonly InstanceId[] {
  if (candidates.length === 0) return []
  const share = fairSlotCount(candidates.length)
  const held: Record<InstanceId, number> = {}
  return Array.from({ length: HOME_SLOT_COUNT }, (_, slot) => {
    const open = candidates.filter((id) => (held[id] ?? 0) < share)
    const best = bestForSlot(pool, slot, open)
    held[best] = (held[best] ?? 0) + 1
    return best
  })
}

function bestForSlot (pool: PoolName, slot: number, candidates: readonly InstanceId[]): InstanceId {
  const slotHash = hashText(`home/${pool}/${slot}`)
  const score = (id: InstanceId): number => rendezvousScore(slotHash, id)
  return candidates.reduce((best, id) => score(id) > score(best) ? id : best)
}

/**
 * Orders the candidates for a slot: the one it is assigned to, then the others
 * by their rank for the slot.
 *
 * @param pool - the pool
 * @param slot - the slot
 * @param candidates - see `homeCandidates`
 * @returns all candidates
 */
export function rankHomeCandidates (pool: PoolName, slot: number, candidates: readonly InstanceId[]): readonly InstanceId[] {
  const assigned = assignHomeSlots(pool, candidates)[slot]
  const ranked = rankByRendezvous(`home/${pool}/${slot}`, candidates, candidates.length)
  if (assigned === undefined) return ranked
  return [assigned, ...ranked.filter((id) => id !== assigned)]
}
