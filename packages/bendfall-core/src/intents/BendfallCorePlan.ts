/**
 * Plans what an intent would change. Pure: the same confirmed configuration,
 * intent and instances give the same plan and the same digest.
 *
 * @module
 */
import type { Config, InstanceRecord } from '../BendfallCoreConfig.js'
import type { InstanceId, PoolName } from '../BendfallCoreTypes.js'
import { canonicalJson, compareText, digestJson } from './BendfallCoreCanonical.js'
import type { Intent, Plan } from './BendfallCoreIntent.js'
import { checkIntent } from './BendfallCoreIntentCheck.js'
import type { Placement } from './BendfallCorePlacement.js'
import { placeInstances } from './BendfallCorePlacement.js'
import { planDrains, planMoves, planOrders } from './BendfallCorePlanOrders.js'
import { planWaves } from './BendfallCorePlanWaves.js'

/** What a plan is made from. */
export interface PlanInput {
  /** Configuration in force, if any. */
  readonly current?: Config
  /** Revision of the stored configuration; 0 when there is none. */
  readonly currentRevision: number
  readonly intent: Intent
  readonly instances: readonly InstanceRecord[]
  /** Rate of the weight store, for the estimates only; 0 when not known. */
  readonly weightStoreBytesPerSecond?: number
}

/**
 * Plans an intent. Findings that block do not stop the planning, so that all
 * findings are seen together.
 *
 * @param input - what the plan is made from
 * @returns the plan
 */
export function planIntent (input: PlanInput): Plan {
  const { current, intent } = input
  const instances = [...input.instances].sort((a, b) => compareText(a.instanceId, b.instanceId))
  const placement = placeInstances(intent, current, instances)
  const next = nextConfig(input, instances, placement)
  const orders = planOrders(current, next, instances)
  const moves = planMoves(current, next, instances)
  const withdrawn = next.withdrawn.filter((instanceId) => !(current?.withdrawn.includes(instanceId) ?? false))
  const bound = {
    baseVersion: current?.version ?? 0,
    baseRevision: input.currentRevision,
    next,
    isChange: current === undefined || contentOf(current) !== contentOf(next),
    orders,
    moves,
    drains: planDrains(current, orders, moves, withdrawn),
    withdrawn,
    findings: checkIntent(intent, { instances, pools: placement })
  }
  const weightStore = planWaves(orders, input.weightStoreBytesPerSecond ?? 0)
  return { ...bound, weightStore, digest: digestJson(bound) }
}

/**
 * Tells whether a plan can be confirmed.
 *
 * @param plan - the plan
 * @returns false when a finding blocks it
 */
export function isConfirmable (plan: Plan): boolean {
  return plan.findings.every((finding) => finding.severity !== 'blocks')
}

function nextConfig (input: PlanInput, instances: readonly InstanceRecord[], placement: Placement): Config {
  const { classes, models, pools, routes, clients, links, withdrawn } = input.intent
  return {
    version: (input.current?.version ?? 0) + 1,
    writeId: '',
    classes,
    models,
    pools,
    routes,
    clients,
    links,
    assignments: assignmentsOf(input.intent, instances, placement),
    withdrawn: [...withdrawn].sort(compareText)
  }
}

/** An instance in the pool of its label needs no assignment. */
function assignmentsOf (intent: Intent, instances: readonly InstanceRecord[], placement: Placement): Record<InstanceId, PoolName> {
  const assignments: Record<InstanceId, PoolName> = { ...intent.assignments }
  for (const record of instances) {
    const pool = placement.get(record.instanceId)
    if (pool !== undefined && pool !== record.pool) assignments[record.instanceId] = pool
  }
  return assignments
}

function contentOf (config: Config): string {
  return canonicalJson({ ...config, version: 0, writeId: '' })
}
