/**
 * Effects of the entry: what the runtime carries out.
 *
 * @module
 */
import type { CrashReport } from '../crashes/BendfallRouterCrashReport.js'
import type { PermitAsk } from '../limits/BendfallRouterPermitKeeper.js'
import type { AllotmentRole } from '../allotments/BendfallRouterAllotmentKeeper.js'
import type { ReplicaStage } from '../BendfallRouterTypes.js'

/** Why a request ended without a replica's answer. */
export type EndReason =
  | 'no_config' | 'no_route' | 'unknown_key' | 'keys_unproven' | 'allotment_spent' | 'allotment_unknown' | 'no_replica' | 'no_memory' | 'prefill_busy' | 'too_large' | 'stopping'
  | 'deadline' | 'replica_refused' | 'replica_failed' | 'budget' | 'caller_left' | 'crashes_replicas' | 'replicas_back_off' | 'replicas_limited'

/** Values of a log line. */
export type DecisionInputs = Readonly<Record<string, string | number | boolean | undefined>>

/** A request that waits for loads. */
export interface LoadsWanted {
  readonly key: string
  readonly attempt: number
  /** Answers later than this are not waited for. */
  readonly maxWaitMs: number
}

/** An effect. */
export type RouterEffect =
  /** Reads all registrations now. */
  | { readonly type: 'refresh_replicas' }
  /** Asks ledgers for the loads of their replicas; without a request nobody waits for them. */
  | { readonly type: 'ask_loads', readonly request?: LoadsWanted, readonly replicaIds: readonly string[] }
  /** Takes units of a customer's allotment at the keeper that has a role. */
  | { readonly type: 'take_units', readonly key: string, readonly attempt: number, readonly role: AllotmentRole, readonly customer: string, readonly units: number }
  /** Asks the keeper of limits for permits, after a time. */
  | { readonly type: 'ask_permits', readonly replicaId: string, readonly ask: PermitAsk, readonly inMs: number }
  /** Gives units back that were taken for a request that never ran. */
  | { readonly type: 'give_back_units', readonly role: AllotmentRole, readonly customer: string, readonly units: number }
  /** Books memory at the ledger beside a replica. */
  | { readonly type: 'reserve', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly address: string, readonly bookingId: string, readonly promptTokens: number, readonly hintTokens: number, readonly maxOutputTokens: number, readonly leadMs: number, readonly maxWaitMs: number, readonly priority: number, readonly targetMs: number, readonly readsInPlace: boolean }
  /** Asks the ledger beside a prefill replica for a place in its queue; answered when the prompt may be read soon. */
  | { readonly type: 'queue_prefill', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly bookingId: string, readonly promptTokens: number, readonly leadMs: number, readonly maxWaitMs: number, readonly priority: number, readonly targetMs: number }
  /** Shows the other entries a prompt that is read; nobody waits for the answer. */
  | { readonly type: 'announce_prefill', readonly replicaId: string, readonly bookingId: string, readonly promptTokens: number }
  /** Asks the ledger whether booked memory is free by now. */
  | { readonly type: 'confirm', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly bookingId: string, readonly maxWaitMs: number }
  /** Asks a replica itself to hold memory. */
  | { readonly type: 'take_hold', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly address: string, readonly tokens: number, readonly ttlMs: number, readonly timeoutMs: number }
  | { readonly type: 'drop_hold', readonly address: string, readonly holdId: string }
  | { readonly type: 'release', readonly replicaId: string, readonly address: string, readonly bookingId: string }
  | { readonly type: 'send_prefill', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly address: string, readonly deadlineMs: number, readonly customer?: string, readonly tryTimeoutMs: number }
  /** Finds out whether the process of a replica still takes connections. */
  | { readonly type: 'check_replica', readonly replicaId: string, readonly startedAtMs?: number, readonly address: string }
  /** Tells the other entries what this one has seen of crashes. */
  | { readonly type: 'publish_crashes', readonly report: CrashReport }
  | { readonly type: 'free_handle', readonly address: string, readonly handle: string }
  /** Tells a model replica to change its pool. */
  | { readonly type: 'order_stage', readonly replicaId: string, readonly address: string, readonly stage: ReplicaStage, readonly fence: number }
  /** Sends the request to run; with a source, from the result of a prefill. */
  | { readonly type: 'send_run', readonly key: string, readonly attempt: number, readonly replicaId: string, readonly address: string, readonly deadlineMs: number, readonly customer?: string, readonly source?: string, readonly holdId?: string, readonly lastEventId?: string, readonly isStream: boolean, readonly tryTimeoutMs?: number }
  /** What was sent for the request has no answer any more: its replica's process ended. */
  | { readonly type: 'fail_send', readonly key: string }
  /** Gives up what was sent for the request, whatever it is. */
  | { readonly type: 'abort_send', readonly key: string }
  /** Passes the replica's answer, which is held whole, to the caller. */
  | { readonly type: 'deliver', readonly key: string }
  /** Answers in the router's own name. */
  | { readonly type: 'refuse', readonly key: string, readonly status: number, readonly reason: EndReason, readonly retryAfterMs?: number }
  /** Closes the caller's connection without completing its answer. */
  | { readonly type: 'cut', readonly key: string }
  | { readonly type: 'set_deadline', readonly key: string, readonly inMs: number }
  /** The request is over; the runtime forgets it. */
  | { readonly type: 'forget', readonly key: string }
  | { readonly type: 'log', readonly decision: string, readonly requestId: string, readonly inputs: DecisionInputs }

/** Effect of one type. */
export type RouterEffectOf<T extends RouterEffect['type']> = Extract<RouterEffect, { readonly type: T }>
