/**
 * Decides which model replicas change between the prefill and the decode pool,
 * so that both are equally loaded. Pure; bounded by the confirmed intent.
 *
 * @module
 */
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import type { PoolIntent } from './BendfallRouterPoolIntent.js'

/** A model replica as the balance sees it. */
export interface PoolMember {
  readonly replicaId: string
  readonly availabilityZone: string
  readonly stage: ReplicaStage
  /** Whether it answers, isn't draining and isn't changing its stage. */
  readonly isServing: boolean
  /** Whether it gets no new work any more. */
  readonly isLeaving: boolean
}

/** Work of both pools, in replicas that it would keep busy; averages of the last seconds. */
export interface PoolWork {
  readonly prefill: number
  readonly decode: number
}

/** A replica that is to change its stage. */
export interface StageChange {
  readonly replicaId: string
  readonly stage: ReplicaStage
}

/** Below this load of the busier pool nothing is gained by a change that takes a replica away for seconds. */
const WORTHWHILE_LOAD = 0.6

/** A change must lower the load of the busier pool by this much. */
const WORTHWHILE_GAIN = 0.15

/** Work of both pools below this is none. */
const NO_WORK = 0.05

/** Fewest replicas of each pool. */
const FEWEST = 1

/**
 * Share of the replicas that may be away, sick or changing while others change. In a
 * fleet of less than twenty each one that is away is a large part of its pool and is
 * back within seconds; of 84 one is sick at most times, and waiting for it would stop
 * all changes.
 */
const AWAY_SHARE = 0.05

/**
 * Share of the replicas that change at once, since each is away for seconds: one of
 * twelve, four of 84. With one at a time 84 replicas followed a shift after minutes.
 */
const STEP_SHARE = 0.05

/** Share of the replicas within which a gain is looked for: one replica of 84 is no clear gain, ten may be. */
const REACH_SHARE = 0.12

/**
 * Decides about a service's pools.
 *
 * @param members - its model replicas
 * @param work - measured work
 * @param intent - what operators confirmed
 * @returns changes to order; empty when the pools are well or a change is under way
 */
export function balancePools (members: readonly PoolMember[], work: PoolWork, intent: PoolIntent): StageChange[] {
  const refill = refillPools(members)
  if (refill.length > 0) return refill
  const serving = members.filter(({ isServing }) => isServing)
  if (serving.length < 2 * FEWEST) return []
  if (members.length - serving.length > Math.floor(members.length * AWAY_SHARE)) return []
  const prefills = serving.filter(({ stage }) => stage === 'prefill')
  // Rounded down: decode replicas can read prompts themselves, and nothing stands in for their memory.
  const goal = isIdle(work) ? clampPrefills(Math.floor(serving.length * intent.usualPrefillShare), serving.length, intent) : goalUnderLoad(prefills.length, serving.length, work, intent)
  const aim = stepTowards(prefills.length, goal, serving.length, STEP_SHARE)
  const surplus = prefills.length - aim
  if (surplus > 0) return pick(prefills, surplus).map(({ replicaId }) => ({ replicaId, stage: 'decode' }))
  const decodes = serving.filter(({ stage }) => stage === 'decode')
  return pick(decodes, -surplus).map(({ replicaId }) => ({ replicaId, stage: 'prefill' }))
}

/**
 * Tells whether the pools have nothing to do.
 *
 * @param work - measured work
 * @returns true when it is less than one replica's in twenty
 */
export function isIdle ({ decode, prefill }: PoolWork): boolean {
  return prefill + decode < NO_WORK
}

/**
 * Refills a pool that lost its last replica, whatever the load: without work to measure in
 * it, the loads would never ask for one. Decode goes first, since a decode replica reads
 * prompts itself: the last replica left is one.
 *
 * @param members - model replicas of a service
 * @returns the change to order; empty when no pool is empty or none can be refilled
 */
export function refillPools (members: readonly PoolMember[]): StageChange[] {
  const staying = members.filter(({ isLeaving }) => !isLeaving)
  const serving = staying.filter(({ isServing }) => isServing)
  const has = (stage: ReplicaStage): boolean => staying.some((member) => member.stage === stage)
  if (!has('decode')) return pick(serving, 1).map(({ replicaId }) => ({ replicaId, stage: 'decode' }))
  if (has('prefill') || serving.length < 2 * FEWEST) return []
  return pick(serving, 1).map(({ replicaId }) => ({ replicaId, stage: 'prefill' }))
}

// Only for a clear gain.
function goalUnderLoad (prefills: number, total: number, work: PoolWork, intent: PoolIntent): number {
  const present = busierLoad(prefills, total, work)
  if (present < WORTHWHILE_LOAD) return prefills
  const even = Math.round(total * work.prefill / (work.prefill + work.decode))
  const goal = stepTowards(prefills, clampPrefills(even, total, intent), total, REACH_SHARE)
  return busierLoad(goal, total, work) < present - WORTHWHILE_GAIN ? goal : prefills
}

// At least one, so that small fleets change too.
function stepTowards (present: number, goal: number, total: number, share: number): number {
  const most = Math.max(1, Math.floor(total * share))
  return present + Math.max(-most, Math.min(most, goal - present))
}

function busierLoad (prefills: number, total: number, work: PoolWork): number {
  return Math.max(work.prefill / prefills, work.decode / (total - prefills))
}

function clampPrefills (prefills: number, total: number, intent: PoolIntent): number {
  const leastReplicas = Math.min(intent.leastPrefillReplicas, Math.floor(total / 2))
  const least = Math.max(FEWEST, leastReplicas, Math.ceil(total * intent.leastPrefillShare))
  const most = Math.min(total - FEWEST, Math.floor(total * intent.mostPrefillShare))
  return Math.max(least, Math.min(Math.max(least, most), prefills))
}

// From the availability zones that have most of the pool, so that each keeps some.
function pick (members: readonly PoolMember[], count: number): PoolMember[] {
  const left = [...members]
  const picked: PoolMember[] = []
  while (picked.length < count && left.length > 0) {
    const sizes = new Map<string, number>()
    for (const { availabilityZone } of left) sizes.set(availabilityZone, (sizes.get(availabilityZone) ?? 0) + 1)
    left.sort((a, b) => (sizes.get(b.availabilityZone) ?? 0) - (sizes.get(a.availabilityZone) ?? 0) || (a.replicaId < b.replicaId ? -1 : 1))
    picked.push(left.shift() as PoolMember)
  }
  return picked
}
