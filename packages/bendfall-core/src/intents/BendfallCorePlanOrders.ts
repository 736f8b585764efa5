/**
 * What a change of configuration asks of each instance.
 *
 * @module
 */
import type { Config, InstanceRecord } from '../BendfallCoreConfig.js'
import { poolInForce } from '../members/BendfallCoreMemberState.js'
import { canonicalJson } from './BendfallCoreCanonical.js'
import type { PlannedDrain, PlannedMove, PlannedOrder } from './BendfallCoreIntent.js'
import { isLanguageRole } from './BendfallCorePlacement.js'

type Holding = Omit<PlannedOrder, 'loadBytes'>

/**
 * Lists the orders that a new configuration leads to.
 *
 * @param current - configuration in force, if any
 * @param next - configuration to come
 * @param instances - the instance list, by instance id
 * @returns one order for each engine that must hold something else
 */
export function planOrders (current: Config | undefined, next: Config, instances: readonly InstanceRecord[]): readonly PlannedOrder[] {
  return instances.flatMap((record) => planOrder(current, next, record))
}

function planOrder (current: Config | undefined, next: Config, record: InstanceRecord): readonly PlannedOrder[] {
  if (record.state !== 'live' || next.withdrawn.includes(record.instanceId)) return []
  const after = holdingOf(next, record)
  if (after === undefined) return []
  const before = current === undefined ? undefined : holdingOf(current, record)
  if (before !== undefined && isSameHolding(before, after)) return []
  const keepsWeights = before?.model === after.model && before.modelVersion === after.modelVersion
  return [{ ...after, loadBytes: keepsWeights ? 0 : next.models[after.model].weightBytes }]
}

function holdingOf (config: Config, record: InstanceRecord): Holding | undefined {
  const name = poolInForce(record, config)
  const pool = config.pools[name]
  if (pool === undefined || !isLanguageRole(pool.role) || pool.model === undefined) return undefined
  const model = config.models[pool.model]
  if (model === undefined) return undefined
  return {
    instanceId: record.instanceId,
    availabilityZone: record.availabilityZone,
    pool: name,
    role: pool.role,
    model: pool.model,
    modelVersion: model.version,
    adapters: model.adapters
  }
}

function isSameHolding (a: Holding, b: Holding): boolean {
  const held = ({ role, model, modelVersion, adapters }: Holding): string => canonicalJson([role, model, modelVersion, [...adapters].sort()])
  return held(a) === held(b)
}

/**
 * Lists the instances that change their pool.
 *
 * @param current - configuration in force, if any
 * @param next - configuration to come
 * @param instances - the instance list, by instance id
 * @returns the moves
 */
export function planMoves (current: Config | undefined, next: Config, instances: readonly InstanceRecord[]): readonly PlannedMove[] {
  const upstreams = instances.filter((record) => record.kind === 'upstream')
  return upstreams.flatMap((record) => {
    const fromPool = poolInForce(record, current)
    const toPool = poolInForce(record, next)
    if (fromPool === toPool) return []
    return [{ instanceId: record.instanceId, availabilityZone: record.availabilityZone, fromPool, toPool }]
  })
}

/**
 * Lists the instances that finish their work before they change. Before the
 * first configuration none has work.
 *
 * @param current - configuration in force, if any
 * @param orders - orders of the plan
 * @param moves - moves of the plan
 * @param withdrawn - instances that the plan withdraws
 * @returns each instance once, with the weightiest reason
 */
export function planDrains (current: Config | undefined, orders: readonly PlannedOrder[], moves: readonly PlannedMove[], withdrawn: readonly string[]): readonly PlannedDrain[] {
  const drains = new Map<string, PlannedDrain>()
  const add = (instanceId: string, reason: PlannedDrain['reason']): void => {
    if (!drains.has(instanceId)) drains.set(instanceId, { instanceId, reason })
  }
  for (const instanceId of withdrawn) add(instanceId, 'withdrawn')
  if (current === undefined) return [...drains.values()]
  for (const move of moves) add(move.instanceId, 'move')
  for (const order of orders) add(order.instanceId, 'reload')
  return [...drains.values()]
}
