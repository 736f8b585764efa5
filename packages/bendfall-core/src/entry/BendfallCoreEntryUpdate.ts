/**
 * Replaces parts of the entry's slice.
 *
 * @module
 */
import type { Effect } from '../BendfallCoreEffects.js'
import type { Step } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import type { RequestId } from '../BendfallCoreTypes.js'
import type { EntryState, LanguageState } from './BendfallCoreEntryState.js'

/**
 * Reads the entry's slice.
 *
 * @param state - state of an entry
 * @returns the slice
 * @throws Error when the process is no entry
 */
export function entryOf (state: State): EntryState {
  if (state.entry === undefined) throw new Error(`process ${state.self.instanceId} is no entry`)
  return state.entry
}

/**
 * Replaces fields of the entry's slice.
 *
 * @param state - state of an entry
 * @param change - the fields to replace
 * @returns the new state
 */
export function updateEntry (state: State, change: Partial<EntryState>): State {
  return { ...state, entry: { ...entryOf(state), ...change } }
}

/**
 * Puts a language request in place.
 *
 * @param state - state of an entry
 * @param language - the request
 * @returns the new state
 */
export function putLanguage (state: State, language: LanguageState): State {
  return updateEntry(state, { requests: entryOf(state).requests.set(language.request.requestId, language) })
}

/**
 * Finds a language request that has not ended.
 *
 * @param state - state of an entry
 * @param requestId - the request
 * @returns the request, if it has not ended
 */
export function findLanguage (state: State, requestId: RequestId): LanguageState | undefined {
  return entryOf(state).requests.get(requestId)
}

/**
 * Makes a step.
 *
 * @param state - the state after the step
 * @param effects - the effects, in order
 * @returns the step
 */
export function step (state: State, ...effects: readonly Effect[]): Step {
  return { state, effects }
}

/**
 * Goes on from a step, keeping the effects in order.
 *
 * @param first - the step taken
 * @param next - makes the next step from the state it left
 * @returns both steps as one
 */
export function andThen (first: Step, next: (state: State) => Step): Step {
  const second = next(first.state)
  return { state: second.state, effects: [...first.effects, ...second.effects] }
}

/**
 * Makes a line of the time line about a request.
 *
 * @param requestId - the request
 * @param event - what happened
 * @param fields - details
 * @returns the effect
 */
export function recordOf (requestId: RequestId, event: string, fields: Readonly<Record<string, string | number | boolean>>): Effect {
  return { type: 'record', subject: requestId, event, fields }
}
