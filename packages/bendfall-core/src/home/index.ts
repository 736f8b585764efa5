/**
 * The home of idempotency keys at a sidecar.
 *
 * @module
 */
export { homeHandlers } from './BendfallCoreHomeHandlers.js'
export { isHomeDraining } from './BendfallCoreHomeRules.js'
export { HOME_SLOT_COUNT, MAX_HOME_CANDIDATES, assignHomeSlots, fairSlotCount, homeCandidates, homeSlot, rankHomeCandidates } from './BendfallCoreHomeSlots.js'
export { DEFAULT_HOME_LIMITS, LONGEST_CALL_MS, createHomeState } from './BendfallCoreHomeState.js'
export type { CallEnd, CallWaiter, ClaimWaiter, HomeKeyId, HomeLimits, HomeState, KeyExpiry, KeyRecord } from './BendfallCoreHomeState.js'
