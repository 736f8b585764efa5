/**
 * The prefill result of a request. It outlives a failed decode attempt by a
 * moment, and another decode replica may fetch it meanwhile.
 *
 * @module
 */
import type { PrefillReply } from '../BendfallCoreMessages.js'
import type { EventHandler } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import type { InstanceId, RefusalReason } from '../BendfallCoreTypes.js'
import { transferMs } from './BendfallCoreEntryEstimate.js'
import { ASSUMED_HOP_MS } from './BendfallCoreEntryPolicy.js'
import { choosePrefill } from './BendfallCoreEntryPrefillChoice.js'
import type { PrefillPlan } from './BendfallCoreEntryPrefillChoice.js'
import type { LanguageState, PrefillResult } from './BendfallCoreEntryState.js'
import { findLanguage, putLanguage } from './BendfallCoreEntryUpdate.js'

/**
 * Reads the result out of the answer of a prefill replica.
 *
 * @param prefillId - the replica
 * @param reply - its answer
 * @param atMs - monotonic time
 * @returns the result
 */
export function resultOf (prefillId: InstanceId, reply: Extract<PrefillReply, { type: 'done' }>, atMs: number): PrefillResult {
  const { handle, exportUrl, kvBytes, cachedTokens, evictsInMs } = reply
  const evictsAtMs = atMs + evictsInMs
  return { prefillId, handle, exportUrl, kvBytes, cachedTokens, evictsInMs, evictsAtMs, promisedUntilMs: evictsAtMs, isPinned: false }
}

/**
 * Notes that bytes of the result came in: its replica keeps it until the transfer ends.
 *
 * @param state - state of an entry
 * @param event - progress of the transfer
 * @returns the step; nothing for another attempt
 */
export const pinResult: EventHandler<'transfer_progressed'> = (state, event) => {
  const language = findLanguage(state, event.requestId)
  if (language?.result === undefined || language.result.isPinned || event.transferredBytes <= 0) return stay(state)
  if (language.attempt !== event.attempt || language.reservation?.decodeId !== event.instanceId) return stay(state)
  return stay(putLanguage(state, { ...language, result: { ...language.result, isPinned: true } }))
}

/**
 * Notes that a transfer of the result ended without success. A result that was pinned is
 * likely to live on for as long as when it was made. One that no byte was taken of is not:
 * asked for again and again, it costs all attempts.
 *
 * @param language - the request
 * @param reason - why the transfer ended
 * @param atMs - monotonic time
 * @returns the request
 */
export function unpinResult (language: LanguageState, reason: RefusalReason, atMs: number): LanguageState {
  if (language.result === undefined) return language
  const { stalledAtId, isPinned, ...result } = language.result
  const evictsAtMs = isPinned ? atMs + result.evictsInMs : result.evictsAtMs
  const decodeId = language.reservation?.decodeId
  const isFirstStall = reason === 'transfer_stalled' && decodeId !== undefined && !language.failedIds.includes(decodeId)
  return { ...language, result: { ...result, evictsAtMs, isPinned: false, ...(isFirstStall && { stalledAtId: decodeId }) } }
}

/**
 * Goes by what its replica promised of a result, and no longer by what is likely: the last
 * attempt has no other to follow it.
 *
 * @param language - the request, in its last attempt
 * @returns the request
 */
export function relyOnPromise (language: LanguageState): LanguageState {
  const { result } = language
  return result === undefined ? language : { ...language, result: { ...result, evictsAtMs: result.promisedUntilMs } }
}

/**
 * Forgets the result.
 *
 * @param language - the request
 * @returns the request without it
 */
export function withoutResult ({ result, ...language }: LanguageState): LanguageState {
  return language
}

/**
 * Tells how long the result of a request may still be fetched.
 *
 * @param language - the request
 * @param atMs - monotonic time
 * @returns milliseconds, less the hop of the ask; 0 without result
 */
export function resultLifeMs ({ result }: LanguageState, atMs: number): number {
  return result === undefined ? 0 : Math.max(0, result.evictsAtMs - atMs - ASSUMED_HOP_MS)
}

/**
 * Plans the way to the KV cache of a request: the move of its result while
 * that lives, else the best prefill.
 *
 * @param state - state of an entry
 * @param language - the request
 * @param atMs - monotonic time
 * @returns the plan, or nothing when no prefill replica is left
 */
export function planKvCache (state: State, language: LanguageState, atMs: number): PrefillPlan | undefined {
  const { result } = language
  if (result === undefined) return choosePrefill(state, language, '', [], atMs)
  const { prefillId, kvBytes } = result
  const moveMs = transferMs(state, prefillId, prefillId, kvBytes, atMs)
  return { prefillId, expectedTokens: 0, moveMs, workMs: moveMs, wholeMs: 0, totalMs: moveMs }
}
