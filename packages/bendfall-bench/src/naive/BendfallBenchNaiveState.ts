/**
 * State of the naive twin, kept beside the slices of the real logic.
 *
 * @module
 */
import { Map } from 'immutable'
import type { DecodeAsk, InstanceId, InstanceRecord, LanguageRequest, PoolName, RequestId, Self, ServiceRequest, State } from 'bendfall-core'

/** A request at an entry. */
export interface NaiveRequest {
  readonly language?: LanguageRequest
  readonly service?: ServiceRequest
  readonly attempt: number
  /** Where the attempt is now. */
  readonly instanceId: InstanceId
  readonly sentTokens: number
}

/** Slice of the naive twin, for both roles. */
export interface NaiveSlice {
  readonly instances: readonly InstanceRecord[]
  /** Next turn of the round robin, by pool. */
  readonly turns: Map<PoolName, number>
  readonly requests: Map<RequestId, NaiveRequest>
  /** Decodes at a sidecar, by request and attempt. */
  readonly decodes: Map<string, DecodeAsk>
}

/** State of a process that runs the naive twin. */
export interface NaiveState extends State {
  readonly naive: NaiveSlice
}

/**
 * Makes the first state of a process that runs the naive twin.
 *
 * @param self - the process
 * @param seed - unused: nothing is drawn at random
 * @returns the state
 */
export function createNaiveState (self: Self, seed: number): NaiveState {
  return {
    self,
    seed,
    members: Map(),
    stopping: false,
    naive: { instances: [], turns: Map(), requests: Map(), decodes: Map() }
  }
}

/**
 * Reads the slice of the naive twin.
 *
 * @param state - state made by {@link createNaiveState}
 * @returns the slice
 */
export function naiveOf (state: State): NaiveSlice {
  return (state as NaiveState).naive
}

/**
 * Replaces parts of the slice of the naive twin.
 *
 * @param state - state made by {@link createNaiveState}
 * @param change - the parts to replace
 * @returns the state after
 */
export function withNaive (state: State, change: Partial<NaiveSlice>): State {
  const next: NaiveState = { ...state, naive: { ...naiveOf(state), ...change } }
  return next
}

/**
 * Replaces a request of the naive twin.
 *
 * @param state - state made by {@link createNaiveState}
 * @param requestId - the request
 * @param change - the parts to replace
 * @returns the state after
 */
export function withNaiveRequest (state: State, requestId: RequestId, change: Partial<NaiveRequest>): State {
  const { requests } = naiveOf(state)
  const request = requests.get(requestId)
  if (request === undefined) return state
  return withNaive(state, { requests: requests.set(requestId, { ...request, ...change }) })
}
