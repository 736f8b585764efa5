/**
 * Ends a language request: one outcome, once, and nothing left held.
 *
 * @module
 */
import type { Effect } from '../BendfallCoreEffects.js'
import type { Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import type { Outcome, RefusalReason, RequestId } from '../BendfallCoreTypes.js'
import { returnShare } from './BendfallCoreEntryShares.js'
import type { LanguageState } from './BendfallCoreEntryState.js'
import { entryOf, findLanguage, recordOf, updateEntry } from './BendfallCoreEntryUpdate.js'

const MS_PER_SECOND = 1000

/** Why and how a request is refused. */
export interface Refusal {
  readonly reason: RefusalReason
  readonly retryAfterMs: number
  readonly detail: string
}

/**
 * Refuses a request at once. The outcome is `not_run` only while no engine
 * can have worked for it.
 *
 * @param state - state of an entry
 * @param language - the request
 * @param refusal - why, and when to come back
 * @param atMs - monotonic time
 * @returns the step that ends the request
 */
export function refuseLanguage (state: State, language: LanguageState, refusal: Refusal, atMs: number): Step {
  const outcome = language.reached ? 'unknown' : 'not_run'
  return endLanguage(state, language, outcome, refusal, atMs)
}

/**
 * Ends a request whose whole output was sent.
 *
 * @param state - state of an entry
 * @param language - the request
 * @param atMs - monotonic time
 * @returns the step that ends the request
 */
export function finishLanguage (state: State, language: LanguageState, atMs: number): Step {
  return endLanguage(state, language, 'answered', { reason: 'bad_request', retryAfterMs: 0, detail: '' }, atMs)
}

/**
 * Ends a request whose caller has gone.
 *
 * @param state - state of an entry
 * @param requestId - the request
 * @param reason - why the caller counts as gone
 * @param atMs - monotonic time
 * @returns the step; nothing for a request that has ended
 */
export function cancelLanguage (state: State, requestId: RequestId, reason: 'closed' | 'slow_reader', atMs: number): Step {
  const language = findLanguage(state, requestId)
  if (language === undefined) return stay(state)
  const refusal: Refusal = { reason: reason === 'slow_reader' ? 'slow_reader' : 'caller_left', retryAfterMs: 0, detail: 'the caller left' }
  return endLanguage(state, language, 'cancelled', refusal, atMs)
}

function endLanguage (state: State, language: LanguageState, outcome: Outcome, refusal: Refusal, atMs: number): Step {
  const requestId = language.request.requestId
  const returned = outcome === 'not_run' ? returnShare(state, language, atMs) : state
  const next = updateEntry(returned, { requests: entryOf(returned).requests.delete(requestId) })
  const effects = [
    ...(outcome === 'answered' ? [] : cancelEffects(language)),
    clearTimer('first_output_deadline', requestId),
    ...(language.phase === 'pausing' ? [clearTimer('retry', requestId)] : []),
    ...settleEffects(language, outcome),
    ...measureEffects(state, language, outcome, refusal, atMs),
    endEffect(language, outcome, refusal)
  ]
  return { state: next, effects }
}

function clearTimer (kind: 'first_output_deadline' | 'retry', id: string): Effect {
  return { type: 'clear_timer', timer: { kind, id } }
}

/**
 * Makes the cancels that free all that the live attempt may hold.
 *
 * @param language - the request
 * @returns one cancel for each instance that was given work
 */
export function cancelEffects (language: LanguageState): readonly Effect[] {
  const { requestId } = language.request
  const instanceIds = new Set<string>()
  const asked = language.askedDecodeIds.at(-1)
  if (asked !== undefined) instanceIds.add(asked)
  if (language.prefill !== undefined) instanceIds.add(language.prefill.prefillId)
  return [...instanceIds].map((instanceId): Effect => ({ type: 'send_cancel', instanceId, requestId, attempt: language.attempt }))
}

function settleEffects (language: LanguageState, outcome: Outcome): readonly Effect[] {
  const { request, keyHomeId } = language
  if (keyHomeId === undefined) return []
  const body = new TextEncoder().encode(JSON.stringify(language.sentTokens.toArray()))
  return [{
    type: 'send_key_settled',
    instanceId: keyHomeId,
    requestId: request.requestId,
    pool: language.keyPool,
    idempotencyKey: request.idempotencyKey,
    answered: outcome === 'answered',
    body
  }]
}

function endEffect (language: LanguageState, outcome: Outcome, refusal: Refusal): Effect {
  const end = {
    requestId: language.request.requestId,
    outcome,
    retryAfterMs: refusal.retryAfterMs,
    detail: refusal.detail,
    ...(outcome !== 'answered' && { reason: refusal.reason })
  }
  return { type: 'end_request', end, trafficClass: language.request.trafficClass }
}

function measureEffects (state: State, language: LanguageState, outcome: Outcome, refusal: Refusal, atMs: number): readonly Effect[] {
  const { requestId, trafficClass } = language.request
  const tags = { trafficClass, outcome, reason: outcome === 'answered' ? 'none' : refusal.reason }
  const durationMs = atMs - language.arrivedAtMs
  const inTime = outcome === 'answered' && isInTime(state, language, atMs)
  return [
    { type: 'count', metric: 'requests', value: 1, tags },
    { type: 'count', metric: 'goodput', value: inTime ? 1 : 0, tags: { trafficClass } },
    { type: 'measure', metric: 'request_duration', valueMs: durationMs, tags },
    recordOf(requestId, 'request_ended', { outcome, reason: tags.reason, attempt: language.attempt, tokens: language.sentTokens.size, inTime })
  ]
}

function isInTime (state: State, language: LanguageState, atMs: number): boolean {
  const targets = state.config?.classes[language.request.trafficClass]
  if (targets === undefined || language.firstOutputAtMs === undefined) return false
  const firstMs = language.firstOutputAtMs - language.arrivedAtMs
  const steps = Math.max(1, language.sentTokens.size - 1)
  const stepMs = (atMs - language.firstOutputAtMs) / steps
  return firstMs <= language.request.firstOutputMs && stepMs <= targets.stepMs
}

/**
 * Rounds a wait up to what `Retry-After` can say.
 *
 * @param waitMs - the wait
 * @returns whole seconds, at least one, in milliseconds
 */
export function wholeSecondsMs (waitMs: number): number {
  return Math.max(1, Math.ceil(waitMs / MS_PER_SECOND)) * MS_PER_SECOND
}
