/**
 * Spreads loads over time: the weight store's rate is shared by all loads, and
 * a pool should not lose many replicas at once.
 *
 * @module
 */
import type { LoadWave, PlannedOrder, WeightStoreCost } from './BendfallCoreIntent.js'

/** Loads that may run at once over all pools. */
export const LOADS_AT_ONCE = 4

/** Loads that may run at once in one pool. */
export const POOL_LOADS_AT_ONCE = 1

/**
 * Divides loads into waves. A load goes into the first wave that has room for
 * it, in the order of the orders.
 *
 * @param orders - the orders; those without bytes to load take part in no wave
 * @param bytesPerSecond - rate of the weight store; 0 when not known
 * @returns bytes, seconds and waves
 */
export function planWaves (orders: readonly PlannedOrder[], bytesPerSecond: number): WeightStoreCost {
  const groups: PlannedOrder[][] = []
  for (const order of orders.filter((one) => one.loadBytes > 0)) addToGroups(groups, order)
  const loadBytes = sumBytes(groups.flat())
  return { loadBytes, ...estimate(loadBytes, bytesPerSecond), waves: timeWaves(groups, bytesPerSecond) }
}

function addToGroups (groups: PlannedOrder[][], order: PlannedOrder): void {
  const group = groups.find((one) => hasRoom(one, order))
  if (group === undefined) groups.push([order])
  else group.push(order)
}

function hasRoom (group: readonly PlannedOrder[], order: PlannedOrder): boolean {
  const ofPool = group.filter((one) => one.pool === order.pool).length
  return group.length < LOADS_AT_ONCE && ofPool < POOL_LOADS_AT_ONCE
}

function timeWaves (groups: readonly PlannedOrder[][], bytesPerSecond: number): readonly LoadWave[] {
  let bytesBefore = 0
  return groups.map((group) => {
    const startsInSeconds = secondsFor(bytesBefore, bytesPerSecond)
    const loadBytes = sumBytes(group)
    bytesBefore += loadBytes
    const instanceIds = group.map((order) => order.instanceId)
    return { instanceIds, loadBytes, ...(startsInSeconds !== undefined && { startsInSeconds }) }
  })
}

function estimate (loadBytes: number, bytesPerSecond: number): Pick<WeightStoreCost, 'estimatedSeconds'> {
  const estimatedSeconds = secondsFor(loadBytes, bytesPerSecond)
  return estimatedSeconds === undefined ? {} : { estimatedSeconds }
}

function secondsFor (bytes: number, bytesPerSecond: number): number | undefined {
  return bytesPerSecond > 0 ? bytes / bytesPerSecond : undefined
}

function sumBytes (orders: readonly PlannedOrder[]): number {
  return orders.reduce((sum, order) => sum + order.loadBytes, 0)
}
