/**
 * Ends a stopping entry once nothing is open.
 *
 * @module
 */
import type { Reducer } from '../BendfallCoreReducer.js'
import { updateEntry } from './BendfallCoreEntryUpdate.js'

/**
 * Adds the effect `stopped` to the step after which a stopping entry has
 * nothing left to finish.
 *
 * @param reducer - the reducer to watch
 * @returns a reducer that reports the end of the drain, once
 */
export function reportEntryStopped (reducer: Reducer): Reducer {
  return (state, event) => {
    const step = reducer(state, event)
    const { entry, stopping } = step.state
    if (entry === undefined || !stopping || entry.stopped) return step
    if (entry.requests.size > 0 || entry.calls.pending.size > 0) return step
    return { state: updateEntry(step.state, { stopped: true }), effects: [...step.effects, { type: 'stopped' }] }
  }
}
