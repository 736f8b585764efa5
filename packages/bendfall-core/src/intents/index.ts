/**
 * Intents and plans.
 *
 * @module
 */
export * from './BendfallCoreCanonical.js'
export type * from './BendfallCoreIntent.js'
export * from './BendfallCoreIntentCheck.js'
export * from './BendfallCorePlacement.js'
export * from './BendfallCorePlan.js'
export * from './BendfallCorePlanOrders.js'
export * from './BendfallCorePlanWaves.js'
