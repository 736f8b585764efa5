/**
 * Compares the KV cache that an engine made with the configured size of one.
 *
 * @module
 */
import type { State } from '../BendfallCoreState.js'
import type { Refusal } from './BendfallCoreEntryEnd.js'
import { kvBytesPerToken, promptTokens } from './BendfallCoreEntryPrefillChoice.js'
import type { LanguageState } from './BendfallCoreEntryState.js'

/**
 * Finds a configured size under which no decode replica can take the cache: the
 * memory reserved by it does not even hold the prompt. Another attempt would
 * end alike.
 *
 * @param state - state of an entry
 * @param language - the request, with its reservation
 * @param kvBytes - size of the cache that the prefill made
 * @returns the refusal that names the setting; nothing when the cache fits
 */
export function findTooSmallCache (state: State, language: LanguageState, kvBytes: number): Refusal | undefined {
  const reservedBytes = language.reservation?.kvBytes ?? Infinity
  if (kvBytes <= reservedBytes) return undefined
  const { request } = language
  const tokens = promptTokens(language)
  const place = `configuration ${state.config?.version ?? 0}#/models/${request.model}/kvBytesPerToken`
  const wanted = `expected at least ${Math.ceil(kvBytes / tokens)}, found ${kvBytesPerToken(state, request)}`
  const detail = `${place}: ${wanted}; the engine made ${kvBytes} bytes for ${tokens} tokens, ${reservedBytes} were reserved`
  return { reason: 'config_invalid', retryAfterMs: 0, detail }
}
