/**
 * The confirmed configuration: one immutable document with one increasing
 * version, which is also the fencing token of every order it leads to.
 *
 * @module
 */
import type { AvailabilityZone, ClientId, InstanceId, ModelName, PoolName, PoolRole, TrafficClass } from './BendfallCoreTypes.js'

/** Latency targets of a traffic class. */
export interface ClassTargets {
  /** Time to first output, from arrival at the entry. */
  readonly firstOutputMs: number
  /** Time between two outputs. */
  readonly stepMs: number
}

/** What the router has to know of a model. */
export interface ModelConfig {
  readonly version: string
  readonly adapters: readonly string[]
  readonly kvBytesPerToken: number
  readonly weightBytes: number
}

/** A pool of upstreams that serve the same thing. */
export interface PoolConfig {
  readonly role: PoolRole
  /** Set for prefill and decode pools. */
  readonly model?: ModelName
  /** Number of replicas that the pool should hold. */
  readonly replicas: number
}

/** A plain service behind a path prefix. */
export interface RouteConfig {
  readonly pathPrefix: string
  readonly pool: PoolName
  readonly trafficClass: TrafficClass
  /** Methods whose calls may be sent again. All others run at most once. */
  readonly repeatableMethods: readonly string[]
}

/** Limits of one client. */
export interface ClientConfig {
  /** Weight of the client in the division of scarce capacity. */
  readonly shareWeight: number
}

/** Rate of the network between two availability zones, in both directions. */
export interface LinkConfig {
  readonly from: AvailabilityZone
  readonly to: AvailabilityZone
  readonly bytesPerSecond: number
}

/** The configuration that operators confirmed. */
export interface Config {
  /** Increases by one with each confirmation; the fencing token of orders. */
  readonly version: number
  /** Set by the writer, read back when the answer to the write was lost. */
  readonly writeId: string
  readonly classes: Readonly<Record<TrafficClass, ClassTargets>>
  readonly models: Readonly<Record<ModelName, ModelConfig>>
  readonly pools: Readonly<Record<PoolName, PoolConfig>>
  readonly routes: readonly RouteConfig[]
  readonly clients: Readonly<Record<ClientId, ClientConfig>>
  readonly links: readonly LinkConfig[]
  /** Pool of an instance where it differs from the label in the instance list. */
  readonly assignments: Readonly<Record<InstanceId, PoolName>>
  /** Instances that operators withdraw: they drain and get no new work. */
  readonly withdrawn: readonly InstanceId[]
}

/** An instance as the platform's instance list shows it. */
export interface InstanceRecord {
  readonly instanceId: InstanceId
  readonly availabilityZone: AvailabilityZone
  /** `ip:port` of the bendfall process on the instance. */
  readonly address: string
  readonly kind: 'entry' | 'upstream'
  /** Pool for which the platform started the instance. Empty for entries. */
  readonly pool: PoolName
  readonly state: 'live' | 'leaving'
}

/** Difference between two instance lists. */
export interface InstanceChange {
  /** Instances that are new, or whose record differs. */
  readonly changed: readonly InstanceRecord[]
  /** Instances that are no longer listed. */
  readonly removed: readonly InstanceId[]
}
