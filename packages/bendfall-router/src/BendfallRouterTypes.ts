/**
 * What the router knows of the deployment: configuration, replicas, prompts.
 *
 * @module
 */

/** Whether a request may run more than once, and how its answer comes. */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'streaming'

/** Pool that a model replica works in; `plain` for replicas without a model. */
export type ReplicaStage = 'prefill' | 'decode' | 'plain'

/** Part of a route's traffic that goes to one service. */
export interface WeightedService {
  readonly service: string
  readonly weight: number
}

/** How requests of one host and path prefix are served. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Longest time from arrival to the final answer. */
  readonly timeoutMs: number
  /** Time to the answer, or to the first event of a stream, for full value. */
  readonly targetLatencyMs: number
  /** Longest pause between events for which a stream is on time. */
  readonly targetGapMs: number
  /** Longest wait for the next event after which callers give a stream up. */
  readonly patienceMs: number
  /** 0 is the most important. */
  readonly priority: number
  /** Replicas that one request may run on. */
  readonly maxAttempts: number
  /** Whether requests carry a prompt. */
  readonly hasPrompt: boolean
  /** Whether a stream may be continued by another replica. */
  readonly isResumable: boolean
  /** Whether requests need no key. */
  readonly isOpen: boolean
  readonly services: readonly WeightedService[]
}

/** What a model replica of a service can hold. */
export interface EngineProfile {
  readonly slots: number
  readonly kvTokens: number
  /** Time for which the result of a prefill is kept. */
  readonly handleTtlMs: number
  /** Time without service while a replica changes its stage. */
  readonly switchMs: number
}

/** A service and its replicas' common properties. */
export interface ServiceConfig {
  readonly name: string
  /** Connections that one replica accepts from all callers together. */
  readonly maxConnections: number
  /** Absent for services without a model. */
  readonly engine?: EngineProfile
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** What counts against an allotment: tokens of prompts and answers, or requests. */
export type AllotmentUnit = 'tokens' | 'requests'

/** What a customer may use at all entries together. */
export interface Allotment {
  readonly unit: AllotmentUnit
  readonly unitsPerS: number
  /** Units that may be used at once after a time without use. */
  readonly burstUnits: number
  /** Units of a request that declares none. */
  readonly undeclaredUnits: number
}

/** Who sends requests, and pays for them. */
export interface Customer {
  readonly name: string
  /** Digests of its keys; the keys themselves stay in the adapter. */
  readonly keyDigests: readonly string[]
  /** Goes before that of the route; absent: the route's counts. */
  readonly priority?: number
  /** Absent: the customer has no limit. */
  readonly allotment?: Allotment
}

/** The configuration in force. */
export interface RouterConfig {
  readonly version: number
  /** Absent: callers need no key. */
  readonly customers?: readonly Customer[]
  readonly routes: readonly Route[]
  readonly services: readonly ServiceConfig[]
  readonly limits: CallerLimits
}

/** A replica as it registered itself. */
export interface Replica {
  readonly replicaId: string
  /** Grows from one registration to the next, so that of two at one address the later is known. */
  readonly registeredAtRevision: number
  /** Grows with each write of the registration. */
  readonly revision: number
  /** Start of the replica's process, Unix time: its incarnation. Absent where the platform does not tell it. */
  readonly startedAtMs?: number
  /** Heartbeats since the start of the process. */
  readonly heartbeats: number
  readonly service: string
  /** `ip:port`. */
  readonly address: string
  readonly availabilityZone: string
  readonly slots: number
  readonly isDraining: boolean
  readonly stage: ReplicaStage
}

/** Prompt of a request, as its caller declared it. */
export interface Prompt {
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** The caller's estimate of the output; absent when it gave none. */
  readonly outputHintTokens?: number
}

/** Horizons of the room that a ledger tells, in milliseconds from its reading. */
export const ROOM_HORIZONS_MS: readonly number[] = [0, 100, 250, 500, 750, 1000, 1500, 2000, 3000, 4000]

/** Load of a model replica, as the ledger beside it tells. */
export interface ReplicaLoad {
  readonly replicaId: string
  /** Absent while the replica has not answered. */
  readonly stage?: ReplicaStage
  readonly isHealthy: boolean
  /** Whether the replica says that it leaves; absent: its ledger does not tell. */
  readonly isLeaving?: boolean
  /** Requests a second that the replica takes from all entries together; absent: it names no limit. */
  readonly limitPerS?: number
  readonly capacityTokens: number
  /** Smallest room from each of {@link ROOM_HORIZONS_MS} on, queue included. */
  readonly roomTokens: readonly number[]
  /** Tokens of the prompts that a prefill replica has, or that a decode replica reads itself. */
  readonly backlogTokens: number
}
