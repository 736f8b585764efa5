/**
 * Calls with a key at their home: each runs at most once; its repeats join the
 * running call or get the kept answer.
 *
 * @module
 */
import type { Effect } from '../BendfallCoreEffects.js'
import type { EventOf } from '../BendfallCoreEvents.js'
import type { CallAsk } from '../BendfallCoreMessages.js'
import type { EventHandler, Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import { startServiceCall } from '../sidecar/BendfallCoreSidecarCalls.js'
import { endKey, freeKey, putKey } from './BendfallCoreHomeKeys.js'
import type { HomeChange } from './BendfallCoreHomeKeys.js'
import { endReply, movedReply, refusedReply, replyCall } from './BendfallCoreHomeReplies.js'
import type { KeyRefusal } from './BendfallCoreHomeRules.js'
import { heldSlot, homeKeyId, refuseNewKey } from './BendfallCoreHomeRules.js'
import type { CallEnd, CallWaiter, HomeKeyId, HomeState, KeyRecord } from './BendfallCoreHomeState.js'

/** `Retry-After` after a call that did not reach its upstream. */
const UNREACHED_RETRY_AFTER_MS = 1_000

/** A key used for something else before. */
export const KEY_CONFLICT: KeyRefusal = { outcome: 'not_run', reason: 'key_conflict', retryAfterMs: 0 }

/** Too many asks wait for the key; it may run or have run. */
export const TOO_MANY_WAITERS: KeyRefusal = { outcome: 'unknown', reason: 'duplicate_running', retryAfterMs: 1_000 }

const UNREACHED: KeyRefusal = { outcome: 'not_run', reason: 'upstream_unreachable', retryAfterMs: UNREACHED_RETRY_AFTER_MS }

type RunningCall = Extract<KeyRecord, { type: 'call_running' }>
type ServiceResult = EventOf<'service_replied'>['result']

/** Handles an ask of a call; those without a key are not for the home. */
export const askCall: EventHandler<'call_asked'> = (state, { ask, atMs }) => {
  const { home } = state
  if (home === undefined || ask.idempotencyKey === '') return stay(state)
  const slot = heldSlot(home, ask.pool, ask.idempotencyKey, atMs)
  if (slot === undefined) return answer(state, ask, movedReply(state, home, ask.pool, ask.idempotencyKey))
  const keyId = homeKeyId(ask.pool, ask.idempotencyKey)
  const known = home.keys.get(keyId)
  if (known !== undefined) return meetKnownKey(state, home, keyId, known, ask, atMs)
  const refusal = refuseNewKey(state, home, slot, ask, atMs)
  if (refusal !== undefined) return answer(state, ask, refusedReply(state, refusal, atMs))
  return startCall(state, home, keyId, ask, atMs)
}

function meetKnownKey (state: State, home: HomeState, keyId: HomeKeyId, known: KeyRecord, ask: CallAsk, atMs: number): Step {
  const isSame = known.bodyDigest === ask.bodyDigest
  if (isSame && known.type === 'call_running') return joinCall(state, home, keyId, known, ask, atMs)
  if (isSame && known.type === 'call_ended') return answer(state, ask, endReply(state, known.end, true, atMs))
  return answer(state, ask, refusedReply(state, KEY_CONFLICT, atMs))
}

function joinCall (state: State, home: HomeState, keyId: HomeKeyId, running: RunningCall, ask: CallAsk, atMs: number): Step {
  if (running.waiters.length >= home.limits.maxWaitersPerKey) {
    return answer(state, ask, refusedReply(state, TOO_MANY_WAITERS, atMs))
  }
  const joined = { ...running, waiters: [...running.waiters, waiterOf(ask)] }
  return stay({ ...state, home: putKey(home, keyId, joined) })
}

function startCall (state: State, home: HomeState, keyId: HomeKeyId, ask: CallAsk, atMs: number): Step {
  const start = startServiceCall(state, ask, atMs)
  if (start.refusal !== undefined) {
    return answer(state, ask, refusedReply(state, { outcome: 'not_run', ...start.refusal }, atMs))
  }
  const running: RunningCall = {
    type: 'call_running',
    requestId: ask.requestId,
    bodyDigest: ask.bodyDigest,
    repeatable: ask.repeatable,
    waiters: [waiterOf(ask)]
  }
  const started = {
    ...putKey(home, keyId, running),
    runningCalls: home.runningCalls.set(runningCallId(ask), keyId)
  }
  return { state: { ...start.state, home: started }, effects: start.effects }
}

/** Handles the end of a call; those that the home did not start are not for it. */
export const endCall: EventHandler<'service_replied'> = (state, event) => {
  const { home } = state
  const keyId = home?.runningCalls.get(runningCallId(event))
  if (home === undefined || keyId === undefined) return stay(state)
  const running = home.keys.get(keyId)
  if (running?.type !== 'call_running') return stay(state)
  const rest = { ...home, runningCalls: home.runningCalls.delete(runningCallId(event)) }
  const end = endOf(event.result)
  if (end === undefined) return freeAndAnswer(state, rest, keyId, running, event.atMs)
  return keepAndAnswer(state, rest, keyId, running, end, event.atMs)
}

function endOf (result: ServiceResult): CallEnd | undefined {
  if (result.type === 'answered') return result
  return result.reached ? { type: 'refused', outcome: 'unknown', reason: 'upstream_failed' } : undefined
}

function freeAndAnswer (state: State, home: HomeState, keyId: HomeKeyId, running: RunningCall, atMs: number): Step {
  const freed = { ...state, home: freeKey(home, keyId) }
  const reply = refusedReply(freed, UNREACHED, atMs)
  return { state: freed, effects: running.waiters.map((waiter) => replyCall(waiter, reply)) }
}

function keepAndAnswer (state: State, home: HomeState, keyId: HomeKeyId, running: RunningCall, end: CallEnd, atMs: number): Step {
  const change = keepEnd(home, keyId, running, end, atMs)
  const kept = { ...state, home: change.home }
  const replies = running.waiters.map((waiter) => {
    return replyCall(waiter, endReply(kept, end, waiter.requestId !== running.requestId, atMs))
  })
  return { state: kept, effects: [...replies, ...change.effects] }
}

// A repeatable call that failed may run again; any other end is kept.
function keepEnd (home: HomeState, keyId: HomeKeyId, running: RunningCall, end: CallEnd, atMs: number): HomeChange {
  if (running.repeatable && end.type === 'refused') return { home: freeKey(home, keyId), effects: [] }
  return endKey(home, keyId, { type: 'call_ended', bodyDigest: running.bodyDigest, end }, atMs)
}

function answer (state: State, ask: CallAsk, reply: Parameters<typeof replyCall>[1]): Step {
  const effects: Effect[] = [replyCall(ask, reply)]
  return { state, effects }
}

function waiterOf (ask: CallAsk): CallWaiter {
  return { requestId: ask.requestId, attempt: ask.attempt }
}

function runningCallId (call: CallWaiter): string {
  return `${call.requestId}/${call.attempt}`
}
