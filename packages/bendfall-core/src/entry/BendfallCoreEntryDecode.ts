/**
 * Takes the output of the live attempt to the caller, each token once.
 *
 * @module
 */
import type { EventHandler, Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { EventOf } from '../BendfallCoreEvents.js'
import type { State } from '../BendfallCoreState.js'
import { finishLanguage } from './BendfallCoreEntryEnd.js'
import { noteTransfer } from './BendfallCoreEntryLinks.js'
import { unpinResult, withoutResult } from './BendfallCoreEntryResult.js'
import { retryLanguage } from './BendfallCoreEntryRetry.js'
import type { LanguageState, PrefillResult } from './BendfallCoreEntryState.js'
import { findLanguage, putLanguage, recordOf, step } from './BendfallCoreEntryUpdate.js'

/**
 * Sends a prefill result to the decode replica that holds the reservation.
 *
 * @param state - state of an entry
 * @param language - the request, with reservation
 * @param result - the prefill result
 * @param atMs - monotonic time
 * @returns the step
 */
export function sendDecode (state: State, language: LanguageState, result: PrefillResult, atMs: number): Step {
  const { request, reservation } = language
  if (reservation === undefined) return retryLanguage(state, language, 'lease_lapsed', atMs)
  const transfer = { kvBytes: result.kvBytes, sentAtMs: atMs }
  const decoding: LanguageState = { ...language, phase: 'decoding', result, ...(language.prefill !== undefined && { prefill: { ...language.prefill, transfer } }) }
  const ask = {
    requestId: request.requestId,
    attempt: language.attempt,
    entryId: state.self.instanceId,
    fencingToken: reservation.fencingToken,
    model: request.model,
    trafficClass: request.trafficClass,
    handle: result.handle,
    exportUrl: result.exportUrl,
    kvBytes: result.kvBytes,
    evictsInMs: result.evictsInMs,
    prompt: request.prompt,
    maxOutputTokens: request.maxOutputTokens,
    resumeTokens: language.sentTokens.toArray()
  }
  return step(
    putLanguage(state, decoding),
    { type: 'send_decode', instanceId: reservation.decodeId, ask },
    recordOf(request.requestId, 'decode_sent', { decode: reservation.decodeId, cachedTokens: result.cachedTokens, attempt: language.attempt })
  )
}

/**
 * Handles a batch of tokens. Repeated indexes are dropped; a gap fails the
 * attempt, since the answer could not be whole.
 *
 * @param state - state of an entry
 * @param event - the batch
 * @returns the step
 */
export const takeTokens: EventHandler<'tokens_arrived'> = (state, event) => {
  const language = findLanguage(state, event.requestId)
  if (!isLive(language, event)) return stay(state)
  const sent = language.sentTokens.size
  if (event.index > sent) return retryLanguage(state, language, 'upstream_failed', event.atMs)
  const fresh = event.tokens.slice(sent - event.index)
  if (fresh.length === 0) return stay(state)
  return emitTokens(state, language, fresh, event.atMs)
}

function emitTokens (state: State, language: LanguageState, fresh: readonly string[], atMs: number): Step {
  const index = language.sentTokens.size
  const { requestId, trafficClass } = language.request
  const next = { ...language, sentTokens: language.sentTokens.push(...fresh), firstOutputAtMs: language.firstOutputAtMs ?? atMs, awaitsOutput: false }
  const emit = { type: 'emit_tokens', requestId, index, tokens: fresh } as const
  if (!language.awaitsOutput) return step(putLanguage(state, next), emit)
  const clear = { type: 'clear_timer', timer: { kind: 'first_output_deadline', id: requestId } } as const
  if (language.firstOutputAtMs !== undefined) return step(putLanguage(state, next), emit, clear)
  return step(
    noteFirstOutput(putLanguage(state, next), language, atMs),
    emit,
    clear,
    { type: 'measure', metric: 'first_output', valueMs: atMs - language.arrivedAtMs, tags: { trafficClass } },
    recordOf(requestId, 'first_output', { afterMs: Math.round(atMs - language.arrivedAtMs), attempt: language.attempt })
  )
}

function noteFirstOutput (state: State, { prefill, reservation }: LanguageState, atMs: number): State {
  if (prefill?.transfer === undefined || reservation === undefined) return state
  const { kvBytes, sentAtMs } = prefill.transfer
  return noteTransfer(state, prefill.prefillId, reservation.decodeId, kvBytes, atMs - sentAtMs, atMs)
}

/**
 * Handles the end of a decode attempt. Only an output without gap counts as
 * whole.
 *
 * @param state - state of an entry
 * @param event - the end
 * @returns the step
 */
export const endDecode: EventHandler<'decode_ended'> = (state, event) => {
  const language = findLanguage(state, event.requestId)
  if (!isLive(language, event)) return stay(state)
  const { end, atMs } = event
  if (end.type === 'failed') return retryLanguage(state, end.kvLost ? withoutResult(language) : unpinResult(language, end.reason, atMs), end.reason, atMs)
  if (end.tokenCount !== language.sentTokens.size) return retryLanguage(state, language, 'upstream_failed', atMs)
  return finishLanguage(state, language, atMs)
}

function isLive (language: LanguageState | undefined, event: EventOf<'tokens_arrived' | 'decode_ended'>): language is LanguageState {
  if (language === undefined || language.attempt !== event.attempt) return false
  return language.phase === 'decoding' && language.reservation?.decodeId === event.instanceId
}
