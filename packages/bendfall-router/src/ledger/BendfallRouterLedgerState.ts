/**
 * State, events and effects of the ledger.
 *
 * @module
 */
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import type { ForecastError } from '../BendfallRouterForecastError.js'
import type { OnTimeLoad } from '../BendfallRouterOnTimeLoad.js'
import type { RouterDecisions } from '../BendfallRouterDecisions.js'
import type { LedgerFloor } from './BendfallRouterLedgerFloor.js'
import type { LedgerShares } from './BendfallRouterLedgerShares.js'
import type { UrgentUse } from './BendfallRouterLedgerUrgentReserve.js'
import type { OutputModel } from './BendfallRouterOutputModel.js'
import type { OutputRate } from './BendfallRouterOutputRate.js'

/** A running request in a report of the replica. */
export interface ReportedRun {
  readonly requestId: string
  readonly tokensInMemory: number
  readonly eventsMade: number
}

/** Status report of the replica. */
export interface ReplicaReport {
  /** Start of the replica's process in Unix time; absent if the platform does not report it. */
  readonly startedAtMs?: number
  readonly stage: ReplicaStage
  /** Memory that is occupied and can't be evicted. */
  readonly usedTokens: number
  readonly capacityTokens: number
  readonly queued: number
  readonly active: number
  readonly isSwitching: boolean
  /** Whether the replica reports that it is shutting down; absent if it does not report it. */
  readonly isLeaving?: boolean
  /** Requests per second that the replica accepts from all entries together; absent if it advertises no limit. */
  readonly limitPerS?: number
  readonly runs: readonly ReportedRun[]
}

/** Request of an entry to book memory. */
export interface BookingRequest {
  readonly bookingId: string
  readonly requestId: string
  readonly promptTokens: number
  /** The caller's estimate of the output, or the maximum output if it gave none. */
  readonly hintTokens: number
  readonly maxOutputTokens: number
  /** Time between the grant and the first use of the memory. */
  readonly leadMs: number
  /** Time until which a grant is of use to the caller. */
  readonly maxWaitMs: number
  /** Time until which a grant lets the response meet the latency target of its route; 0 if it can't. */
  readonly onTimeWaitMs: number
  readonly priority: number
  /** Whether it continues a stream, which few replicas may be able to do. */
  readonly isContinuation: boolean
  /** Whether the decode replica prefills the prompt itself. */
  readonly readsInPlace: boolean
  /** Hash of the customer's name, by which the ledger tells customers apart; absent without customers. */
  readonly customerHash?: number
  /** Share of the customer relative to the others; absent: that of a customer without an allotment. */
  readonly customerWeight?: number
}

/** A booking request that waits for memory. */
export interface PendingBooking extends BookingRequest {
  readonly askedAtMs: number
  /** Wait that was forecast when it asked. */
  readonly forecastMs: number
  /** Whether it was not expected to meet its latency target when it asked. */
  isExpectedLate?: boolean
  /** Requests behind it that were granted before it. */
  passedBy?: number
}

/** A granted booking of memory. */
export interface Booking extends BookingRequest {
  readonly grantedAtMs: number
  /** For a slot at a prefill replica: when it expires unless its prompt has been announced. */
  readonly slotUntilMs?: number
  /** Set while the entry waits for confirmation that the memory is free. */
  confirm?: { readonly askedAtMs: number, readonly untilMs: number }
  /** When the entry received the confirmation that the memory is free. */
  confirmedAtMs?: number
  /** When the replica first reported the run. */
  seenAtMs?: number
}

/** State of the ledger. */
export interface LedgerState {
  readonly decisions: RouterDecisions
  report?: ReplicaReport
  isHealthy: boolean
  readonly bookings: Map<string, Booking>
  waiting: PendingBooking[]
  readonly floor: LedgerFloor
  readonly urgentUse: UrgentUse
  readonly shares: LedgerShares
  /** Load of the requests that were expected to meet their targets when they asked, as a share of the memory. */
  readonly onTimeLoad: OnTimeLoad
  /** Observed error of the waits that were forecast. */
  readonly waitError: ForecastError
  /** Model of output lengths, learned from runs that ended. */
  output: OutputModel
  /** Output rate of one request, learned from the growth of runs. */
  tokensPerMs: number
  /** The same averaged over time, as reported to entries; absent before the first run. */
  outputRate?: OutputRate
  lastRuns: ReadonlyMap<string, ReportedRun>
  lastReportAtMs: number
}

/** Events of the ledger. */
export type LedgerEvent = { readonly atMs: number } & (
  /** `askedAtMs` is when the report was requested; its content is not older. */
  | { readonly type: 'report_read', readonly report: ReplicaReport, readonly askedAtMs: number }
  | { readonly type: 'report_failed' }
  | { readonly type: 'memory_asked', readonly request: BookingRequest }
  | { readonly type: 'ask_withdrawn', readonly bookingId: string }
  | { readonly type: 'confirm_asked', readonly bookingId: string, readonly maxWaitMs: number }
  | { readonly type: 'released', readonly bookingId: string }
  | { readonly type: 'time_passed' }
)

/** Effects of the ledger. */
export type LedgerEffect =
  | { readonly type: 'answer', readonly bookingId: string, readonly isGranted: boolean, readonly retryAfterMs: number }
  /** The replica does not respond to its ledger, so that nothing can be booked there. */
  | { readonly type: 'replica_lost', readonly bookingId: string }
  | { readonly type: 'confirmed', readonly bookingId: string, readonly isFree: boolean }
  /** A confirmation waits for a fresh report. */
  | { readonly type: 'read_report' }
