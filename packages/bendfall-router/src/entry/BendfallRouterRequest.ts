/**
 * State of one request from its arrival to its final response.
 *
 * @module
 */
import type { AllotmentRole } from '../allotments/BendfallRouterAllotmentLeader.js'
import type { Customer, Prompt, Route } from '../BendfallRouterTypes.js'
import type { ReplicaProcess } from '../crashes/BendfallRouterCrashRecords.js'
import type { SoftwareDigest } from '../streams/BendfallRouterStreamOrigins.js'
import type { SendAccount } from './BendfallRouterSend.js'
import type { WaitTimes } from './BendfallRouterWaitTimes.js'

/** Step that a request is in. */
export type Phase = 'origin' | 'allotment' | 'permit' | 'place' | 'plain' | 'loads' | 'queue' | 'reserve' | 'hold' | 'prefill' | 'confirm' | 'run' | 'ended'

/** Result of a prefill, which its replica keeps for a short time. */
export interface PrefillResult {
  readonly replicaId: string
  /** Start time of the process that holds it; see {@link Replica}. Absent if that one had not registered. */
  readonly startedAtMs?: number
  /** `ip:port` of the replica that holds it. */
  readonly address: string
  readonly handle: string
  /** When the replica discards it. */
  readonly expiresAtMs: number
}

/** The process that is registered for a replica when a request is sent to it. */
export interface SendTarget extends ReplicaProcess {
  readonly sentAtMs: number
}

/**
 * Where a prompt is prefilled: on a prefill replica (`apart`), or on the decode replica because that
 * is faster (`in_place`) or because no prefill replica can be used (`in_place_only`).
 */
export type PrefillPlacement = 'apart' | 'in_place' | 'in_place_only'

/** Step that waits for loads of replicas. */
export type LoadStep = 'queue' | 'reserve' | 'prefill'

/** Step that may be postponed until the registrations have been read again. */
export type ParkedStep = 'origin' | 'allotment' | 'plain' | 'queue' | 'reserve' | 'prefill' | 'confirm' | 'run'

/** Step that may wait for a permit. */
export type PermitStep = 'plain' | 'queue' | 'reserve'

/** Permit acquired in advance for a run on a replica with a rate limit. */
export interface RunPermit {
  /** Name of the process that the permit is for. */
  readonly processName: string
  readonly acquiredAtMs: number
}

/** Slot in the queue of a prefill replica. */
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

/** Units that a request consumed from its customer's allotment. */
export interface TakenUnits {
  readonly role: AllotmentRole
  readonly customer: string
  readonly units: number
  /** Term of the leader that granted them; absent if it runs an earlier version. */
  readonly term?: string
}

/** A request from its arrival to its final response. */
export interface RequestState {
  /** Unique within the process. */
  readonly key: string
  /** Id set by the caller, forwarded unchanged. */
  readonly requestId: string
  /** Equal for requests with the same content. */
  readonly fingerprint: string
  readonly route: Route
  /** Service that runs it; for a stream that is resumed, the one that began it. */
  service: string
  /** Absent where none is known: the route is open, or the deployment has no customers. */
  readonly customer?: Customer
  /** Lower values are served first. Taken from the customer, or else from the route. */
  readonly priority: number
  readonly prompt?: Prompt
  readonly arrivedAtMs: number
  /** Deadline of the caller or of the route, whichever is earlier. */
  readonly deadlineAtMs: number
  phase: Phase
  /** Role of the leader that units of the customer's allotment are requested from. */
  allotmentRole: AllotmentRole
  /** Absent until units are consumed, and for customers without an allotment. */
  taken?: TakenUnits
  /** Incremented by each step that waits for a response, so that responses to earlier steps are dropped. */
  attempt: number
  /** When loads of replicas were last requested for it. */
  loadsRequestedAtMs: number
  /** Rounds of queries to further ledgers, by pool. */
  readonly widenings: Record<'prefill' | 'decode', number>
  /** Replicas outside the subset of this entry that the request may use. */
  readonly spares: Set<string>
  waitTimes: WaitTimes
  /** Checks for capacity elsewhere while it waited at a ledger, and the moves that followed. */
  capacityChecks: number
  capacityMoves: number
  /** Step to start once the loads have arrived. */
  stepAfterLoads?: LoadStep
  /** Step to start once the registrations have been read again. */
  parkedStep?: ParkedStep
  /** Step to retry once permits have arrived. */
  permitStep?: PermitStep
  permit?: RunPermit
  /** Whether it has waited for a place at a plain replica and may start before the others that wait. */
  hasPlainTurn?: boolean
  /** Whether a plain replica refused it. */
  isRefused?: boolean
  /** Sends whose replica may have run the request. */
  runs: number
  /** Sends to replicas, both prefills and runs. */
  sends: number
  /** What those sends cost the retry budget. */
  readonly account: SendAccount
  /** Replicas that failed or refused this request. */
  readonly excluded: Set<string>
  /** Replicas that refused memory for the request. */
  refusals: number
  /** Shortest wait that a refusing ledger returned. */
  retryAfterMs?: number
  /** Replica at which memory is booked or requested. */
  reservedReplicaId?: string
  /** Id of the booking in the ledger of that replica. */
  bookingId?: string
  /** Prefill slot that the request waits for or has. */
  prefillSlot?: PrefillSlot
  /** Memory that the replica itself holds while its ledger is unavailable. */
  hold?: ReplicaHold
  /** Replica on which the prefill is in progress. */
  prefillReplicaId?: string
  prefillSentAtMs?: number
  /** Predicted duration of that prefill. */
  prefillLeadMs?: number
  /** Booking that makes the prefill visible to other entries while it is in progress. */
  prefillBookingId?: string
  /** Whether the replica had no known backlog when the prompt was sent. */
  isPrefillAlone?: boolean
  reading: PrefillPlacement
  /** Whether in-place prefill was tried and no decode replica could start it at once. */
  isInPlaceRefused: boolean
  handle?: PrefillResult
  /** Prefill result used by the last send. */
  sentHandle?: PrefillResult
  /** Where the last send went to. */
  sentTo?: SendTarget
  /** Software of that replica. */
  sentSoftware?: SoftwareDigest
  /** Software that made the first event of the stream, and that all others must come from; absent before the first event. */
  requiredSoftware?: SoftwareDigest
  /** Id of the request that brought the first event, where the caller resumes a stream. */
  readonly resumedRequestId?: string
  /** Processes that might know the origin of the resumed stream and did not answer. */
  silentOriginHolders?: number
  /** Whether the registrations were read again to infer that origin. */
  isOriginRefreshed?: boolean
  /** Replica that the request was sent to for its run. */
  runReplicaId?: string
  runSentAtMs?: number
  /** Attempt of a plain call that goes on after its timeout, since no other replica has a place. */
  overtimeAttempt?: number
  /** When the response of that run started; absent before. */
  answerStartedAtMs?: number
  /** Whether that response comes from a process that had ended, or stopped listening, before it started. */
  isAnsweredByFormer?: boolean
  /** Whether bytes of a response were sent to the caller. */
  isCommitted: boolean
  /** Whether the first byte of the response came after the latency target. */
  isLate: boolean
  /** When the response that is to be resumed was interrupted. */
  interruptedAtMs?: number
  /** Id of the last event that the caller received completely. */
  lastEventId?: string
}
