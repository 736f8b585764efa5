/**
 * Places instances into pools, moving as few of them as possible.
 *
 * @module
 */
import type { Config, InstanceRecord, PoolConfig } from '../BendfallCoreConfig.js'
import type { AvailabilityZone, InstanceId, PoolName, PoolRole } from '../BendfallCoreTypes.js'
import { poolInForce } from '../members/BendfallCoreMemberState.js'
import { compareText } from './BendfallCoreCanonical.js'
import type { Intent } from './BendfallCoreIntent.js'

/** Pool of each listed upstream. */
export type Placement = ReadonlyMap<InstanceId, PoolName>

interface PlacementWork {
  readonly intent: Intent
  /** Upstreams that may hold work and that no operator tied to a pool. */
  readonly movable: readonly InstanceRecord[]
  /** Upstreams that count as capacity. */
  readonly capacity: readonly InstanceRecord[]
  readonly pools: Map<InstanceId, PoolName>
}

/**
 * Tells whether upstreams of a role are model engines.
 *
 * @param role - role of a pool
 * @returns true for prefill and decode
 */
export function isLanguageRole (role: PoolRole): role is 'prefill' | 'decode' {
  return role !== 'service'
}

/**
 * Places the instances. Each stays where it is unless an operator tied it to
 * another pool, its pool is no more, or a pool is short while another has more
 * replicas than it should hold. Plain services never move.
 *
 * @param intent - the intent
 * @param current - configuration in force, if any
 * @param instances - the instance list
 * @returns the pool of each listed upstream
 */
export function placeInstances (intent: Intent, current: Config | undefined, instances: readonly InstanceRecord[]): Placement {
  const work = startPlacement(intent, current, instances)
  const short = Object.keys(intent.pools).sort(compareText).filter((name) => isLanguageRole(intent.pools[name].role))
  for (const name of short) fillPool(work, name)
  return work.pools
}

function startPlacement (intent: Intent, current: Config | undefined, instances: readonly InstanceRecord[]): PlacementWork {
  const upstreams = instances.filter((record) => record.kind === 'upstream')
  const capacity = upstreams.filter((record) => record.state === 'live' && !intent.withdrawn.includes(record.instanceId))
  const pools = new Map(upstreams.map((record) => [record.instanceId, startPool(intent, current, record)]))
  const movable = capacity.filter((record) => isMovable(intent, current, record))
  return { intent, movable, capacity, pools }
}

function startPool (intent: Intent, current: Config | undefined, record: InstanceRecord): PoolName {
  const tied = intent.assignments?.[record.instanceId]
  if (tied !== undefined && Object.hasOwn(intent.pools, tied)) return tied
  const inForce = poolInForce(record, current)
  return Object.hasOwn(intent.pools, inForce) ? inForce : record.pool
}

function isMovable (intent: Intent, current: Config | undefined, record: InstanceRecord): boolean {
  if (intent.assignments?.[record.instanceId] !== undefined) return false
  const label = current?.pools[record.pool] ?? intent.pools[record.pool]
  return label !== undefined && isLanguageRole(label.role)
}

function fillPool (work: PlacementWork, name: PoolName): void {
  while (countPool(work, name) < work.intent.pools[name].replicas) {
    const donor = chooseDonor(work, name)
    if (donor === undefined) return
    work.pools.set(donor.instanceId, name)
  }
}

function chooseDonor (work: PlacementWork, target: PoolName): InstanceRecord | undefined {
  const donors = work.movable.filter((record) => isSpare(work, record))
  return donors.sort((a, b) => compareRanks(rankDonor(work, a, target), rankDonor(work, b, target)))[0]
}

function isSpare (work: PlacementWork, record: InstanceRecord): boolean {
  const from = poolOf(work, record)
  const pool: PoolConfig | undefined = work.intent.pools[from]
  return pool === undefined || countPool(work, from) > pool.replicas
}

/** Lower goes first: weights that stay, an even spread over zones, the id. */
function rankDonor (work: PlacementWork, record: InstanceRecord, target: PoolName): ReadonlyArray<number | string> {
  const from = poolOf(work, record)
  const zone = record.availabilityZone
  const keepsWeights = work.intent.pools[from]?.model === work.intent.pools[target].model
  return [keepsWeights ? 0 : 1, countZone(work, target, zone), -countZone(work, from, zone), record.instanceId]
}

function compareRanks (a: ReadonlyArray<number | string>, b: ReadonlyArray<number | string>): number {
  for (const [index, left] of a.entries()) {
    const right = b[index]
    if (left !== right) return left < right ? -1 : 1
  }
  return 0
}

function countPool (work: PlacementWork, pool: PoolName): number {
  return work.capacity.filter((record) => poolOf(work, record) === pool).length
}

function countZone (work: PlacementWork, pool: PoolName, zone: AvailabilityZone): number {
  return work.capacity.filter((record) => record.availabilityZone === zone && poolOf(work, record) === pool).length
}

function poolOf (work: PlacementWork, record: InstanceRecord): PoolName {
  return work.pools.get(record.instanceId) ?? record.pool
}
