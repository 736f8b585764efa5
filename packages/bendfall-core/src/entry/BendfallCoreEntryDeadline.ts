/**
 * Gives up on requests that missed their deadline.
 *
 * @module
 */
import type { Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import type { RequestId } from '../BendfallCoreTypes.js'
import { refuseLanguage } from './BendfallCoreEntryEnd.js'
import { DEFAULT_RETRY_AFTER_MS } from './BendfallCoreEntryPolicy.js'
import { findLanguage, putLanguage, step } from './BendfallCoreEntryUpdate.js'

/** Part of the target by which a request that already decodes may be late. */
const DECODING_GRACE = 0.5

/**
 * Handles the deadline of a request's first output. A request that is about
 * to bring output gets a short grace, since its work is done; once only.
 *
 * @param state - state of an entry
 * @param requestId - the request
 * @param atMs - monotonic time
 * @returns the step
 */
export function missDeadline (state: State, requestId: RequestId, atMs: number): Step {
  const language = findLanguage(state, requestId)
  if (language === undefined || atMs < language.outputDueAtMs) return stay(state)
  const dueAtMs = language.outputDueAtMs + language.request.firstOutputMs * DECODING_GRACE
  const isFirstMiss = language.outputDueAtMs === language.arrivedAtMs + language.request.firstOutputMs
  if (language.phase === 'decoding' && isFirstMiss) {
    return step(
      putLanguage(state, { ...language, outputDueAtMs: dueAtMs }),
      { type: 'set_timer', timer: { kind: 'first_output_deadline', id: requestId }, atMs: dueAtMs }
    )
  }
  return refuseLanguage(state, language, { reason: 'deadline', retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail: 'no output within the deadline' }, atMs)
}
