/**
 * Asks the home of an idempotency key before a summary runs.
 *
 * @module
 */
import type { EventHandler, Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import type { InstanceId } from '../BendfallCoreTypes.js'
import { homeCandidates, homeSlot, rankHomeCandidates } from '../home/BendfallCoreHomeSlots.js'
import { finishLanguage, refuseLanguage, wholeSecondsMs } from './BendfallCoreEntryEnd.js'
import { DEFAULT_RETRY_AFTER_MS } from './BendfallCoreEntryPolicy.js'
import { askDecode } from './BendfallCoreEntryReserve.js'
import type { LanguageState } from './BendfallCoreEntryState.js'
import { findLanguage, putLanguage, step } from './BendfallCoreEntryUpdate.js'

/** Sidecars asked for one claim before it is given up. */
const MAX_CLAIM_ASKS = 3

/**
 * Sends the claim of a request's key to its home.
 *
 * @param state - state of an entry
 * @param language - the request, with a key
 * @param atMs - monotonic time
 * @returns the step
 */
export function claimKey (state: State, language: LanguageState, atMs: number): Step {
  const { request, keyPool } = language
  const slot = homeSlot(keyPool, request.idempotencyKey)
  const [instanceId] = rankHomeCandidates(keyPool, slot, homeCandidates(state.members, keyPool))
  if (instanceId === undefined) {
    return refuseLanguage(state, language, { reason: 'no_upstream', retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail: 'no home for the idempotency key' }, atMs)
  }
  return sendClaim(state, language, instanceId, atMs)
}

function sendClaim (state: State, language: LanguageState, instanceId: InstanceId, atMs: number): Step {
  const { request, keyPool } = language
  const ask = {
    requestId: request.requestId,
    entryId: state.self.instanceId,
    pool: keyPool,
    idempotencyKey: request.idempotencyKey,
    keyIssuedAtMs: request.keyIssuedAtMs,
    bodyDigest: request.bodyDigest,
    maxWaitMs: Math.max(0, language.outputDueAtMs - atMs)
  }
  const claiming: LanguageState = { ...language, phase: 'claiming', keyHomeId: instanceId, claimAsks: language.claimAsks + 1 }
  return step(putLanguage(state, claiming), { type: 'send_key_claim', instanceId, ask })
}

/**
 * Handles the answer to a claim: run, replay or refuse.
 *
 * @param state - state of an entry
 * @param event - the answer
 * @returns the step
 */
export const answerClaim: EventHandler<'key_claim_replied'> = (state, event) => {
  const language = findLanguage(state, event.requestId)
  if (language === undefined || language.phase !== 'claiming') return stay(state)
  const { reply, atMs } = event
  if (reply.type === 'run') return askDecode(state, language, atMs)
  if (reply.type === 'replay') return replayAnswer(state, withoutHome(language), reply.body, atMs)
  if (reply.type === 'moved' && canFollow(language, reply.holderId)) return sendClaim(state, language, reply.holderId, atMs)
  if (reply.type === 'refused') {
    const refusal = { reason: reply.reason, retryAfterMs: wholeSecondsMs(reply.retryAfterMs), detail: 'the home of the idempotency key refused' }
    return refuseLanguage(state, withoutHome({ ...language, reached: reply.outcome === 'unknown' }), refusal, atMs)
  }
  return refuseLanguage(state, withoutHome(language), { reason: 'home_moved', retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail: 'the home of the idempotency key is not known' }, atMs)
}

// Two sidecars with old views may name each other.
function canFollow (language: LanguageState, holderId: InstanceId): boolean {
  return holderId !== '' && holderId !== language.keyHomeId && language.claimAsks < MAX_CLAIM_ASKS
}

// A request that did not get the claim must not settle it.
function withoutHome (language: LanguageState): LanguageState {
  const { keyHomeId, ...rest } = language
  return rest
}

function replayAnswer (state: State, language: LanguageState, body: Uint8Array, atMs: number): Step {
  const tokens = JSON.parse(new TextDecoder().decode(body)) as readonly string[]
  const ended = finishLanguage(state, language, atMs)
  const emit = { type: 'emit_tokens', requestId: language.request.requestId, index: 0, tokens } as const
  return { state: ended.state, effects: [emit, ...ended.effects] }
}
