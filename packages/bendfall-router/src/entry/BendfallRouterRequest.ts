/**
 * State of one request, from its arrival to its final answer.
 *
 * @module
 */
import type { AllotmentRole } from '../allotments/BendfallRouterAllotmentKeeper.js'
import type { Customer, Prompt, Route } from '../BendfallRouterTypes.js'
import type { ReplicaProcess } from '../crashes/BendfallRouterCrashRecords.js'
import type { SendAccount } from './BendfallRouterSend.js'

/** Step of the path that a request is in. */
export type Phase = 'allotment' | 'permit' | 'plain' | 'loads' | 'queue' | 'reserve' | 'hold' | 'prefill' | 'confirm' | 'run' | 'ended'

/** Result of a prefill, kept at its replica for a short time. */
export interface PrefillResult {
  readonly replicaId: string
  /** Start of the process that holds it; see {@link Replica}. */
  readonly startedAtMs?: number
  /** `ip:port` of the replica that holds it. */
  readonly address: string
  readonly handle: string
  /** When the replica lets it go. */
  readonly expiresAtMs: number
}

/**
 * Where a prompt is read: at a prefill replica, or at the decode replica, because that
 * is sooner (`in_place`) or because no other way is left (`in_place_only`).
 */
export type Reading = 'apart' | 'in_place' | 'in_place_only'

/** Step that needs loads of replicas. */
export type LoadStep = 'queue' | 'reserve' | 'prefill'

/** Step that waits until the registrations are known again. */
export type ParkedStep = 'allotment' | 'plain' | 'queue' | 'reserve' | 'prefill' | 'confirm' | 'run'

/** Step that may wait for a permit. */
export type PermitStep = 'plain' | 'queue' | 'reserve'

/** Permit that a run takes with it to a replica which names a limit. */
export interface CarriedPermit {
  /** Name of the replica's process. */
  readonly processName: string
  readonly takenAtMs: number
}

/** Place in the queue of a prefill replica. */
export interface PrefillSlot {
  readonly replicaId: string
  readonly bookingId: string
}

/** Memory that a replica holds for a request. */
export interface ReplicaHold {
  readonly replicaId: string
  /** `ip:port` of the replica. */
  readonly address: string
  readonly holdId: string
}

/** Units that a request took of its customer's allotment. */
export interface TakenUnits {
  readonly role: AllotmentRole
  readonly customer: string
  readonly units: number
}

/** A request from its arrival to its final answer. */
export interface RequestState {
  /** Unique within the process. */
  readonly key: string
  /** The caller's id, sent on unchanged. */
  readonly requestId: string
  /** Equal for requests that ask for the same. */
  readonly fingerprint: string
  readonly route: Route
  readonly service: string
  /** Absent where none is known: the route is open, or the deployment has no customers. */
  readonly customer?: Customer
  /** Smaller is served first: the customer's, or else the route's. */
  readonly priority: number
  readonly prompt?: Prompt
  readonly arrivedAtMs: number
  /** When the caller or the route stops waiting, whichever comes first. */
  readonly deadlineAtMs: number
  readonly targetAtMs: number
  phase: Phase
  /** Keeper that is asked for units of the customer's allotment. */
  allotmentRole: AllotmentRole
  /** Absent before they were taken, and for customers without an allotment. */
  taken?: TakenUnits
  /** Grows with every step that waits for an answer, so that answers to earlier ones are dropped. */
  attempt: number
  /** When the loads of some replicas were last asked for it. */
  loadsAskedAtMs: number
  /** Step that follows once they are answered. */
  afterLoads?: LoadStep
  /** Step that waits until the registrations are known again. */
  parked?: ParkedStep
  /** Step that follows once a permit is there. */
  permitStep?: PermitStep
  /** Longest that it waits for permits. */
  permitWaitUntilMs?: number
  permit?: CarriedPermit
  /** Replicas that the request was sent to and that may have run it. */
  runs: number
  /** Sends to replicas, of prompts and of runs. */
  sends: number
  /** How they were paid. */
  readonly account: SendAccount
  /** Replicas that failed or refused this request. */
  readonly excluded: Set<string>
  /** Refusals of the ledgers that were asked since the last grant. */
  refusals: number
  /** Shortest wait told by a ledger that refused. */
  retryAfterMs?: number
  /** Replica whose memory is booked or asked for. */
  reservedAt?: string
  /** Booking at that replica's ledger. */
  bookingId?: string
  /** Slot at a prefill replica that the request waits for or has. */
  prefillSlot?: PrefillSlot
  /** Memory that the replica itself holds, while its ledger is away. */
  hold?: ReplicaHold
  /** Replica that reads the prompt now. */
  prefillAt?: string
  prefillSentAtMs?: number
  /** Expected time of that prefill. */
  prefillLeadMs?: number
  /** Booking that shows the prompt to other entries while it is read. */
  prefillBookingId?: string
  /** Whether no other prompt was known at the replica when this one was sent. */
  isPrefillAlone?: boolean
  reading: Reading
  /** Whether a decode replica has refused to read this prompt itself. */
  isReadingRefused: boolean
  handle?: PrefillResult
  /** Result that went with the last send. */
  triedHandle?: PrefillResult
  /** Process of a replica that the last send went to. */
  sentTo?: ReplicaProcess
  /** Replica that the request was sent to run at. */
  runAt?: string
  runSentAtMs?: number
  /** Since when that run answers; absent until it does. */
  answersSinceMs?: number
  /** Whether bytes of an answer went to the caller. */
  isCommitted: boolean
  /** Whether the first byte of the answer was late. */
  isLate: boolean
  /** When the answer broke off that is to be resumed. */
  brokenOffAtMs?: number
  /** Last event that the caller has got whole. */
  lastEventId?: string
}
