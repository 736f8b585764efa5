/**
 * Decides what a holder does next about the slots of its pool. Pure.
 *
 * @module
 */
import type { InstanceId, PoolName } from 'bendfall-core'
import { HOME_SLOT_COUNT, fairSlotCount, rankHomeCandidates } from 'bendfall-core'
import type { HolderEntry, HolderIdentity } from './BendfallNodeHomeEntry.js'
import type { HomeHolderTimes } from './BendfallNodeHomeTimes.js'

/** What the holder knows. */
export interface HomeSituation {
  readonly self: HolderIdentity
  readonly pool: PoolName
  readonly times: HomeHolderTimes
  readonly nowMs: number
  /** Lease of this process; empty while there is none. */
  readonly leaseId: string
  readonly candidates: readonly InstanceId[]
  /** Since when the list does not show an instance any more. */
  readonly goneSinceMs: ReadonlyMap<InstanceId, number>
  /** When each lease was first seen. */
  readonly leaseSeenMs: ReadonlyMap<string, number>
  readonly holders: ReadonlyMap<number, HolderEntry>
  /** Epochs that were given away and are never served again. */
  readonly retired: ReadonlySet<number>
  /** Since when each free slot is seen free. */
  readonly freeSinceMs: ReadonlyMap<number, number>
  readonly lastHandoverMs: number
  /** Slots with running calls; their handover waits. */
  readonly busySlots: ReadonlySet<number>
}

/** Something that a holder does. */
export type HomeAction =
  | { readonly type: 'claim', readonly slot: number }
  /** Ends the lease of a process that is known to be dead. */
  | { readonly type: 'evict', readonly leaseId: string }
  /** Gives a slot away, or repeats that after a lost answer. */
  | { readonly type: 'release', readonly slot: number, readonly revision: number }

/**
 * Finds the slots that this process holds and has not given away.
 *
 * @param situation - what the holder knows
 * @returns entries of the own slots
 */
export function ownEntries (situation: HomeSituation): readonly HolderEntry[] {
  return [...situation.holders.values()].filter((entry) => {
    return isOwn(situation, entry) && !situation.retired.has(entry.revision)
  })
}

/**
 * Lists what is to be done now.
 *
 * @param situation - what the holder knows
 * @returns the actions, in order
 */
export function planHome (situation: HomeSituation): readonly HomeAction[] {
  return [...planEvictions(situation), ...planReleases(situation), ...planClaims(situation)]
}

function planEvictions (situation: HomeSituation): readonly HomeAction[] {
  const dead = [...situation.holders.values()].filter((entry) => entry.leaseId !== '' && isDead(situation, entry))
  const leaseIds = new Set(dead.map((entry) => entry.leaseId))
  return [...leaseIds].map((leaseId) => ({ type: 'evict', leaseId }))
}

// A port can be bound once: an older process at the own address has ended.
function isDead (situation: HomeSituation, entry: HolderEntry): boolean {
  const { self } = situation
  if (isSameProcess(self, entry)) return false
  return entry.address === self.address || isGone(situation, entry)
}

// The list lags: it may not show yet an instance that came back, so it has to
// lose the instance after the lease was seen.
function isGone (situation: HomeSituation, entry: HolderEntry): boolean {
  const goneSinceMs = situation.goneSinceMs.get(entry.holderId)
  const seenMs = situation.leaseSeenMs.get(entry.leaseId)
  if (goneSinceMs === undefined || seenMs === undefined) return false
  return goneSinceMs > seenMs && situation.nowMs >= goneSinceMs + situation.times.goneConfirmMs
}

function planReleases (situation: HomeSituation): readonly HomeAction[] {
  const lost = [...situation.holders.values()].filter((entry) => {
    return isOwn(situation, entry) && situation.retired.has(entry.revision)
  })
  const given = slotToGiveAway(situation)
  return [...lost, ...given].map(({ slot, revision }) => ({ type: 'release', slot, revision }))
}

function slotToGiveAway (situation: HomeSituation): readonly HolderEntry[] {
  const { self, times, candidates, busySlots } = situation
  const isCandidate = candidates.includes(self.holderId)
  const own = ownEntries(situation)
  const share = isCandidate ? fairSlotCount(candidates.length) : 0
  const waitMs = isCandidate ? times.handoverMs : times.retreatMs
  const isDue = situation.nowMs >= situation.lastHandoverMs + waitMs
  if (!isDue || own.length <= share || candidates.length === 0) return []
  return own.filter(({ slot }) => !busySlots.has(slot) && assignedTo(situation, slot) !== self.holderId).slice(0, 1)
}

function planClaims (situation: HomeSituation): readonly HomeAction[] {
  if (situation.leaseId === '' || !situation.candidates.includes(situation.self.holderId)) return []
  const slots = Array.from({ length: HOME_SLOT_COUNT }, (_, slot) => slot)
  return slots.filter((slot) => mayClaim(situation, slot)).map((slot) => ({ type: 'claim', slot }))
}

// The others wait for the candidate that the slot is assigned to.
function mayClaim (situation: HomeSituation, slot: number): boolean {
  const freeSinceMs = situation.freeSinceMs.get(slot)
  if (situation.holders.has(slot) || freeSinceMs === undefined) return false
  const rank = rankHomeCandidates(situation.pool, slot, situation.candidates).indexOf(situation.self.holderId)
  return situation.nowMs >= freeSinceMs + rank * situation.times.claimStaggerMs
}

function assignedTo (situation: HomeSituation, slot: number): InstanceId | undefined {
  return rankHomeCandidates(situation.pool, slot, situation.candidates)[0]
}

function isOwn (situation: HomeSituation, entry: HolderEntry): boolean {
  const { self, leaseId } = situation
  return leaseId !== '' && entry.leaseId === leaseId && isSameProcess(self, entry)
}

function isSameProcess (self: HolderIdentity, entry: HolderEntry): boolean {
  return entry.holderId === self.holderId && entry.incarnation === self.incarnation
}
