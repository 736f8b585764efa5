/**
 * The router's model of the deployment: configuration, replicas, prompts.
 *
 * @module
 */

/** Whether a request may run more than once, and whether its response is streamed. */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'streaming'

/** Pool of a model replica; `plain` for replicas without a model. */
export type ReplicaStage = 'prefill' | 'decode' | 'plain'

/** Share of a route's traffic that is sent to one service. */
export interface WeightedService {
  readonly service: string
  readonly weight: number
}

/** How requests for one host and path prefix are served. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Maximum time from arrival to the end of the response. */
  readonly timeoutMs: number
  /** Latency of the response, or of the first event of a stream, that operators promise for as much traffic as possible. */
  readonly targetLatencyMs: number
  /** Gap between events that operators aim for; reported only. */
  readonly targetGapMs: number
  /** Gap between events after which callers abandon a stream. */
  readonly patienceMs: number
  /** 0 is the highest priority. */
  readonly priority: number
  /** Maximum number of replicas that one request may run on. */
  readonly maxAttempts: number
  /** Whether requests carry a prompt. */
  readonly hasPrompt: boolean
  /** Whether a stream may be resumed on another replica. */
  readonly isResumable: boolean
  /** Whether requests are accepted without an API key. */
  readonly allowsAnonymous: boolean
  readonly services: readonly WeightedService[]
}

/** Capacity of one model replica of a service. */
export interface EngineProfile {
  readonly slots: number
  readonly kvTokens: number
  /** How long the result of a prefill is kept. */
  readonly handleTtlMs: number
  /** How long a replica is out of service while it changes its stage. */
  readonly switchMs: number
}

/** A service and the properties that its replicas share. */
export interface ServiceConfig {
  readonly name: string
  /** Connections that one replica accepts from all callers together. */
  readonly maxConnections: number
  /** Absent for services without a model. */
  readonly engine?: EngineProfile
}

/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** Unit in which an allotment is counted: tokens of prompts and outputs, or requests. */
export type AllotmentUnit = 'tokens' | 'requests'

/** Rate limit of a customer across all entries. */
export interface Allotment {
  readonly unit: AllotmentUnit
  readonly unitsPerS: number
  /** Units that can be used at once after an idle period. */
  readonly burstUnits: number
  /** Units charged for a request that declares none. */
  readonly undeclaredUnits: number
}

/** A party that sends requests and is charged for them. */
export interface Customer {
  readonly name: string
  /** Digests of the customer's API keys; the plain keys never leave the adapter. */
  readonly keyDigests: readonly string[]
  /** Overrides the priority of the route; absent: the priority of the route applies. */
  readonly priority?: number
  /** Absent: the customer has no limit. */
  readonly allotment?: Allotment
}

/** The active configuration. */
export interface RouterConfig {
  readonly version: number
  /** Absent: callers need no API key. */
  readonly customers?: readonly Customer[]
  readonly routes: readonly Route[]
  readonly services: readonly ServiceConfig[]
  readonly limits: CallerLimits
}

/** A replica as it registered itself. */
export interface Replica {
  readonly replicaId: string
  /** Increases with each registration, so that the later of two at the same address can be identified. */
  readonly registeredAtRevision: number
  /** Increases with each write of the registration. */
  readonly revision: number
  /** Start of the replica's process in Unix time, which identifies its incarnation. Absent where the platform does not report it. */
  readonly startedAtMs?: number
  /** Heartbeats since the start of the process. */
  readonly heartbeats: number
  readonly service: string
  /** Version of the software that the replica runs; unrelated to versions of model weights or of the configuration. */
  readonly softwareVersion: string
  /** `ip:port`. */
  readonly address: string
  readonly availabilityZone: string
  readonly slots: number
  readonly isDraining: boolean
  readonly stage: ReplicaStage
}

/** The prompt of a request, as declared by its caller. */
export interface Prompt {
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** The caller's estimate of the output; absent if it gave none. */
  readonly outputHintTokens?: number
  /** Ids of its parts in order, which requests share and caches know; absent if the caller named none. */
  readonly partIds?: readonly string[]
}

/** Horizons of the free memory that a ledger reports, in milliseconds after its reading. */
export const ROOM_HORIZONS_MS: readonly number[] = [0, 100, 250, 500, 750, 1000, 1500, 2000, 3000, 4000]

/** Load of a model replica, as reported by its ledger. */
export interface ReplicaLoad {
  readonly replicaId: string
  /** Absent while the replica has not responded. */
  readonly stage?: ReplicaStage
  readonly isHealthy: boolean
  /** Whether the replica reports that it is shutting down; absent if its ledger does not report it. */
  readonly isLeaving?: boolean
  /** Requests per second that the replica accepts from all entries together; absent if it advertises no limit. */
  readonly limitPerS?: number
  readonly capacityTokens: number
  /** Minimum free memory from each of {@link ROOM_HORIZONS_MS} on, less the memory of queued requests. */
  readonly roomTokens: readonly number[]
  /** Prompt tokens assigned to a prefill replica, or still to be prefilled by a decode replica itself. */
  readonly backlogTokens: number
  /** Output rate of one run of a decode replica in the last seconds; absent if nothing ran there, or its ledger does not report it. */
  readonly tokensPerMs?: number
}
