/**
 * State, events and effects of the ledger.
 *
 * @module
 */
import type { ReplicaStage } from '../BendfallRouterTypes.js'
import type { RouterDecisions } from '../BendfallRouterDecisions.js'
import type { OutputModel } from './BendfallRouterOutputModel.js'

/** A request that the replica reports. */
export interface ReportedRun {
  readonly requestId: string
  readonly tokensInMemory: number
  readonly eventsMade: number
}

/** What the replica reports of itself. */
export interface ReplicaReport {
  /** Start of the replica's process, Unix time; absent where the platform does not tell it. */
  readonly startedAtMs?: number
  readonly stage: ReplicaStage
  /** Memory that is occupied and can't yield. */
  readonly usedTokens: number
  readonly capacityTokens: number
  readonly queued: number
  readonly active: number
  readonly isSwitching: boolean
  /** Whether the replica says that it leaves; absent: it does not tell. */
  readonly isLeaving?: boolean
  /** Requests a second that the replica takes from all entries together; absent: it names no limit. */
  readonly limitPerS?: number
  readonly runs: readonly ReportedRun[]
}

/** A booking that an entry asks for. */
export interface MemoryAsk {
  readonly bookingId: string
  readonly requestId: string
  readonly promptTokens: number
  /** The caller's estimate of the answer, or the longest answer when it gave none. */
  readonly hintTokens: number
  readonly maxOutputTokens: number
  /** Between the grant and the first use of the memory. */
  readonly leadMs: number
  readonly maxWaitMs: number
  readonly priority: number
  /** From the ask until an answer is on time. */
  readonly targetMs: number
  /** Whether the decode replica reads the prompt itself. */
  readonly readsInPlace: boolean
}

/** An ask that waits for memory. */
export interface Waiting extends MemoryAsk {
  readonly askedAtMs: number
}

/** Memory that was granted. */
export interface Booking extends MemoryAsk {
  readonly grantedAtMs: number
  /** A slot at a prefill replica that lapses then unless its prompt is announced. */
  readonly slotUntilMs?: number
  /** Set while its entry waits for the memory to be free. */
  confirm?: { readonly askedAtMs: number, readonly untilMs: number }
  /** When its entry was told that the memory is free. */
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
  waiting: Waiting[]
  /** Since when some that can be on time have waited all the time; absent while none waits. */
  crowdedSinceMs?: number
  /** When one that can be on time last waited or was refused. */
  lastWaitAtMs: number
  /** Length of answers, learned from runs that ended. */
  output: OutputModel
  /** Output of one request, learned from the growth of runs. */
  tokensPerMs: number
  lastRuns: ReadonlyMap<string, ReportedRun>
  lastReportAtMs: number
}

/** Events of the ledger. */
export type LedgerEvent = { readonly atMs: number } & (
  /** @param askedAtMs - when the replica was asked; what it tells is not older */
  | { readonly type: 'report_read', readonly report: ReplicaReport, readonly askedAtMs: number }
  | { readonly type: 'report_failed' }
  | { readonly type: 'memory_asked', readonly ask: MemoryAsk }
  | { readonly type: 'ask_withdrawn', readonly bookingId: string }
  | { readonly type: 'confirm_asked', readonly bookingId: string, readonly maxWaitMs: number }
  | { readonly type: 'released', readonly bookingId: string }
  | { readonly type: 'time_passed' }
)

/** Effects of the ledger. */
export type LedgerEffect =
  | { readonly type: 'answer', readonly bookingId: string, readonly isGranted: boolean, readonly retryAfterMs: number }
  /** The replica does not answer its ledger: nothing can be booked there. */
  | { readonly type: 'replica_lost', readonly bookingId: string }
  | { readonly type: 'confirmed', readonly bookingId: string, readonly isFree: boolean }
  /** A confirmation waits for a fresh report. */
  | { readonly type: 'read_report' }
