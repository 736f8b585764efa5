/**
 * Prefill just in time: its result should arrive as the decode memory frees,
 * not earlier (eviction) and not later (idle memory).
 *
 * @module
 */
import type { EventHandler, Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { EventOf } from '../BendfallCoreEvents.js'
import type { PrefillAsk, PrefillReply } from '../BendfallCoreMessages.js'
import type { State } from '../BendfallCoreState.js'
import type { InstanceId, TrafficClass } from '../BendfallCoreTypes.js'
import { suspectMember } from '../members/BendfallCoreMembersHandlers.js'
import { findTooSmallCache } from './BendfallCoreEntryCacheSize.js'
import { plannedMs } from './BendfallCoreEntryEstimate.js'
import { sendDecode } from './BendfallCoreEntryDecode.js'
import { refuseLanguage, wholeSecondsMs } from './BendfallCoreEntryEnd.js'
import { DEFAULT_RETRY_AFTER_MS, SUSPECT_MS } from './BendfallCoreEntryPolicy.js'
import { choosePrefill, promptTokens } from './BendfallCoreEntryPrefillChoice.js'
import type { PrefillPlan } from './BendfallCoreEntryPrefillChoice.js'
import { rememberPrefixes } from './BendfallCoreEntryPrefixes.js'
import { resultOf } from './BendfallCoreEntryResult.js'
import { spendRetry } from './BendfallCoreEntryRetry.js'
import type { LanguageState, PrefillWork } from './BendfallCoreEntryState.js'
import { entryOf, findLanguage, putLanguage, recordOf, step, updateEntry } from './BendfallCoreEntryUpdate.js'

/**
 * Asks the best prefill replica, which keeps the request in its queue until
 * the result would be of use.
 *
 * @param state - state of an entry
 * @param language - the request, with its reservation
 * @param atMs - monotonic time
 * @returns the step
 */
export function startPrefill (state: State, language: LanguageState, atMs: number): Step {
  const decodeId = language.reservation?.decodeId ?? ''
  const plan = choosePrefill(state, language, decodeId, language.askedPrefillIds, atMs)
  if (plan === undefined) {
    const refusal = { reason: 'no_upstream', retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail: 'no prefill replica is left to ask' } as const
    return refuseLanguage(state, language, refusal, atMs)
  }
  const prefill: PrefillWork = { prefillId: plan.prefillId, expectedTokens: plan.expectedTokens, reachedBefore: language.reached }
  const started: LanguageState = {
    ...language,
    phase: 'prefilling',
    reached: true,
    prefill,
    askedPrefillIds: [...language.askedPrefillIds, plan.prefillId]
  }
  return step(
    addPending(putLanguage(state, started), plan, language.request.trafficClass),
    { type: 'send_prefill', instanceId: plan.prefillId, ask: prefillAsk(state, started, plan, atMs) },
    recordOf(language.request.requestId, 'prefill_sent', { prefill: plan.prefillId, expectedTokens: Math.round(plan.expectedTokens), attempt: language.attempt })
  )
}

function addPending (state: State, plan: PrefillPlan, trafficClass: TrafficClass): State {
  const { pendingPrefills, turn } = entryOf(state)
  const pending = pendingPrefills.get(plan.prefillId) ?? { tokens: 0, urgentTokens: 0 }
  const urgentTokens = trafficClass === 'interactive' ? plan.expectedTokens : 0
  const next = { tokens: pending.tokens + plan.expectedTokens, urgentTokens: pending.urgentTokens + urgentTokens }
  return updateEntry(state, { pendingPrefills: pendingPrefills.set(plan.prefillId, next), turn: turn + 1 })
}

/**
 * Forgets what was sent to a replica before its load was heard.
 *
 * @param state - state of an entry
 * @param instanceId - the replica
 * @returns the new state
 */
export function clearPending (state: State, instanceId: InstanceId): State {
  const { pendingPrefills } = entryOf(state)
  if (!pendingPrefills.has(instanceId)) return state
  return updateEntry(state, { pendingPrefills: pendingPrefills.delete(instanceId) })
}

// The result should arrive as the memory frees.
function notBeforeInMs (state: State, { reservation }: LanguageState, plan: PrefillPlan, atMs: number): number {
  if (!entryOf(state).policy.justInTime || reservation === undefined) return 0
  return Math.max(0, reservation.readyAtMs - atMs - plan.workMs)
}

function prefillAsk (state: State, language: LanguageState, plan: PrefillPlan, atMs: number): PrefillAsk {
  const { request } = language
  return {
    requestId: request.requestId,
    attempt: language.attempt,
    entryId: state.self.instanceId,
    model: request.model,
    trafficClass: request.trafficClass,
    prompt: request.prompt + language.sentTokens.join(''),
    promptTokens: promptTokens(language),
    expectedTokens: plan.expectedTokens,
    prefixHashes: request.prefixHashes,
    notBeforeInMs: notBeforeInMs(state, language, plan, atMs),
    maxWaitMs: Math.max(0, plannedMs(language, atMs) - plan.moveMs)
  }
}

/**
 * Handles the answer to a prefill.
 *
 * @param state - state of an entry
 * @param event - the answer
 * @returns the step; nothing for an answer of another attempt
 */
export const answerPrefill: EventHandler<'prefill_replied'> = (state, event) => {
  const language = findLanguage(state, event.requestId)
  if (!isAwaited(language, event)) return stay(state)
  return replyHandlers[event.reply.type](state, language, event)
}

function isAwaited (language: LanguageState | undefined, event: EventOf<'prefill_replied'>): language is LanguageState {
  if (language === undefined || language.attempt !== event.attempt) return false
  return language.phase === 'prefilling' && language.prefill?.prefillId === event.instanceId
}

type ReplyHandler = (state: State, language: LanguageState, event: EventOf<'prefill_replied'>) => Step

const replyHandlers: Readonly<Record<PrefillReply['type'], ReplyHandler>> = {
  done: takeResult,
  failed: tryOther,
  refused: askOther
}

function takeResult (state: State, language: LanguageState, event: EventOf<'prefill_replied'>): Step {
  const { reply, atMs, instanceId } = event
  if (reply.type !== 'done') return stay(state)
  const finding = findTooSmallCache(state, language, reply.kvBytes)
  if (finding !== undefined) return refuseLanguage(state, language, finding, atMs)
  const places = rememberPrefixes(entryOf(state).prefixPlaces, language.request.prefixHashes, instanceId)
  return sendDecode(updateEntry(state, { prefixPlaces: places }), language, resultOf(instanceId, reply, atMs), atMs)
}

// Refused by the sidecar: no engine saw the prompt, another replica may.
function askOther (state: State, language: LanguageState, event: EventOf<'prefill_replied'>): Step {
  const { reply, atMs } = event
  if (reply.type !== 'refused') return stay(state)
  const unreached: LanguageState = { ...language, reached: language.prefill?.reachedBefore ?? language.reached }
  const left = choosePrefill(state, unreached, language.reservation?.decodeId ?? '', language.askedPrefillIds, atMs)
  if (left !== undefined) return startPrefill(state, unreached, atMs)
  const refusal = { reason: reply.reason, retryAfterMs: wholeSecondsMs(reply.retryAfterMs), detail: 'no prefill replica is free in time' }
  return refuseLanguage(state, unreached, refusal, atMs)
}

function tryOther (state: State, language: LanguageState, event: EventOf<'prefill_replied'>): Step {
  const { atMs, instanceId } = event
  const failed: LanguageState = { ...language, failedIds: [...language.failedIds, instanceId] }
  const suspected = suspectMember(state, instanceId, atMs + SUSPECT_MS)
  const paid = spendRetry(suspected, language.request.model)
  if (paid === undefined) {
    const refusal = { reason: 'retry_budget', retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail: 'a prefill failed and the retry budget is spent' } as const
    return refuseLanguage(suspected, failed, refusal, atMs)
  }
  return startPrefill(paid, failed, atMs)
}
