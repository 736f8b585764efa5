/**
 * Ports by which an adapter translates between a platform and the router. An
 * adapter decodes names and formats; it decides nothing.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { KeyValueEntry } from 'bendfall-platform'
import type { HoldOutcome, OrderOutcome, Prompt, Replica, ReplicaNotice, ReplicaStage, RouterConfig } from 'bendfall-router'
import type { Result } from 'ts-results-es'
import type { ReplicaCallRequest } from './replica/BendfallEdgeReplicaCall.js'

/** Header names and values by turns, as on the wire. */
export type RawHeaders = readonly string[]

/** A request as its caller sent it. */
export interface CallerRequest {
  readonly requestId: string
  readonly deadlineMs?: number
  readonly prompt?: Prompt
  /** Of the caller's key; absent when none came, or more than one. */
  readonly keyDigest?: string
  readonly lastEventId?: string
  /** Headers that go on to the replica, without those that the router sets. */
  readonly forwardHeaders: RawHeaders
}

/** Why a caller's request can't be taken. */
export interface BadRequest {
  readonly status: number
  readonly message: string
}

/** What goes with a request that a replica is to run. */
export interface RunOrder {
  readonly replicaId: string
  readonly deadlineMs: number
  /** Name of the customer whose request it is. */
  readonly customer?: string
  /** Address and handle of a prefill's result. */
  readonly source?: string
  /** Memory that the replica holds for the request. */
  readonly holdId?: string
  readonly lastEventId?: string
}

/** What goes with a prompt that a replica is to read. */
export interface PrefillOrder {
  readonly replicaId: string
  readonly deadlineMs: number
  /** Name of the customer whose request it is. */
  readonly customer?: string
}

/** Memory that a replica is to hold. */
export interface HoldOrder {
  readonly replicaId: string
  readonly tokens: number
  readonly ttlMs: number
}

/** An order that a replica is to change its pool. */
export interface StageOrder {
  readonly replicaId: string
  readonly stage: ReplicaStage
  readonly holder: string
  /** Fencing token of the holder's lease. */
  readonly fence: number
}

/** What the head of a replica's answer tells. */
export interface AnswerHead {
  /** Absent when the replica did not echo it. */
  readonly requestId?: string
  /** The replica says that it did not run the request. */
  readonly isNotRun: boolean
  /** Another replica has the address. */
  readonly isWrongReplica: boolean
  /** The replica vouches for the answer. */
  readonly isSigned: boolean
  /** What the replica says of itself. */
  readonly notice: ReplicaNotice
}

/** A method and path without a body. */
export interface PlainCall {
  readonly method: 'GET' | 'DELETE'
  readonly path: string
}

/** A request that a replica holds. */
export interface EngineRun {
  readonly requestId: string
  readonly tokensInMemory: number
  readonly eventsMade: number
}

/** Load of a model replica as it tells itself. */
export interface EngineReport {
  /** Start of the replica's process, Unix time; absent where the platform does not tell it. */
  readonly startedAtMs?: number
  readonly stage: ReplicaStage
  readonly usedTokens: number
  readonly capacityTokens: number
  readonly queued: number
  readonly active: number
  /** Whether the replica changes its stage now. */
  readonly isSwitching: boolean
  /** Whether the replica says that it leaves. */
  readonly isLeaving: boolean
  /** Requests a second that it takes from all entries together; absent: it names no limit. */
  readonly limitPerS?: number
  readonly runs: readonly EngineRun[]
}

/** Requests of callers. */
export interface CallerDialect {
  /** Path at which the platform asks whether the process takes requests. */
  readonly readyPath: string
  /**
   * @param headers - raw headers of the request
   * @returns the request, or why it can't be taken
   */
  readonly readRequest: (headers: RawHeaders) => Result<CallerRequest, BadRequest>
}

/** Calls to replicas. */
export interface ReplicaDialect {
  /** Headers that the router adds to a request that is to run. */
  readonly runHeaders: (order: RunOrder) => RawHeaders
  /** Headers that the router adds to a prompt that is to be read. */
  readonly prefillHeaders: (order: PrefillOrder) => RawHeaders
  readonly readAnswerHead: (status: number, headers: IncomingHttpHeaders) => AnswerHead
  /** @returns the handle of the result, or what is wrong with the body */
  readonly readPrefillResult: (body: Buffer) => Result<string, string>
  readonly freeHandle: (handle: string) => PlainCall
  /** Asks a replica to hold memory for a request that will come. */
  readonly takeHold: (order: HoldOrder) => ReplicaCallRequest
  readonly readHoldAnswer: (status: number, body: Buffer) => HoldOutcome
  readonly dropHold: (holdId: string) => PlainCall
  /** Order to change the pool. */
  readonly stageOrder: (order: StageOrder) => ReplicaCallRequest
  readonly readOrderStatus: (status: number) => OrderOutcome
  readonly report: PlainCall
  /** @returns the load, or what is wrong with the body */
  readonly readReport: (body: Buffer, headers: IncomingHttpHeaders) => Result<EngineReport, string>
}

/** Entries of the platform's key-value service. */
export interface DirectoryDialect {
  /** Begins the keys of both of the following, so that one watch tells all changes. */
  readonly sharedPrefix: string
  readonly configPrefix: string
  readonly replicaPrefix: string
  /** @returns the configuration, or what is wrong with the entry */
  readonly readConfig: (entry: KeyValueEntry) => Result<RouterConfig, string>
  /** @returns the id that a key names */
  readonly readReplicaId: (key: string) => string
  /** @returns the replica, or what is wrong with the entry */
  readonly readReplica: (entry: KeyValueEntry) => Result<Replica, string>
}

/** A platform's dialect. */
export interface Dialect {
  readonly caller: CallerDialect
  readonly replica: ReplicaDialect
  readonly directory: DirectoryDialect
}
