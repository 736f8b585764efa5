/**
 * Retries of language requests, within a budget for each model: what a
 * failing pool may cost is a part of the traffic that it is offered.
 *
 * @module
 */
import type { Effect } from '../BendfallCoreEffects.js'
import { drawUnit } from '../BendfallCoreRandom.js'
import type { Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import type { ModelName, RefusalReason, RequestId } from '../BendfallCoreTypes.js'
import { cancelEffects, refuseLanguage } from './BendfallCoreEntryEnd.js'
import { DEFAULT_RETRY_AFTER_MS, FIRST_RETRY_PAUSE_MS, LONGEST_RETRY_PAUSE_MS, LONGEST_RETRY_PAUSE_SHARE, MAX_ATTEMPTS, MAX_UNDECODED_ATTEMPTS, RESUME_WAIT_MS, RETRY_BUDGET_MAX, RETRY_EARNED_PER_REQUEST, RETRY_PAUSE_GROWTH } from './BendfallCoreEntryPolicy.js'
import { askDecode } from './BendfallCoreEntryReserve.js'
import { relyOnPromise } from './BendfallCoreEntryResult.js'
import type { LanguageState } from './BendfallCoreEntryState.js'
import { andThen, entryOf, findLanguage, putLanguage, recordOf, step, updateEntry } from './BendfallCoreEntryUpdate.js'

/** Failures on the way from prefill to decode: they tell of slow processes and links, not of the request. */
const UNDECODED_REASONS: ReadonlySet<RefusalReason> = new Set(['lease_lapsed', 'prefill_lost', 'transfer_stalled'])

/** The second attempt follows at once. */
const FIRST_PAUSED_ATTEMPT = 3

/**
 * Earns a part of a retry for a model.
 *
 * @param state - state of an entry
 * @param model - the model
 * @returns the new state
 */
export function earnRetry (state: State, model: ModelName): State {
  const budgets = entryOf(state).retryBudgets
  const tokens = Math.min(RETRY_BUDGET_MAX, (budgets.get(model)?.tokens ?? RETRY_BUDGET_MAX) + RETRY_EARNED_PER_REQUEST)
  return updateEntry(state, { retryBudgets: budgets.set(model, { tokens }) })
}

/**
 * Pays for one retry.
 *
 * @param state - state of an entry
 * @param model - the model
 * @returns the new state, or nothing when the budget is spent
 */
export function spendRetry (state: State, model: ModelName): State | undefined {
  const budgets = entryOf(state).retryBudgets
  const tokens = budgets.get(model)?.tokens ?? RETRY_BUDGET_MAX
  if (tokens < 1) return undefined
  return updateEntry(state, { retryBudgets: budgets.set(model, { tokens: tokens - 1 }) })
}

/**
 * Gives up the live attempt and starts another, behind the tokens already
 * sent, or ends the request at once. The first retry is sent at once, since
 * another replica may serve; the next ones wait, each longer than the one
 * before: replicas that all stand still for a moment would take every attempt.
 *
 * @param state - state of an entry
 * @param language - the request
 * @param reason - why the attempt failed
 * @param atMs - monotonic time
 * @returns the step
 */
export function retryLanguage (state: State, language: LanguageState, reason: RefusalReason, atMs: number): Step {
  const { request } = language
  const failed = recordFailed(state, language, reason, atMs)
  const detail = `attempt ${language.attempt} failed`
  const paid = language.attempt >= mostAttempts(reason) ? undefined : spendRetry(state, request.model)
  if (paid === undefined) {
    const refused = refuseLanguage(state, language, { reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail }, atMs)
    return { state: refused.state, effects: [failed, ...refused.effects] }
  }
  const next = nextAttempt(language, atMs)
  const begun = step(
    putLanguage(paid, next),
    failed,
    ...cancelEffects(language),
    { type: 'count', metric: 'retries', value: 1, tags: { reason } },
    { type: 'set_timer', timer: { kind: 'first_output_deadline', id: request.requestId }, atMs: next.outputDueAtMs }
  )
  if (language.attempt === 1) return andThen(begun, (after) => askDecode(after, next, atMs))
  return andThen(begun, (after) => pauseRetry(after, next, atMs))
}

function mostAttempts (reason: RefusalReason): number {
  return UNDECODED_REASONS.has(reason) ? MAX_UNDECODED_ATTEMPTS : MAX_ATTEMPTS
}

// Half of the pause is drawn, so that requests that failed together do not come back together.
function pauseRetry (state: State, language: LanguageState, atMs: number): Step {
  const { requestId } = language.request
  const draw = drawUnit(state.seed)
  const inTimeMs = Math.max(0, language.outputDueAtMs - atMs) * LONGEST_RETRY_PAUSE_SHARE
  const grownMs = FIRST_RETRY_PAUSE_MS * RETRY_PAUSE_GROWTH ** (language.attempt - FIRST_PAUSED_ATTEMPT)
  const pauseMs = Math.min(grownMs, inTimeMs, LONGEST_RETRY_PAUSE_MS) * (1 + draw.value) / 2
  return step(
    putLanguage({ ...state, seed: draw.seed }, { ...language, phase: 'pausing' }),
    { type: 'set_timer', timer: { kind: 'retry', id: requestId }, atMs: atMs + pauseMs },
    recordOf(requestId, 'retry_paused', { attempt: language.attempt, pauseMs: Math.round(pauseMs) })
  )
}

/**
 * Starts the attempt that waited for its pause to end.
 *
 * @param state - state of an entry
 * @param requestId - the request
 * @param atMs - monotonic time
 * @returns the step; nothing for a request that does not wait
 */
export function endRetryPause (state: State, requestId: RequestId, atMs: number): Step {
  const language = findLanguage(state, requestId)
  if (language?.phase !== 'pausing') return stay(state)
  return askDecode(state, language, atMs)
}

function recordFailed (state: State, language: LanguageState, reason: RefusalReason, atMs: number): Effect {
  const { attempt, prefill, request, sentTokens } = language
  const sentAtMs = prefill?.transfer?.sentAtMs
  return recordOf(request.requestId, 'attempt_failed', {
    reason,
    attempt,
    tokens: sentTokens.size,
    retriesLeft: Math.floor(entryOf(state).retryBudgets.get(request.model)?.tokens ?? RETRY_BUDGET_MAX),
    ...(sentAtMs !== undefined && { decodeSentBeforeMs: Math.round(atMs - sentAtMs) })
  })
}

function nextAttempt (language: LanguageState, atMs: number): LanguageState {
  const { reservation, prefill, result, ...rest } = language
  const failedIds = reservation === undefined ? language.failedIds : [...language.failedIds, reservation.decodeId]
  const hasOutput = language.firstOutputAtMs !== undefined
  const next: LanguageState = {
    ...rest,
    // Once the attempt brought output, the result lacks tokens that were sent.
    ...(language.awaitsOutput && result !== undefined && { prefill, result }),
    attempt: language.attempt + 1,
    phase: 'reserving',
    reached: true,
    awaitsOutput: true,
    askedDecodeIds: [],
    askedPrefillIds: [],
    failedIds,
    outputDueAtMs: hasOutput ? atMs + RESUME_WAIT_MS : language.outputDueAtMs
  }
  return next.attempt === MAX_ATTEMPTS || next.attempt === MAX_UNDECODED_ATTEMPTS ? relyOnPromise(next) : next
}
