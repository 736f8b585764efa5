/**
 * One try of a call after the other, until its end.
 *
 * @module
 */
import type { Effect } from '../../BendfallCoreEffects.js'
import type { TimerKey } from '../../BendfallCoreEvents.js'
import type { CallAsk } from '../../BendfallCoreMessages.js'
import { drawUnit } from '../../BendfallCoreRandom.js'
import type { Step } from '../../BendfallCoreReducer.js'
import { stay } from '../../BendfallCoreReducer.js'
import type { State } from '../../BendfallCoreState.js'
import type { InstanceId, Outcome, RefusalReason, RequestId } from '../../BendfallCoreTypes.js'
import { createCallsState } from './BendfallCoreCallState.js'
import type { CallRecord, CallsState } from './BendfallCoreCallState.js'
import { chooseHome, chooseReplica, findCandidates, goesToHome } from './BendfallCoreCallTargets.js'

/** Waits for a home of a call that may not have run, before it is given up. */
export const MAX_HOME_SEARCHES = 5

/** First and longest wait before a call is tried again. */
export const MIN_BACKOFF_MS = 50
export const MAX_BACKOFF_MS = 2_000

/** `Retry-After` when nothing better is known. */
export const CALL_RETRY_AFTER_MS = 1_000

/** How a call ends without an answer. */
export interface CallRefusal {
  readonly outcome: Exclude<Outcome, 'answered'>
  readonly reason?: RefusalReason
  readonly retryAfterMs: number
  readonly detail: string
}

/**
 * Reads the calls of the entry.
 *
 * @param state - state of the process
 * @returns the calls; none outside of the entry role
 */
export function callsOf (state: State): CallsState {
  return state.entry?.calls ?? createCallsState()
}

/**
 * Replaces the calls of the entry.
 *
 * @param state - state of the process
 * @param calls - the calls
 * @returns the state; unchanged outside of the entry role
 */
export function putCalls (state: State, calls: CallsState): State {
  return state.entry === undefined ? state : { ...state, entry: { ...state.entry, calls } }
}

/**
 * Puts a call that has not ended.
 *
 * @param state - state of the process
 * @param record - the call
 * @returns the state
 */
export function putCall (state: State, record: CallRecord): State {
  const calls = callsOf(state)
  return putCalls(state, { ...calls, pending: calls.pending.set(record.request.requestId, record) })
}

/**
 * Sends a call to the target that its kind asks for, or ends it when there is
 * none.
 *
 * @param state - state of the process
 * @param record - the call
 * @param atMs - monotonic time
 * @returns the step
 */
export function tryCall (state: State, record: CallRecord, atMs: number): Step {
  return goesToHome(record.request) ? tryHome(state, record, atMs) : tryReplica(state, record, atMs)
}

function tryReplica (state: State, record: CallRecord, atMs: number): Step {
  const { targetId, seed } = chooseReplica(state, record, atMs)
  if (targetId === '') return refuseCall(state, record, notRun('no_upstream', 'no live replica is left to try'))
  return sendCall({ ...state, seed }, record, targetId, atMs)
}

function tryHome (state: State, record: CallRecord, atMs: number): Step {
  const calls = findCandidates(state, callsOf(state), record.request.pool)
  const found = putCalls(state, calls)
  const { targetId } = chooseHome(found, calls, record)
  if (targetId !== '') return sendCall(found, record, targetId, atMs)
  return searchAgain(found, { ...record, triedIds: [] }, atMs)
}

/**
 * Sends a call to an instance.
 *
 * @param state - state of the process
 * @param record - the call
 * @param targetId - the instance
 * @param atMs - monotonic time
 * @returns the step
 */
export function sendCall (state: State, record: CallRecord, targetId: InstanceId, atMs: number): Step {
  const sent = { ...record, attempt: record.attempt + 1, targetId }
  const effect: Effect = { type: 'send_call', instanceId: targetId, ask: askOf(state, sent, atMs) }
  return { state: putCall(state, sent), effects: [effect] }
}

function askOf (state: State, record: CallRecord, atMs: number): CallAsk {
  const { answerMs, ...request } = record.request
  const { trafficClass, ...call } = request
  return {
    ...call,
    idempotencyKey: goesToHome(record.request) ? call.idempotencyKey : '',
    attempt: record.attempt,
    entryId: state.self.instanceId,
    maxWaitMs: record.deadlineAtMs - atMs
  }
}

/**
 * Sends a call to another replica, within the retry budget.
 *
 * @param state - state of the process
 * @param record - the call; the last target has failed it
 * @param refusal - how it ends when it may not be sent again
 * @param atMs - monotonic time
 * @returns the step
 */
export function retryReplica (state: State, record: CallRecord, refusal: CallRefusal, atMs: number): Step {
  const calls = callsOf(state)
  if (calls.retryTokens < 1) return refuseCall(state, record, { ...refusal, reason: 'retry_budget' })
  const paid = putCalls(state, { ...calls, retryTokens: calls.retryTokens - 1 })
  const tried = markTried(record)
  const choice = chooseReplica(paid, tried, atMs)
  if (choice.targetId === '') return refuseCall(state, record, refusal)
  const isFirst = record.waits === 0 && !record.mayHaveRun
  return isFirst ? tryReplica(paid, { ...tried, waits: 1 }, atMs) : waitToRetry(paid, tried, atMs)
}

/**
 * Looks for the home of a key again after a wait; gives up after some tries
 * unless the call may have run already.
 *
 * @param state - state of the process
 * @param record - the call
 * @param atMs - monotonic time
 * @returns the step
 */
export function searchAgain (state: State, record: CallRecord, atMs: number): Step {
  const isHopeless = record.waits >= MAX_HOME_SEARCHES && !record.mayHaveRun
  if (isHopeless) return refuseCall(state, record, notRun('home_moved', 'no instance holds the key'))
  return waitToRetry(state, record, atMs)
}

function waitToRetry (state: State, record: CallRecord, atMs: number): Step {
  const draw = drawUnit(state.seed)
  const waitMs = backoffMs(record.waits, draw.value)
  const waiting = { ...record, targetId: '', waits: record.waits + 1, moves: 0 }
  const effect: Effect = { type: 'set_timer', timer: retryTimer(record.request.requestId), atMs: atMs + waitMs }
  return { state: putCall({ ...state, seed: draw.seed }, waiting), effects: [effect] }
}

// Full jitter over the upper half, so that no retry is at once.
function backoffMs (waits: number, unit: number): number {
  const longestMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** waits)
  return longestMs * (0.5 + unit / 2)
}

/**
 * Notes that the last target failed a call.
 *
 * @param record - the call
 * @returns the call, with no try out
 */
export function markTried (record: CallRecord): CallRecord {
  return { ...record, targetId: '', triedIds: [...record.triedIds, record.targetId] }
}

/**
 * Makes the refusal of a call that reached no upstream.
 *
 * @param reason - why
 * @param detail - for people
 * @returns the refusal
 */
export function notRun (reason: RefusalReason, detail: string): CallRefusal {
  return { outcome: 'not_run', reason, retryAfterMs: CALL_RETRY_AFTER_MS, detail }
}

/**
 * Ends a call without an answer. What may have run is never called `not_run`.
 *
 * @param state - state of the process
 * @param record - the call
 * @param refusal - how it ends
 * @returns the step
 */
export function refuseCall (state: State, record: CallRecord, refusal: CallRefusal): Step {
  const outcome = refusal.outcome === 'not_run' && record.mayHaveRun ? 'unknown' : refusal.outcome
  const step = forgetCall(state, record)
  const { requestId, trafficClass } = record.request
  const effect: Effect = { type: 'end_request', trafficClass, end: { ...refusal, requestId, outcome } }
  return { state: step.state, effects: [...step.effects, effect] }
}

/**
 * Drops a call that ended, with its timers.
 *
 * @param state - state of the process
 * @param record - the call
 * @returns the step
 */
export function forgetCall (state: State, record: CallRecord): Step {
  const { requestId } = record.request
  const calls = callsOf(state)
  if (!calls.pending.has(requestId)) return stay(state)
  return {
    state: putCalls(state, { ...calls, pending: calls.pending.delete(requestId) }),
    effects: [
      { type: 'clear_timer', timer: deadlineTimer(requestId) },
      { type: 'clear_timer', timer: retryTimer(requestId) }
    ]
  }
}

const CALL_TIMER_PREFIX = 'call/'

/**
 * Names the timer after which a call is given up.
 *
 * @param requestId - the call
 * @returns the timer
 */
export function deadlineTimer (requestId: RequestId): TimerKey {
  return { kind: 'answer_deadline', id: `${CALL_TIMER_PREFIX}${requestId}` }
}

/**
 * Names the timer after which a call is tried again.
 *
 * @param requestId - the call
 * @returns the timer
 */
export function retryTimer (requestId: RequestId): TimerKey {
  return { kind: 'retry', id: `${CALL_TIMER_PREFIX}${requestId}` }
}

/**
 * Reads the call out of the id of its timer.
 *
 * @param timer - a timer
 * @returns the call; nothing when the timer is not that of a call
 */
export function requestOfTimer (timer: TimerKey): RequestId | undefined {
  return timer.id.startsWith(CALL_TIMER_PREFIX) ? timer.id.slice(CALL_TIMER_PREFIX.length) : undefined
}
