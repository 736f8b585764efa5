/**
 * Intents of operators and the plans that answer them.
 *
 * @module
 */
import type { ClassTargets, ClientConfig, Config, LinkConfig, ModelConfig, PoolConfig, RouteConfig } from '../BendfallCoreConfig.js'
import type { AvailabilityZone, ClientId, InstanceId, ModelName, PoolName, TrafficClass } from '../BendfallCoreTypes.js'

/** What operators want, as it stands in version control. */
export interface Intent {
  readonly classes: Readonly<Record<TrafficClass, ClassTargets>>
  readonly models: Readonly<Record<ModelName, ModelConfig>>
  readonly pools: Readonly<Record<PoolName, PoolConfig>>
  readonly routes: readonly RouteConfig[]
  readonly clients: Readonly<Record<ClientId, ClientConfig>>
  readonly links: readonly LinkConfig[]
  /** Instances to drain and to leave without work. */
  readonly withdrawn: readonly InstanceId[]
  /** Instances that operators tie to a pool; the plan places all others. */
  readonly assignments?: Readonly<Record<InstanceId, PoolName>>
}

/** What is wrong with an intent. */
export type IntentFindingKind =
  | 'capacity_missing'
  | 'contradiction'
  | 'unknown_instance'
  | 'unknown_model'
  | 'unknown_pool'

/** One finding, with its place in the intent. */
export interface IntentFinding {
  readonly kind: IntentFindingKind
  /** A plan with a finding that blocks cannot be confirmed. */
  readonly severity: 'blocks' | 'warns'
  /** JSON pointer into the intent. */
  readonly pointer: string
  readonly expected: string
  readonly found: string
}

/** What an engine will be told to hold. */
export interface PlannedOrder {
  readonly instanceId: InstanceId
  readonly availabilityZone: AvailabilityZone
  readonly pool: PoolName
  readonly role: 'prefill' | 'decode'
  readonly model: ModelName
  readonly modelVersion: string
  readonly adapters: readonly string[]
  /** Bytes to fetch from the weight store; 0 when the weights stay. */
  readonly loadBytes: number
}

/** An instance that changes its pool. */
export interface PlannedMove {
  readonly instanceId: InstanceId
  readonly availabilityZone: AvailabilityZone
  readonly fromPool: PoolName
  readonly toPool: PoolName
}

/** Why an instance drains. */
export type DrainReason = 'move' | 'reload' | 'withdrawn'

/** An instance that finishes its work before it changes. */
export interface PlannedDrain {
  readonly instanceId: InstanceId
  readonly reason: DrainReason
}

/** Loads that start together. */
export interface LoadWave {
  readonly instanceIds: readonly InstanceId[]
  readonly loadBytes: number
  /** From the start of the first wave; absent when the rate is not known. */
  readonly startsInSeconds?: number
}

/** What the loads of a plan ask of the weight store. */
export interface WeightStoreCost {
  readonly loadBytes: number
  /** Absent when the rate is not known. */
  readonly estimatedSeconds?: number
  readonly waves: readonly LoadWave[]
}

/** Answer to an intent; changes nothing until an operator confirms it. */
export interface Plan {
  /** Version in force when the plan was made; 0 when there was none. */
  readonly baseVersion: number
  /** Revision of the stored configuration; 0 when there was none. */
  readonly baseRevision: number
  /** The configuration to confirm; its write id is empty. */
  readonly next: Config
  /** False when the intent is in force already. */
  readonly isChange: boolean
  readonly orders: readonly PlannedOrder[]
  readonly moves: readonly PlannedMove[]
  readonly drains: readonly PlannedDrain[]
  /** Instances withdrawn by this plan, not before. */
  readonly withdrawn: readonly InstanceId[]
  readonly weightStore: WeightStoreCost
  readonly findings: readonly IntentFinding[]
  /** Names base, content and orders of the plan. */
  readonly digest: string
}
