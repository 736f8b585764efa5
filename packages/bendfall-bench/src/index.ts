/**
 * Seeded measurement of the decision logic in virtual time against a naive twin.
 *
 * @module
 */
export { computeBound, computeCapacity, computeCapacityRate, computeNeeds } from './BendfallBenchBound.js'
export { createNaiveReducer, createNaiveState } from './naive/BendfallBenchNaive.js'
export { POLICIES } from './BendfallBenchPolicies.js'
export { runCell } from './BendfallBenchRun.js'
