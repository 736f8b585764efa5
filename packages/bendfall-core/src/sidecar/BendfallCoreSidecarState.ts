/**
 * State of the sidecar role: what one upstream has been promised, what it
 * holds and what it is told to hold.
 *
 * @module
 */
import { Map } from 'immutable'
import type { EngineOrder } from '../BendfallCoreEffects.js'
import type { CallAsk, DecodeAsk, PrefillAsk, ReserveAsk } from '../BendfallCoreMessages.js'
import type { RefusalReason, RequestId, TrafficClass } from '../BendfallCoreTypes.js'
import { createRecent } from './BendfallCoreSidecarRecent.js'
import type { Recent } from './BendfallCoreSidecarRecent.js'

/** Names an attempt, see `attemptKey`. */
export type AttemptKey = string

/**
 * Life of a reservation: promised without memory, memory held, KV cache being
 * fetched, output being made. The engine has a part in the last two.
 */
export type ReservationPhase = 'queued' | 'held' | 'importing' | 'decoding'

/** A granted reservation of decode memory. */
export interface Reservation {
  readonly ask: ReserveAsk
  readonly fencingToken: number
  readonly phase: ReservationPhase
  /** False while the entry still waits for the answer to its ask. */
  readonly isGranted: boolean
  /** When the KV cache is expected: once it is made and the memory is free. */
  readonly expectedAtMs: number
  /** Until when memory is of use, as asked. */
  readonly deadlineAtMs: number
  /** When the memory was taken; 0 while queued. */
  readonly heldAtMs: number
  /** Counts while the entry has no stream open for the reservation. */
  readonly leaseUntilMs: number
  /** Set once the entry asked for the decode. */
  readonly decodeAsk?: DecodeAsk
  /** When the source drops the KV cache; 0 until the decode was asked for. */
  readonly evictsAtMs: number
  readonly transferredBytes: number
  /** When the transfer began, last moved or was last looked at. */
  readonly lookedAtMs: number
  /** Time without progress in which this process ran. */
  readonly idleMs: number
  /** Tokens of the whole output that exist so far. */
  readonly tokenCount: number
  /** When the last tokens came; 0 before the first. */
  readonly tokensAtMs: number
}

/** Memory of an attempt that ended here, until the engine confirms. */
export interface Releasing {
  readonly requestId: RequestId
  readonly attempt: number
  readonly trafficClass: TrafficClass
  readonly kvBytes: number
  readonly heldAtMs: number
}

/** A reservation that waits for memory. */
export interface QueueEntry {
  readonly requestId: RequestId
  readonly kvBytes: number
  /** Until when the memory is of use. */
  readonly deadlineAtMs: number
  /** True once its KV cache exists. */
  readonly isMade: boolean
}

/** Waiting reservations of each class, earliest deadline first. */
export type ReservationQueue = Readonly<Record<TrafficClass, readonly QueueEntry[]>>

/** Highest bytes held, over the present and the former window. */
export interface PeakWindow {
  readonly presentBytes: number
  readonly formerBytes: number
  readonly sinceMs: number
}

/** Account of the decode memory, and what was learned of its use. */
export interface DecodeMemory {
  /** Memory of the engine as last reported; 0 when not known. */
  readonly totalKvBytes: number
  /** Held by reservations and by attempts that the engine still has to free. */
  readonly heldKvBytes: Readonly<Record<TrafficClass, number>>
  /** Seen at the engine beyond what the ledger accounts for. */
  readonly foreignKvBytes: number
  /** Held beyond the total since the engine reported a smaller one. */
  readonly excessKvBytes: number
  readonly peak: PeakWindow
  /** Bytes of interactive requests that overtook the first waiting summary. */
  readonly overtakenKvBytes: number
  /** Largest interactive reservation of late, and when one was last asked for. */
  readonly interactiveKvBytes: number
  readonly interactiveAtMs: number
  /** Mean size of a reservation; 0 when not known. */
  readonly typicalKvBytes: number
  /** Mean time for which a reservation holds its memory; 0 when not known. */
  readonly meanHoldMs: number
  /** Mean part of the longest output that is made. */
  readonly outputShare: number
  /** Time of a decode step, as measured, else as reported; 0 when not known. */
  readonly stepMs: number
  /** First time that was not yet told to a refused client to come back at. */
  readonly retryFreeAtMs: number
  /** When the reservations that wait were last looked at for a grant. */
  readonly grantsSeenAtMs: number
  readonly lastFencingToken: number
}

/** Highest attempt of a request that ended here, and what its late asks are told. */
export interface EndedAttempt {
  readonly attempt: number
  readonly reason: RefusalReason
}

/** A prefill that the engine was given. */
export interface Prefill {
  readonly ask: PrefillAsk
  readonly startedAtMs: number
  /** True from the cancel until the engine confirmed or ended. */
  readonly isCancelled: boolean
}

/** A prefill that was admitted and not yet given to the engine. */
export interface WaitingPrefill {
  readonly ask: PrefillAsk
  readonly notBeforeAtMs: number
  /** Time by which the result is of use. */
  readonly dueAtMs: number
}

/** Queue and measured rate of the prefill role. */
export interface PrefillQueue {
  /** Earliest due first. */
  readonly waiting: readonly WaitingPrefill[]
  readonly running: Map<AttemptKey, Prefill>
  /** Tokens to compute of what waits and runs. */
  readonly queuedTokens: Readonly<Record<TrafficClass, number>>
  /** Measured, else reported; 0 when not known. */
  readonly tokensPerSecond: number
  readonly isMeasured: boolean
  /** Tokens that ended since the rate was last taken. */
  readonly endedTokens: number
  readonly ratedAtMs: number
}

/** A call that the plain service was given. */
export interface RunningCall {
  readonly ask: CallAsk
  readonly startedAtMs: number
}

/** A call that waits for a free place. */
export interface WaitingCall {
  readonly ask: CallAsk
  readonly trafficClass: TrafficClass
  readonly deadlineAtMs: number
}

/** Calls of a plain service. */
export interface ServiceCalls {
  readonly running: Map<AttemptKey, RunningCall>
  readonly waiting: Readonly<Record<TrafficClass, readonly WaitingCall[]>>
  /** Requests whose non-repeatable call was sent of late. */
  readonly sent: Recent<true>
  /** Mean time of a call; 0 when not known. */
  readonly meanCallMs: number
}

/**
 * Where the engine stands against the configuration: work of an earlier process
 * not cancelled yet, nothing to do, work of the former order finishing, order
 * sent, or waiting to send it again.
 */
export type OrderPhase = 'clearing' | 'settled' | 'draining' | 'ordered' | 'retrying'

/** What the engine holds and what it is told to hold. */
export interface OrderStatus {
  readonly phase: OrderPhase
  /** Known to be held; absent while not known. */
  readonly held?: EngineOrder
  /** Last order sent. */
  readonly sent?: EngineOrder
  /** Highest fencing token sent; 0 before the first order. */
  readonly sentToken: number
  readonly failures: number
  readonly failure: string
}

/** Why and since when the sidecar takes no new work. */
export interface DrainStatus {
  /** The instance list showed this instance as leaving. */
  readonly isLeaving: boolean
  /** When a stop ends whatever is left; 0 until a stop was asked for. */
  readonly stopByMs: number
  readonly isStopped: boolean
}

/** Lease of the requests whose streams an entry holds open. */
export interface EntryLease {
  /** Open connections of the entry, at least one. */
  readonly connectionIds: readonly string[]
  readonly leaseUntilMs: number
}

/** Wait that was last estimated for the load view. */
export interface TypicalWait {
  readonly readyInMs: number
  readonly atMs: number
}

/** State of the sidecar role. */
export interface SidecarState {
  readonly typicalWait: TypicalWait
  readonly memory: DecodeMemory
  /** The one live attempt of each request. */
  readonly reservations: Map<RequestId, Reservation>
  readonly queue: ReservationQueue
  /** Connected entries, by incarnation. */
  readonly entries: Map<string, EntryLease>
  readonly releasing: Map<AttemptKey, Releasing>
  readonly prefill: PrefillQueue
  readonly calls: ServiceCalls
  /** Attempts that ended of late, by request. */
  readonly ended: Recent<EndedAttempt>
  readonly order: OrderStatus
  readonly drain: DrainStatus
}

/** Grants are looked for at most once in this time. */
export const GRANT_PAUSE_MS = 20

/** Share of the longest output that is expected before any output ended. */
const FIRST_OUTPUT_SHARE = 1

/**
 * Names an attempt.
 *
 * @param ref - request and attempt
 * @returns the key of maps by attempt
 */
export function attemptKey (ref: { readonly requestId: RequestId, readonly attempt: number }): AttemptKey {
  return `${ref.requestId}/${ref.attempt}`
}

/**
 * Makes the state of a sidecar that has just started.
 *
 * @returns a slice that holds nothing and knows nothing of its engine
 */
export function createSidecarState (): SidecarState {
  return {
    typicalWait: { readyInMs: 0, atMs: -Infinity },
    memory: createDecodeMemory(),
    reservations: Map(),
    queue: { interactive: [], summary: [] },
    entries: Map(),
    releasing: Map(),
    prefill: createPrefillQueue(),
    calls: { running: Map(), waiting: { interactive: [], summary: [] }, sent: createRecent(), meanCallMs: 0 },
    ended: createRecent(),
    order: { phase: 'settled', sentToken: 0, failures: 0, failure: '' },
    drain: { isLeaving: false, stopByMs: 0, isStopped: false }
  }
}

function createDecodeMemory (): DecodeMemory {
  return {
    totalKvBytes: 0,
    heldKvBytes: { interactive: 0, summary: 0 },
    foreignKvBytes: 0,
    excessKvBytes: 0,
    peak: { presentBytes: 0, formerBytes: 0, sinceMs: 0 },
    overtakenKvBytes: 0,
    interactiveKvBytes: 0,
    interactiveAtMs: 0,
    typicalKvBytes: 0,
    meanHoldMs: 0,
    outputShare: FIRST_OUTPUT_SHARE,
    stepMs: 0,
    retryFreeAtMs: 0,
    grantsSeenAtMs: -GRANT_PAUSE_MS,
    lastFencingToken: 0
  }
}

function createPrefillQueue (): PrefillQueue {
  return {
    waiting: [],
    running: Map(),
    queuedTokens: { interactive: 0, summary: 0 },
    tokensPerSecond: 0,
    isMeasured: false,
    endedTokens: 0,
    ratedAtMs: 0
  }
}
