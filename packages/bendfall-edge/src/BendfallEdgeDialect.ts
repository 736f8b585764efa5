/**
 * Interfaces that a platform adapter implements to translate between a platform's wire
 * formats and the router. An adapter only encodes and decodes names and formats; all
 * decisions are made by the router.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { KeyValueEntry } from 'bendfall-platform'
import type { HoldOutcome, OrderOutcome, Prompt, Replica, ReplicaNotice, ReplicaStage, RouterConfig } from 'bendfall-router'
import type { Result } from 'ts-results-es'
import type { ReplicaCallRequest } from './replica/BendfallEdgeReplicaCall.js'

/** Alternating header names and values, as on the wire. */
export type RawHeaders = readonly string[]

/** A request as sent by its caller. */
export interface CallerRequest {
  readonly requestId: string
  readonly deadlineMs?: number
  readonly prompt?: Prompt
  /** Digest of the caller's API key; absent if the request has no key or several. */
  readonly keyDigest?: string
  readonly lastEventId?: string
  /** Id of the request whose response brought the first event of the stream that the caller resumes. */
  readonly resumedRequestId?: string
  /** Headers to forward to the replica, without those that the router sets itself. */
  readonly forwardHeaders: RawHeaders
}

/** Error response for a request that the router rejects. */
export interface BadRequest {
  readonly status: number
  readonly message: string
}

/** Parameters that the router adds to a request sent to a replica for execution. */
export interface RunParameters {
  readonly replicaId: string
  readonly deadlineMs: number
  /** Name of the customer who owns the request. */
  readonly customer?: string
  /** How urgent the request is to its replica, from 0, the most urgent, to 9; absent: the replica's default. */
  readonly urgency?: number
  /** Address and handle of the prefill result to start from. */
  readonly source?: string
  /** Id of the memory hold that the replica has granted for the request. */
  readonly holdId?: string
  readonly lastEventId?: string
}

/** Parameters that the router adds to a prompt sent to a replica for prefill. */
export interface PrefillParameters {
  readonly replicaId: string
  readonly deadlineMs: number
  /** Name of the customer who owns the request. */
  readonly customer?: string
  /** How urgent the request is to its replica, from 0, the most urgent, to 9; absent: the replica's default. */
  readonly urgency?: number
}

/** Amount and duration of the memory that a replica is asked to hold. */
export interface HoldParameters {
  readonly replicaId: string
  readonly tokens: number
  readonly ttlMs: number
}

/** Order to a replica to change its stage, and thereby its pool. */
export interface StageOrder {
  readonly replicaId: string
  readonly stage: ReplicaStage
  readonly holder: string
  /** Fencing token of the lease of the leader that gives the order. */
  readonly fence: number
}

/** Decoded status line and headers of a replica's response. */
export interface ResponseHead {
  /** Request id echoed by the replica; absent if it echoed none. */
  readonly requestId?: string
  /** Whether the replica states that it did not execute the request. */
  readonly isNotRun: boolean
  /** Whether the address now belongs to another replica. */
  readonly isWrongReplica: boolean
  /** Whether the response bears the replica's signature. */
  readonly isSigned: boolean
  /** Status that the replica reports about itself. */
  readonly notice: ReplicaNotice
}

/** A request without a body. */
export interface BodylessRequest {
  readonly method: 'GET' | 'DELETE'
  readonly path: string
}

/** A request that a replica is executing. */
export interface EngineRun {
  readonly requestId: string
  readonly tokensInMemory: number
  readonly eventsMade: number
}

/** Load of a model replica as reported by the replica itself. */
export interface EngineReport {
  /** Start of the replica's process in Unix time; absent if the platform doesn't report it. */
  readonly startedAtMs?: number
  readonly stage: ReplicaStage
  readonly usedTokens: number
  readonly capacityTokens: number
  readonly queued: number
  readonly active: number
  /** Whether the replica is changing its stage. */
  readonly isSwitching: boolean
  /** Whether the replica reports that it is shutting down. */
  readonly isLeaving: boolean
  /** Requests per second that it accepts from all entries together; absent if it states no limit. */
  readonly limitPerS?: number
  readonly runs: readonly EngineRun[]
}

/** Decodes callers' requests. */
export interface CallerDialect {
  /** Path of the platform's readiness probe. */
  readonly readyPath: string
  /**
   * @param headers - raw headers of the request
   * @returns the decoded request, or the error response if it is invalid
   */
  readonly readRequest: (headers: RawHeaders) => Result<CallerRequest, BadRequest>
}

/** Encodes calls to replicas and decodes their responses. */
export interface ReplicaDialect {
  /** Returns the headers that the router adds to a request for execution. */
  readonly runHeaders: (parameters: RunParameters) => RawHeaders
  /** Returns the headers that the router adds to a prefill request. */
  readonly prefillHeaders: (parameters: PrefillParameters) => RawHeaders
  readonly readAnswerHead: (status: number, headers: IncomingHttpHeaders) => ResponseHead
  /** @returns the handle of the prefill result, or a description of the error in the body */
  readonly readPrefillResult: (body: Buffer) => Result<string, string>
  readonly freeHandle: (handle: string) => BodylessRequest
  /** Builds the call that asks a replica to hold memory for an upcoming request. */
  readonly takeHold: (parameters: HoldParameters) => ReplicaCallRequest
  readonly readHoldAnswer: (status: number, body: Buffer) => HoldOutcome
  readonly dropHold: (holdId: string) => BodylessRequest
  /** Builds the call that orders a replica to change its stage. */
  readonly stageOrder: (order: StageOrder) => ReplicaCallRequest
  readonly readOrderStatus: (status: number) => OrderOutcome
  readonly report: BodylessRequest
  /** @returns the load report, or a description of the error in the body */
  readonly readReport: (body: Buffer, headers: IncomingHttpHeaders) => Result<EngineReport, string>
}

/** Decodes entries of the platform's key-value service. */
export interface DirectoryDialect {
  /** Common prefix of the configuration and replica keys, so that a single watch covers both. */
  readonly sharedPrefix: string
  readonly configPrefix: string
  readonly replicaPrefix: string
  /** @returns the configuration, or a description of the error in the entry */
  readonly readConfig: (entry: KeyValueEntry) => Result<RouterConfig, string>
  /** @returns the id of the replica that is registered under a key */
  readonly readReplicaId: (key: string) => string
  /** @returns the replica, or a description of the error in the entry */
  readonly readReplica: (entry: KeyValueEntry) => Result<Replica, string>
}

/** Complete adapter of a platform. */
export interface Dialect {
  readonly caller: CallerDialect
  readonly replica: ReplicaDialect
  readonly directory: DirectoryDialect
}
