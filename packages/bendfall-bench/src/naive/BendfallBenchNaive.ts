/**
 * The naive twin: the same events and effects as the real logic, decided in
 * the simplest way that works when nothing is scarce and nothing fails.
 *
 * @module
 */
import { createReducer } from 'bendfall-core'
import type { Reducer } from 'bendfall-core'
import { naiveEntry } from './BendfallBenchNaiveEntry.js'
import { naiveSidecar } from './BendfallBenchNaiveSidecar.js'

export { createNaiveState } from './BendfallBenchNaiveState.js'

/**
 * Creates the reducer of the naive twin, for both roles.
 *
 * @returns the reducer
 */
export function createNaiveReducer (): Reducer {
  return createReducer([naiveEntry, naiveSidecar])
}
