/**
 * Puts the slices together: the initial state and the reducer of a process.
 *
 * @module
 */
import { Map } from 'immutable'
import { lifecycleHandlers } from './BendfallCoreLifecycle.js'
import { createReducer } from './BendfallCoreReducer.js'
import type { Reducer } from './BendfallCoreReducer.js'
import type { Self, State } from './BendfallCoreState.js'
import { configHandlers } from './config/BendfallCoreConfigHandlers.js'
import { entryInputHandlers } from './entry/BendfallCoreEntryInput.js'
import type { EntryPolicy } from './entry/BendfallCoreEntryPolicy.js'
import { createEntryState } from './entry/BendfallCoreEntryState.js'
import { reportEntryStopped } from './entry/BendfallCoreEntryStop.js'
import { entrySubsetHandlers } from './entry/BendfallCoreEntrySubset.js'
import { entryHandlers } from './entry/BendfallCoreEntryHandlers.js'
import { entryCallHandlers } from './entry/calls/index.js'
import { createHomeState, homeHandlers } from './home/index.js'
import { membersHandlers } from './members/BendfallCoreMembersHandlers.js'
import { createSidecarState, sidecarHandlers } from './sidecar/index.js'

/**
 * Makes the state of a process that has just started.
 *
 * @param self - who the process is
 * @param seed - seed of all its random choices
 * @param entryPolicy - choices of an entry that differ from the default ones
 * @returns the state, without configuration and members
 */
export function createInitialState (self: Self, seed: number, entryPolicy: Partial<EntryPolicy> = {}): State {
  const shared = { self, seed, members: Map<string, never>(), stopping: false }
  if (self.role === 'entry') return { ...shared, entry: createEntryState(entryPolicy) }
  return { ...shared, sidecar: createSidecarState(), home: createHomeState() }
}

/**
 * Makes the reducer of bendfall's processes, the same for both roles.
 *
 * @returns the reducer
 */
export function createBendfallReducer (): Reducer {
  return reportEntryStopped(createReducer([
    lifecycleHandlers,
    configHandlers,
    membersHandlers,
    entryInputHandlers,
    entrySubsetHandlers,
    entryHandlers,
    entryCallHandlers,
    sidecarHandlers,
    homeHandlers
  ]))
}
