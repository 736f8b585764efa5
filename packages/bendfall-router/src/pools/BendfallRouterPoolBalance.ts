/**
 * Decides which model replicas move between the prefill and the decode pool, so that both are
 * equally loaded. Pure, and bounded by the confirmed intent.
 *
 * @module
 */
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import type { PoolIntent } from './BendfallRouterPoolIntent.js'

/** A model replica as seen by the balancer. */
export interface PoolMember {
  readonly replicaId: string
  readonly availabilityZone: string
  readonly softwareVersion: string
  readonly stage: ReplicaStage
  /** Whether it responds, isn't draining and isn't changing its stage. */
  readonly isServing: boolean
  /** Whether it is shutting down and receives no new work. */
  readonly isLeaving: boolean
}

/** Work of both pools, as the number of replicas that it would keep busy, averaged over the last seconds. */
export interface PoolWork {
  readonly prefill: number
  readonly decode: number
}

/** A replica that is to change its stage. */
export interface StageChange {
  readonly replicaId: string
  readonly stage: ReplicaStage
}

/** Minimum load of the busier pool for a change: below it nothing is gained by taking a replica out of service for seconds. */
const MIN_REBALANCE_LOAD = 0.6

/** Minimum reduction of the load of the busier pool by a change. */
const MIN_LOAD_REDUCTION = 0.15

/** Total work of both pools below which they count as idle. */
const IDLE_WORK = 0.05

/** Minimum replicas in each pool. */
const MIN_POOL_SIZE = 1

/** Decode replicas that each software version keeps while several serve: no other replica continues its streams. */
const MIN_DECODES_OF_SOFTWARE = 2

/**
 * Maximum share of the replicas that may be unavailable, unhealthy or changing while others change. In a
 * fleet of less than twenty, each unavailable replica is a large part of its pool and is back
 * within seconds; of 84, one is unhealthy most of the time, and waiting for it would block all
 * changes.
 */
const MAX_UNAVAILABLE_SHARE = 0.05

/**
 * Maximum share of the replicas that change at once, since each is out of service for seconds: one
 * of twelve, four of 84. With one at a time, 84 replicas took minutes to follow a shift of the load.
 */
const MAX_STEP_SHARE = 0.05

/** Maximum share of the replicas by which a considered split differs from the present one: moving one replica of 84 is no clear gain, moving ten may be. */
const MAX_GOAL_DISTANCE_SHARE = 0.12

/**
 * Decides which replicas of a service change their stage.
 *
 * @param members - model replicas of the service
 * @param work - measured work of its pools
 * @param intent - the intent that operators confirmed
 * @returns changes to order; empty if the pools are balanced or a change is in progress
 */
export function balancePools (members: readonly PoolMember[], work: PoolWork, intent: PoolIntent): StageChange[] {
  const refill = refillPools(members)
  if (refill.length > 0) return refill
  const serving = members.filter(({ isServing }) => isServing)
  if (serving.length < 2 * MIN_POOL_SIZE) return []
  if (members.length - serving.length > Math.floor(members.length * MAX_UNAVAILABLE_SHARE)) return []
  const prefills = serving.filter(({ stage }) => stage === 'prefill')
  // Rounded down: decode replicas can prefill prompts themselves, but nothing replaces their memory.
  const goal = isIdle(work) ? clampPrefills(Math.floor(serving.length * intent.usualPrefillShare), serving.length, intent) : goalUnderLoad(prefills.length, serving.length, work, intent)
  const target = stepTowards(prefills.length, goal, serving.length, MAX_STEP_SHARE)
  const surplus = prefills.length - target
  const decodes = serving.filter(({ stage }) => stage === 'decode')
  if (surplus > 0) return pickForDecode(prefills, decodes, surplus).map(({ replicaId }) => ({ replicaId, stage: 'decode' }))
  return pickForPrefill(decodes, -surplus).map(({ replicaId }) => ({ replicaId, stage: 'prefill' }))
}

/**
 * Returns whether the pools are idle.
 *
 * @param work - measured work of both pools
 * @returns true if it is less than a twentieth of one replica's
 */
export function isIdle ({ decode, prefill }: PoolWork): boolean {
  return prefill + decode < IDLE_WORK
}

/**
 * Refills a pool that lost its last replica, regardless of load: without measured work in it, the
 * loads would never call for one. Decode comes first, since a decode replica prefills prompts itself:
 * the last remaining replica is one.
 *
 * @param members - model replicas of a service
 * @returns the change to order; empty if no pool is empty or none can be refilled
 */
export function refillPools (members: readonly PoolMember[]): StageChange[] {
  const staying = members.filter(({ isLeaving }) => !isLeaving)
  const serving = staying.filter(({ isServing }) => isServing)
  const has = (stage: ReplicaStage): boolean => staying.some((member) => member.stage === stage)
  if (!has('decode')) return pickMembers(serving, 1).map(({ replicaId }) => ({ replicaId, stage: 'decode' }))
  if (has('prefill') || serving.length < 2 * MIN_POOL_SIZE) return []
  const spare = pickForPrefill(serving, 1)
  return (spare.length > 0 ? spare : pickMembers(serving, 1)).map(({ replicaId }) => ({ replicaId, stage: 'prefill' }))
}

// Moves away from the present split only for a clear gain.
function goalUnderLoad (prefills: number, total: number, work: PoolWork, intent: PoolIntent): number {
  const present = busierLoad(prefills, total, work)
  if (present < MIN_REBALANCE_LOAD) return prefills
  const balanced = Math.round(total * work.prefill / (work.prefill + work.decode))
  const goal = stepTowards(prefills, clampPrefills(balanced, total, intent), total, MAX_GOAL_DISTANCE_SHARE)
  return busierLoad(goal, total, work) < present - MIN_LOAD_REDUCTION ? goal : prefills
}

// At least one replica, so that small fleets change too.
function stepTowards (present: number, goal: number, total: number, share: number): number {
  const maxStep = Math.max(1, Math.floor(total * share))
  return present + Math.max(-maxStep, Math.min(maxStep, goal - present))
}

function busierLoad (prefills: number, total: number, work: PoolWork): number {
  return Math.max(work.prefill / prefills, work.decode / (total - prefills))
}

function clampPrefills (prefills: number, total: number, intent: PoolIntent): number {
  const minReplicas = Math.min(intent.leastPrefillReplicas, Math.floor(total / 2))
  const min = Math.max(MIN_POOL_SIZE, minReplicas, Math.ceil(total * intent.leastPrefillShare))
  const max = Math.min(total - MIN_POOL_SIZE, Math.floor(total * intent.mostPrefillShare))
  return Math.max(min, Math.min(Math.max(min, max), prefills))
}

// Leaves each software version enough decode replicas to continue its streams.
function pickForPrefill (decodes: readonly PoolMember[], count: number): PoolMember[] {
  const sizes = countByVersion(decodes)
  if (sizes.size <= 1) return pickMembers(decodes, count)
  const picked: PoolMember[] = []
  for (let remaining = decodes; picked.length < count;) {
    const [next] = pickMembers(remaining.filter(({ softwareVersion }) => (sizes.get(softwareVersion) ?? 0) > MIN_DECODES_OF_SOFTWARE), 1)
    if (next === undefined) break
    picked.push(next)
    sizes.set(next.softwareVersion, (sizes.get(next.softwareVersion) ?? 0) - 1)
    remaining = remaining.filter((member) => member !== next)
  }
  return picked
}

// Prefers software versions that lack decode replicas.
function pickForDecode (prefills: readonly PoolMember[], decodes: readonly PoolMember[], count: number): PoolMember[] {
  const sizes = countByVersion(decodes)
  const isScarce = ({ softwareVersion }: PoolMember): boolean => (sizes.get(softwareVersion) ?? 0) < MIN_DECODES_OF_SOFTWARE
  const scarce = pickMembers(prefills.filter(isScarce), count)
  return [...scarce, ...pickMembers(prefills.filter((member) => !isScarce(member)), count - scarce.length)]
}

function countByVersion (members: readonly PoolMember[]): Map<string, number> {
  const sizes = new Map<string, number>()
  for (const { softwareVersion } of members) sizes.set(softwareVersion, (sizes.get(softwareVersion) ?? 0) + 1)
  return sizes
}

// Picks from the availability zones with the most members, so that each zone keeps some.
function pickMembers (members: readonly PoolMember[], count: number): PoolMember[] {
  const remaining = [...members]
  const picked: PoolMember[] = []
  while (picked.length < count && remaining.length > 0) {
    const sizes = new Map<string, number>()
    for (const { availabilityZone } of remaining) sizes.set(availabilityZone, (sizes.get(availabilityZone) ?? 0) + 1)
    remaining.sort((a, b) => (sizes.get(b.availabilityZone) ?? 0) - (sizes.get(a.availabilityZone) ?? 0) || (a.replicaId < b.replicaId ? -1 : 1))
    picked.push(remaining.shift() as PoolMember)
  }
  return picked
}
