/**
 * The policies that a run can drive, by name. An earlier version of a decision
 * stays here as an option of the reducer, so that it runs beside today's.
 *
 * @module
 */
import { createBendfallReducer, createInitialState } from 'bendfall-core'
import type { EntryPolicy, Reducer, Self, State } from 'bendfall-core'
import { createNaiveReducer, createNaiveState } from './naive/BendfallBenchNaive.js'

/** Decision logic that the bench can drive. */
export interface Policy {
  readonly createReducer: () => Reducer
  /** Makes the first state of a process. */
  readonly createState: (self: Self, seed: number) => State
}

/** Policies of the whole table; the others run at two loads without faults. */
export const TABLE_POLICIES = ['naive', 'current'] as const

/** All policies; the first is the one that the others are measured against. */
export const POLICIES: Readonly<Record<string, Policy>> = {
  naive: { createReducer: createNaiveReducer, createState: createNaiveState },
  current: withEntryPolicy({}),
  carp: withEntryPolicy({ prefillChoice: 'carp' }),
  mod_ring: withEntryPolicy({ prefillChoice: 'mod_ring' }),
  no_affinity: withEntryPolicy({ prefillChoice: 'least_completion' }),
  no_just_in_time: withEntryPolicy({ justInTime: false }),
  no_shares: withEntryPolicy({ clientShares: false }),
  ring: withEntryPolicy({ prefillChoice: 'ring' })
}

function withEntryPolicy (policy: Partial<EntryPolicy>): Policy {
  return {
    createReducer: createBendfallReducer,
    createState: (self, seed) => createInitialState(self, seed, policy)
  }
}
