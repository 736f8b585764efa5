/**
 * Answers of a home to the entries.
 *
 * @module
 */
import type { SidecarEffect } from '../BendfallCoreEffects.js'
import type { CallAsk, CallReply, KeyClaimReply } from '../BendfallCoreMessages.js'
import type { State } from '../BendfallCoreState.js'
import type { RequestId } from '../BendfallCoreTypes.js'
import { loadView } from '../sidecar/BendfallCoreSidecarLoad.js'
import type { KeyRefusal } from './BendfallCoreHomeRules.js'
import { assignHomeSlots, homeCandidates, homeSlot } from './BendfallCoreHomeSlots.js'
import type { CallEnd, CallWaiter, HomeState } from './BendfallCoreHomeState.js'

type Moved = Extract<CallReply, { type: 'moved' }>

/**
 * Tells where the home of a key is: the holder that the key-value service
 * shows, else the instance that should hold the slot.
 *
 * @param state - state of the process
 * @param home - the home
 * @param pool - pool of the call
 * @param key - idempotency key
 * @returns the answer; without a holder when none is known but this process
 */
export function movedReply (state: State, home: HomeState, pool: string, key: string): Moved {
  const slot = homeSlot(pool, key)
  const known = home.pool === pool ? home.holders.get(slot) : undefined
  if (known !== undefined && known.holderId !== state.self.instanceId) {
    return { type: 'moved', holderId: known.holderId, epoch: known.epoch }
  }
  const assigned = assignHomeSlots(pool, homeCandidates(state.members, pool))[slot] ?? ''
  return { type: 'moved', holderId: assigned === state.self.instanceId ? '' : assigned, epoch: 0 }
}

/**
 * Turns the end of a call into its answer.
 *
 * @param state - state of the process
 * @param end - how the call ended
 * @param replayed - true for asks other than the one that ran
 * @param atMs - monotonic time
 * @returns the answer
 */
export function endReply (state: State, end: CallEnd, replayed: boolean, atMs: number): CallReply {
  const load = loadView(state, atMs)
  if (end.type === 'answered') return { ...end, replayed, load }
  return { ...end, retryAfterMs: 0, load }
}

/**
 * Turns a refusal into the answer to a call.
 *
 * @param state - state of the process
 * @param refusal - why the call does not run
 * @param atMs - monotonic time
 * @returns the answer
 */
export function refusedReply (state: State, refusal: KeyRefusal, atMs: number): CallReply {
  return { type: 'refused', ...refusal, load: loadView(state, atMs) }
}

/**
 * Answers an ask of a call.
 *
 * @param ask - request and attempt of the ask
 * @param reply - the answer
 * @returns the effect
 */
export function replyCall (ask: CallWaiter | CallAsk, reply: CallReply): SidecarEffect {
  return { type: 'reply_call', requestId: ask.requestId, attempt: ask.attempt, reply }
}

/**
 * Answers an ask for a key.
 *
 * @param requestId - the request
 * @param reply - the answer
 * @returns the effect
 */
export function replyClaim (requestId: RequestId, reply: KeyClaimReply): SidecarEffect {
  return { type: 'reply_key_claim', requestId, reply }
}
