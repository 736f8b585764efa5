/**
 * Effects that the entry's reducer returns and the runtime carries out.
 *
 * @module
 */
import type { CrashReport } from '../crashes/BendfallRouterCrashReport.js'
import type { PermitRequest } from '../limits/BendfallRouterPermitLeader.js'
import type { AllotmentRole } from '../allotments/BendfallRouterAllotmentLeader.js'
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import type { ResumableSoftware } from '../streams/BendfallRouterResumableSoftware.js'
import type { SoftwareDigest } from '../streams/BendfallRouterStreamOrigins.js'

/** Why a request ended without a replica's response. */
export type EndReason =
  | 'no_config' | 'no_route' | 'unknown_key' | 'keys_unproven' | 'allotment_spent' | 'allotment_unknown' | 'no_replica' | 'no_memory' | 'prefill_busy' | 'too_large' | 'stopping'
  | 'deadline' | 'overloaded' | 'replica_refused' | 'replica_failed' | 'budget' | 'caller_left' | 'crashes_replicas' | 'replicas_back_off' | 'replicas_limited' | 'origin_unknown' | 'software_gone'

/** Values of a log line. */
export type DecisionInputs = Readonly<Record<string, string | number | boolean | undefined>>

/** Request that waits for loads to be reported. */
export interface LoadsQuery {
  readonly key: string
  readonly attempt: number
  /** Maximum time that the request waits for the reports. */
  readonly maxWaitMs: number
}

/** An effect, carried out by the runtime. */
export type RouterEffect =
  /** Reads all registrations now. */
  | { readonly type: 'refresh_replicas' }
  /** Queries ledgers for the loads of their replicas; without a request, nothing waits for the reports. */
  | { readonly type: 'ask_loads', readonly request?: LoadsQuery, readonly replicaIds: readonly string[] }
  /** Has `capacity_check_due` follow after a delay. */
  | { readonly type: 'schedule_capacity_check', readonly key: string, readonly attempt: number, readonly inMs: number }
  /** Asks the processes that remember origins which software began a stream. */
  | { readonly type: 'find_origin', readonly key: string, readonly attempt: number, readonly requestId: string }
  /** Has other processes remember which software began a stream; nothing waits for the answers. */
  | { readonly type: 'record_origin', readonly requestId: string, readonly software: SoftwareDigest }
  /** Writes which software may have begun the streams that callers can still resume, for entries that start later. */
  | { readonly type: 'record_resumable_software', readonly software: ResumableSoftware }
  /** Takes units of a customer's allotment from the leader that has the given role. */
  | { readonly type: 'take_units', readonly key: string, readonly attempt: number, readonly role: AllotmentRole, readonly customer: string, readonly units: number }
  /** Requests permits from the permit leader after a delay. */
  | { readonly type: 'ask_permits', readonly replicaId: string, readonly ask: PermitRequest, readonly inMs: number }
  /** Returns units that were taken for a request that never ran. */
  | { readonly type: 'give_back_units', readonly role: AllotmentRole, readonly customer: string, readonly units: number, readonly term?: string }
  /** Books memory at the ledger beside a replica. */
  | { readonly type: 'reserve', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly address: string, readonly bookingId: string, readonly promptTokens: number, readonly hintTokens: number, readonly maxOutputTokens: number, readonly leadMs: number, readonly maxWaitMs: number, readonly onTimeWaitMs: number, readonly priority: number, readonly isContinuation: boolean, readonly readsInPlace: boolean, readonly customerHash?: number, readonly customerWeight?: number }
  /** Requests a place in the queue of a prefill replica from its ledger, which answers when the prompt can be processed soon. */
  | { readonly type: 'queue_prefill', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly bookingId: string, readonly promptTokens: number, readonly leadMs: number, readonly maxWaitMs: number, readonly onTimeWaitMs: number, readonly priority: number, readonly isContinuation: boolean, readonly customerHash?: number, readonly customerWeight?: number }
  /** Announces a prompt that is being processed to the other entries; nothing waits for the answer. */
  | { readonly type: 'announce_prefill', readonly replicaId: string, readonly bookingId: string, readonly promptTokens: number }
  /** Asks the ledger whether booked memory is free by now. */
  | { readonly type: 'confirm', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly bookingId: string, readonly maxWaitMs: number }
  /** Asks a replica itself to hold memory. */
  | { readonly type: 'take_hold', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly address: string, readonly tokens: number, readonly ttlMs: number, readonly timeoutMs: number }
  | { readonly type: 'drop_hold', readonly address: string, readonly holdId: string }
  | { readonly type: 'release', readonly replicaId: string, readonly address: string, readonly bookingId: string }
  | { readonly type: 'send_prefill', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly address: string, readonly deadlineMs: number, readonly customer?: string, readonly urgency?: number, readonly tryTimeoutMs: number }
  /** Checks whether the process of a replica still accepts connections. */
  | { readonly type: 'check_replica', readonly replicaId: string, readonly startedAtMs?: number, readonly address: string }
  /** Publishes this entry's observations of crashes to the other entries. */
  | { readonly type: 'publish_crashes', readonly report: CrashReport }
  | { readonly type: 'free_handle', readonly address: string, readonly handle: string }
  /** Orders a model replica to change its pool. */
  | { readonly type: 'order_stage', readonly replicaId: string, readonly address: string, readonly stage: ReplicaStage, readonly fence: number }
  /** Sends the request to run; with a source, from the result of a prefill. */
  | { readonly type: 'send_run', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly address: string, readonly deadlineMs: number, readonly customer?: string, readonly urgency?: number, readonly source?: string, readonly holdId?: string, readonly lastEventId?: string, readonly isStream: boolean, readonly tryTimeoutMs?: number }
  /** Fails the outstanding send of the request, since the process of its replica has ended. */
  | { readonly type: 'fail_send', readonly key: string }
  /** Aborts the outstanding send of the request, whatever its kind. */
  | { readonly type: 'abort_send', readonly key: string }
  /** Passes the replica's response, which is buffered completely, to the caller. */
  | { readonly type: 'deliver', readonly key: string }
  /** Responds with an error of the router itself. */
  | { readonly type: 'refuse', readonly key: string, readonly status: number, readonly reason: EndReason, readonly retryAfterMs?: number }
  /** Closes the caller's connection without completing the response. */
  | { readonly type: 'cut', readonly key: string }
  | { readonly type: 'set_deadline', readonly key: string, readonly inMs: number }
  /** Dispatches `plain_wake_due` after a delay. */
  | { readonly type: 'wake_plain', readonly service: string, readonly inMs: number }
  /** Removes the request from the runtime; it has ended. */
  | { readonly type: 'forget', readonly key: string }
  | { readonly type: 'log', readonly decision: string, readonly requestId: string, readonly inputs: DecisionInputs }

/** Effect of one type. */
export type RouterEffectOf<T extends RouterEffect['type']> = Extract<RouterEffect, { readonly type: T }>
