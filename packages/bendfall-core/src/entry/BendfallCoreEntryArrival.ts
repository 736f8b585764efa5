/**
 * Admits a language request or refuses it at once.
 *
 * @module
 */
import { List } from 'immutable'
import type { EventHandler, Step } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import type { LanguageRequest } from '../BendfallCoreEvents.js'
import type { PoolName } from '../BendfallCoreTypes.js'
import { claimKey } from './BendfallCoreEntryKeyClaim.js'
import { refuseLanguage, wholeSecondsMs } from './BendfallCoreEntryEnd.js'
import type { Refusal } from './BendfallCoreEntryEnd.js'
import { plannedMs } from './BendfallCoreEntryEstimate.js'
import { DEFAULT_RETRY_AFTER_MS } from './BendfallCoreEntryPolicy.js'
import { choosePrefill, kvBytesPerToken } from './BendfallCoreEntryPrefillChoice.js'
import type { PrefillPlan } from './BendfallCoreEntryPrefillChoice.js'
import { askDecode } from './BendfallCoreEntryReserve.js'
import { earnRetry } from './BendfallCoreEntryRetry.js'
import { isOverShare, markScarce, takeShare } from './BendfallCoreEntryShares.js'
import type { LanguageState } from './BendfallCoreEntryState.js'
import { andThen, entryOf, putLanguage, recordOf, step } from './BendfallCoreEntryUpdate.js'

type Check = (state: State, language: LanguageState, atMs: number) => Refusal | undefined

// In order: what makes every later check meaningless comes first.
const checks: readonly Check[] = [
  checkStopping,
  checkConfig,
  checkModel,
  checkShare
]

/**
 * Handles the arrival of a language request.
 *
 * @param state - state of an entry
 * @param event - the arrival
 * @returns the step that asks for a reservation or ends the request
 */
export const arriveLanguage: EventHandler<'language_request_arrived'> = (state, event) => {
  const { request, atMs } = event
  const language = newLanguage(state, request, atMs)
  for (const check of checks) {
    const refusal = check(state, language, atMs)
    if (refusal !== undefined) return refuseLanguage(state, language, refusal, atMs)
  }
  if (!entryOf(state).policy.admitByDeadline) return admit(state, language, undefined, atMs)
  const plan = choosePrefill(state, language, '', [], atMs)
  const late = checkDeadline(language, plan, atMs)
  if (late !== undefined) return refuseLanguage(noteScarcity(state, late, atMs), language, late, atMs)
  return admit(state, language, plan, atMs)
}

function newLanguage (state: State, request: LanguageRequest, atMs: number): LanguageState {
  return {
    request,
    arrivedAtMs: atMs,
    outputDueAtMs: atMs + request.firstOutputMs,
    attempt: 1,
    phase: 'reserving',
    askedDecodeIds: [],
    askedPrefillIds: [],
    failedIds: [],
    sentTokens: List(),
    awaitsOutput: true,
    reached: false,
    keyPool: request.idempotencyKey === '' ? '' : keyPoolOf(state, request),
    claimAsks: 0,
    sharedKvBytes: 0
  }
}

function keyPoolOf (state: State, request: LanguageRequest): PoolName {
  const pools = Object.entries(state.config?.pools ?? {})
  return pools.find(([, pool]) => pool.role === 'decode' && pool.model === request.model)?.[0] ?? ''
}

function admit (state: State, language: LanguageState, plan: PrefillPlan | undefined, atMs: number): Step {
  const { request } = language
  const sharedKvBytes = wholeKvBytes(state, request)
  const admitted = { ...language, sharedKvBytes }
  const counted = takeShare(earnRetry(state, request.model), request.clientId, sharedKvBytes, atMs)
  const arrived = step(
    putLanguage(counted, admitted),
    { type: 'set_timer', timer: { kind: 'first_output_deadline', id: request.requestId }, atMs: admitted.outputDueAtMs },
    recordOf(request.requestId, 'request_admitted', { trafficClass: request.trafficClass, model: request.model, promptTokens: request.promptTokens })
  )
  return andThen(arrived, (next) => admitted.keyPool === '' ? askDecode(next, admitted, atMs, plan) : claimKey(next, admitted, atMs))
}

function wholeKvBytes (state: State, request: LanguageRequest): number {
  return (request.promptTokens + request.maxOutputTokens) * kvBytesPerToken(state, request)
}

function checkStopping (state: State): Refusal | undefined {
  if (!state.stopping) return undefined
  return { reason: 'draining', retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail: 'this entry is stopping' }
}

function checkConfig (state: State): Refusal | undefined {
  if (state.config !== undefined) return undefined
  return { reason: 'config_missing', retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail: 'no confirmed configuration was learned yet' }
}

function checkModel (state: State, language: LanguageState): Refusal | undefined {
  const { model } = language.request
  if (state.config?.models[model] !== undefined) return undefined
  return { reason: 'model_unknown', retryAfterMs: 0, detail: `model ${model} is not in the configuration` }
}

// An interactive request takes so little that a share would save nothing.
function checkShare (state: State, language: LanguageState, atMs: number): Refusal | undefined {
  if (language.request.trafficClass === 'interactive') return undefined
  if (!isOverShare(state, language.request.clientId, wholeKvBytes(state, language.request), atMs)) return undefined
  return { reason: 'client_share', retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail: 'capacity is scarce and the client holds more than its share' }
}

function checkDeadline (language: LanguageState, plan: PrefillPlan | undefined, atMs: number): Refusal | undefined {
  if (plan === undefined) return { reason: 'no_upstream', retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail: 'no live prefill replica' }
  const lateMs = plan.totalMs - plannedMs(language, atMs)
  if (lateMs <= 0) return undefined
  return { reason: 'deadline', retryAfterMs: wholeSecondsMs(lateMs), detail: 'the prefill queue is longer than the deadline allows' }
}

function noteScarcity (state: State, refusal: Refusal, atMs: number): State {
  return refusal.reason === 'deadline' ? markScarce(state, atMs) : state
}
