/**
 * State of the calls of plain services at an entry.
 *
 * @module
 */
import { Map } from 'immutable'
import type { ServiceRequest } from '../../BendfallCoreEvents.js'
import type { InstanceId, PoolName, RequestId } from '../../BendfallCoreTypes.js'

/** A call that has not ended. */
export interface CallRecord {
  readonly request: ServiceRequest
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
  /** Number of the last try; 0 before the first. */
  readonly attempt: number
  /** Instance that the last try went to; empty while none is out. */
  readonly targetId: InstanceId
  /** Instances that failed this call. */
  readonly triedIds: readonly InstanceId[]
  /** Replies `moved` that were followed. */
  readonly moves: number
  /** Waits before a new try so far. */
  readonly waits: number
  /** Bytes of a try whose end is not known may have reached an upstream. */
  readonly mayHaveRun: boolean
}

/** State of the calls of plain services. */
export interface CallsState {
  readonly pending: Map<RequestId, CallRecord>
  /** Sends beyond the first of a call that may still be made. */
  readonly retryTokens: number
  /** Candidates of homes by pool, until members or configuration change. */
  readonly candidates: Map<PoolName, readonly InstanceId[]>
  /** Last known holder of slots, by pool and slot. */
  readonly holderHints: Map<string, HolderHint>
}

/** A holder of a slot as a reply told it. */
export interface HolderHint {
  readonly holderId: InstanceId
  readonly epoch: number
}

/** Most sends beyond the first that can be saved up. */
export const MAX_RETRY_TOKENS = 20

/**
 * Makes the state of an entry without calls.
 *
 * @returns the state
 */
export function createCallsState (): CallsState {
  return { pending: Map(), retryTokens: MAX_RETRY_TOKENS, candidates: Map(), holderHints: Map() }
}
