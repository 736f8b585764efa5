/**
 * Claims of keys by entries that run summaries: one runs, the others wait for
 * its end. A summary may run again, so a claim whose entry died lapses.
 *
 * @module
 */
import type { SharedEffect } from '../BendfallCoreEffects.js'
import type { EventOf } from '../BendfallCoreEvents.js'
import type { KeyClaimAsk, KeyClaimReply } from '../BendfallCoreMessages.js'
import type { EventHandler, Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import { KEY_CONFLICT, TOO_MANY_WAITERS } from './BendfallCoreHomeCalls.js'
import { endKey, freeKey, putKey } from './BendfallCoreHomeKeys.js'
import { movedReply, replyClaim } from './BendfallCoreHomeReplies.js'
import { heldSlot, homeKeyId, refuseNewKey } from './BendfallCoreHomeRules.js'
import type { ClaimWaiter, HomeKeyId, HomeLimits, HomeState, KeyRecord } from './BendfallCoreHomeState.js'

type RunningClaim = Extract<KeyRecord, { type: 'claim_running' }>
type Answered = Extract<EventOf<'key_settled'>['result'], { type: 'answered' }>

/** Handles an ask whether a summary may run. */
export const askClaim: EventHandler<'key_claim_asked'> = (state, { ask, atMs }) => {
  const { home } = state
  if (home === undefined) return stay(state)
  const slot = heldSlot(home, ask.pool, ask.idempotencyKey, atMs)
  if (slot === undefined) return answer(state, ask, movedReply(state, home, ask.pool, ask.idempotencyKey))
  const keyId = homeKeyId(ask.pool, ask.idempotencyKey)
  const known = home.keys.get(keyId)
  if (known !== undefined) return meetKnownClaim(state, home, keyId, known, ask, atMs)
  const refusal = refuseNewKey(state, home, slot, { ...ask, repeatable: true }, atMs)
  if (refusal !== undefined) return answer(state, ask, { type: 'refused', ...refusal })
  return grantClaim(state, home, keyId, ask, [], atMs)
}

function meetKnownClaim (state: State, home: HomeState, keyId: HomeKeyId, known: KeyRecord, ask: KeyClaimAsk, atMs: number): Step {
  const isSame = known.bodyDigest === ask.bodyDigest
  if (isSame && known.type === 'claim_ended') return answer(state, ask, { type: 'replay', body: known.body })
  if (isSame && known.type === 'claim_running') return meetRunningClaim(state, home, keyId, known, ask, atMs)
  return answer(state, ask, { type: 'refused', ...KEY_CONFLICT })
}

function meetRunningClaim (state: State, home: HomeState, keyId: HomeKeyId, running: RunningClaim, ask: KeyClaimAsk, atMs: number): Step {
  const mayRun = running.requestId === ask.requestId || running.leaseUntilMs <= atMs
  if (mayRun) return grantClaim(state, home, keyId, ask, running.waiters, atMs)
  if (running.waiters.length >= home.limits.maxWaitersPerKey) {
    return answer(state, ask, { type: 'refused', ...TOO_MANY_WAITERS })
  }
  const waiter: ClaimWaiter = { ask, waitsUntilMs: atMs + ask.maxWaitMs }
  const joined = { ...running, waiters: [...running.waiters, waiter] }
  return stay({ ...state, home: putKey(home, keyId, joined) })
}

function grantClaim (state: State, home: HomeState, keyId: HomeKeyId, ask: KeyClaimAsk, waiters: readonly ClaimWaiter[], atMs: number): Step {
  const leaseMs = claimLeaseMs(home.limits, ask)
  const leaseUntilMs = atMs + leaseMs
  const running: RunningClaim = {
    type: 'claim_running',
    requestId: ask.requestId,
    bodyDigest: ask.bodyDigest,
    leaseUntilMs,
    waiters
  }
  return {
    state: { ...state, home: putKey(home, keyId, running) },
    effects: [replyClaim(ask.requestId, { type: 'run', leaseMs }), claimTimer(keyId, leaseUntilMs)]
  }
}

function claimLeaseMs (limits: HomeLimits, ask: KeyClaimAsk): number {
  return Math.min(Math.max(ask.maxWaitMs, limits.minClaimLeaseMs), limits.maxClaimLeaseMs)
}

/** Handles the end of a summary that an entry ran. */
export const settleClaim: EventHandler<'key_settled'> = (state, event) => {
  const { home } = state
  const keyId = homeKeyId(event.pool, event.idempotencyKey)
  const running = home?.keys.get(keyId)
  if (home === undefined || running?.type !== 'claim_running') return stay(state)
  if (event.result.type === 'answered') return keepAnswer(state, home, keyId, running, event.result, event.atMs)
  if (running.requestId !== event.requestId) return stay(state)
  return passClaimOn(state, home, keyId, running, event.atMs)
}

function keepAnswer (state: State, home: HomeState, keyId: HomeKeyId, running: RunningClaim, result: Answered, atMs: number): Step {
  const { body } = result
  const change = endKey(home, keyId, { type: 'claim_ended', bodyDigest: running.bodyDigest, body }, atMs)
  const replies = running.waiters.map(({ ask }) => replyClaim(ask.requestId, { type: 'replay', body }))
  return {
    state: { ...state, home: change.home },
    effects: [...replies, clearClaimTimer(keyId), ...change.effects]
  }
}

/**
 * Ends a claim whose lease lapsed.
 *
 * @param state - state of the process
 * @param home - the home
 * @param keyId - the key whose timer fired
 * @param atMs - monotonic time
 * @returns the step; nothing changes when the claim was renewed or ended
 */
export function lapseClaim (state: State, home: HomeState, keyId: HomeKeyId, atMs: number): Step {
  const running = home.keys.get(keyId)
  if (running?.type !== 'claim_running' || running.leaseUntilMs > atMs) return stay(state)
  return passClaimOn(state, home, keyId, running, atMs)
}

// The first ask that still waits runs next; with none the key is free.
function passClaimOn (state: State, home: HomeState, keyId: HomeKeyId, running: RunningClaim, atMs: number): Step {
  const [next, ...waiters] = running.waiters.filter(({ waitsUntilMs }) => waitsUntilMs > atMs)
  if (next !== undefined) return grantClaim(state, home, keyId, next.ask, waiters, atMs)
  return { state: { ...state, home: freeKey(home, keyId) }, effects: [clearClaimTimer(keyId)] }
}

function answer (state: State, ask: KeyClaimAsk, reply: KeyClaimReply): Step {
  return { state, effects: [replyClaim(ask.requestId, reply)] }
}

function claimTimer (keyId: HomeKeyId, atMs: number): SharedEffect {
  return { type: 'set_timer', timer: { kind: 'key_expiry', id: claimTimerId(keyId) }, atMs }
}

function clearClaimTimer (keyId: HomeKeyId): SharedEffect {
  return { type: 'clear_timer', timer: { kind: 'key_expiry', id: claimTimerId(keyId) } }
}

const CLAIM_TIMER_PREFIX = 'claim/'

function claimTimerId (keyId: HomeKeyId): string {
  return `${CLAIM_TIMER_PREFIX}${keyId}`
}

/**
 * Reads the key out of the id of a claim's timer.
 *
 * @param timerId - id of a `key_expiry` timer
 * @returns the key; nothing when the timer is not that of a claim
 */
export function keyIdOfClaimTimer (timerId: string): HomeKeyId | undefined {
  return timerId.startsWith(CLAIM_TIMER_PREFIX) ? timerId.slice(CLAIM_TIMER_PREFIX.length) : undefined
}
