/**
 * Events of the entry.
 *
 * @module
 */
import type { CrashReport } from '../crashes/BendfallRouterCrashReport.js'
import type { AllotmentRole, UnitsOutcome } from '../allotments/BendfallRouterAllotmentKeeper.js'
import type { NamedLimit, PermitAsk, PermitOutcome } from '../limits/BendfallRouterPermitKeeper.js'
import type { ReplicaNotice } from '../notices/BendfallRouterNotices.js'
import type { Prompt, Replica, ReplicaLoad, RouterConfig } from '../BendfallRouterTypes.js'

/** What a caller asks for. */
export interface Arrival {
  readonly key: string
  readonly requestId: string
  readonly host: string
  /** Path with its query. */
  readonly path: string
  /** How long the caller waits; absent when it did not say. */
  readonly deadlineMs?: number
  readonly prompt?: Prompt
  /** Of the key that came with the request; absent when none came, or more than one. */
  readonly keyDigest?: string
  /** Last event that the caller has from an earlier connection. */
  readonly lastEventId?: string
  /** Equal for requests that ask for the same, whoever takes them in. */
  readonly fingerprint: string
}

/** Whether the process of a replica still takes connections. */
export type ProcessCheck = 'ended' | 'alive' | 'unanswered'

/** How a send to a replica ended without a whole answer. */
export type SendFailure =
  /** The replica said that it did not run the request. */
  | 'not_run'
  /** Another replica has the address now; it did not run the request. */
  | 'wrong_replica'
  /** No byte reached the replica. */
  | 'not_sent'
  /** The request may have run. */
  | 'unknown'
  /** The same, and its connection ended before the answer was whole: its replica may have crashed. */
  | 'connection_lost'

/** Outcome of the call that reads a prompt. */
export type PrefillOutcome =
  | { readonly type: 'read', readonly handle: string }
  | { readonly type: 'failed', readonly failure: SendFailure }

/** Outcome of a call to a ledger. */
export type ReserveOutcome =
  | { readonly type: 'granted' }
  | { readonly type: 'refused', readonly retryAfterMs: number }
  /** The replica beside the ledger is gone. */
  | { readonly type: 'replica_lost' }
  | { readonly type: 'unreachable' }

/** Answer of a replica that was asked to hold memory. */
export type HoldOutcome =
  | { readonly type: 'held', readonly holdId: string }
  /** It has no room. */
  | { readonly type: 'refused' }
  /** It holds memory for nobody. */
  | { readonly type: 'not_offered' }
  | { readonly type: 'unanswered' }

/** Whether booked memory is free at the replica. */
export type ConfirmOutcome = 'free' | 'occupied' | 'unreachable'

/** What became of an order: `unknown` may still be carried out, `refused` never will be. */
export type OrderOutcome = 'accepted' | 'holds_already' | 'refused' | 'fenced' | 'unknown'

/** When an event happened. */
export interface EventTime {
  /** Monotonic time. */
  readonly atMs: number
  /** Time for which the machine may have been suspended since the last event: `atMs` does not count it. */
  readonly aheadMs?: number
}

/** An event with its time. */
export type RouterEvent = EventTime & (
  | { readonly type: 'config_learned', readonly config: RouterConfig }
  /** The configuration that is known was the newest at a time: that of the question whose answer told it. */
  | { readonly type: 'config_proven', readonly provenAtMs: number }
  | { readonly type: 'replicas_changed', readonly present: readonly Replica[], readonly gone: readonly string[] }
  /** Registrations that are missing after an outage: they lapsed in it or were removed. */
  | { readonly type: 'replicas_missing', readonly replicaIds: readonly string[] }
  /** The service answered: all changes of registrations up to then are known. */
  | { readonly type: 'replicas_current' }
  /** The registrations were read again as asked for, or could not be. */
  | { readonly type: 'replicas_refreshed' }
  | { readonly type: 'time_passed' }
  | { readonly type: 'load_learned', readonly load: ReplicaLoad }
  | { readonly type: 'ledger_lost', readonly replicaId: string }
  /** The ledgers that were asked for a request have answered, or took too long. */
  | { readonly type: 'loads_answered', readonly key: string, readonly attempt: number }
  | { readonly type: 'request_arrived', readonly arrival: Arrival }
  | { readonly type: 'units_answered', readonly key: string, readonly attempt: number, readonly role: AllotmentRole, readonly customer: string, readonly units: number, readonly outcome: UnitsOutcome }
  | { readonly type: 'prefill_queue_answered', readonly key: string, readonly attempt: number, readonly outcome: ReserveOutcome }
  | { readonly type: 'reserve_answered', readonly key: string, readonly attempt: number, readonly outcome: ReserveOutcome }
  | { readonly type: 'hold_answered', readonly key: string, readonly attempt: number, readonly outcome: HoldOutcome }
  | { readonly type: 'confirm_answered', readonly key: string, readonly attempt: number, readonly outcome: ConfirmOutcome }
  | { readonly type: 'prefill_answered', readonly key: string, readonly attempt: number, readonly outcome: PrefillOutcome }
  /** Bytes of the answer go to the caller from now on. */
  | { readonly type: 'answer_started', readonly key: string, readonly attempt: number }
  /** The whole answer is here; `status` is the replica's. */
  | { readonly type: 'answer_complete', readonly key: string, readonly attempt: number, readonly status: number, readonly outputEvents: number, readonly longestGapMs?: number }
  | { readonly type: 'run_failed', readonly key: string, readonly attempt: number, readonly failure: SendFailure, readonly lastEventId?: string }
  | { readonly type: 'caller_left', readonly key: string }
  | { readonly type: 'deadline_passed', readonly key: string }
  | { readonly type: 'try_timed_out', readonly key: string, readonly attempt: number }
  /** A tick of the balance of pools; `fence` is there while this process holds the lease on them. */
  | { readonly type: 'balance_due', readonly fence?: number }
  /** A replica said something of itself in the head of an answer, whatever was asked; `sentAtMs`: when it was. */
  | { readonly type: 'replica_spoke', readonly replicaId: string, readonly notice: ReplicaNotice, readonly sentAtMs?: number }
  /** Limits that other entries have heard of. */
  | { readonly type: 'limits_learned', readonly limits: readonly NamedLimit[] }
  /** Answer of the keeper of limits, or none. */
  | { readonly type: 'permits_answered', readonly replicaId: string, readonly ask: PermitAsk, readonly outcome: PermitOutcome }
  /** Answer to a check of a replica on which a connection was lost. */
  | { readonly type: 'replica_checked', readonly replicaId: string, readonly startedAtMs?: number, readonly outcome: ProcessCheck }
  /** What an entry has seen of crashes, this one before it started again among them. */
  | { readonly type: 'crash_report_learned', readonly reporter: string, readonly report: CrashReport }
  /** What this entry told of crashes may be lost. */
  | { readonly type: 'crashes_untold' }
  /** An operator has all crashes forgotten. */
  | { readonly type: 'crashes_cleared' }
  | { readonly type: 'order_answered', readonly replicaId: string, readonly outcome: OrderOutcome }
  /** The process is to stop; it is killed after `graceMs`. */
  | { readonly type: 'stop_asked', readonly graceMs: number }
)

/** Event of one type. */
export type RouterEventOf<T extends RouterEvent['type']> = Extract<RouterEvent, { readonly type: T }>
