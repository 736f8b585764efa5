/**
 * Pure decision logic: one reducer over all events, effects as data.
 *
 * @module
 */
export type * from './BendfallCoreConfig.js'
export type * from './BendfallCoreEffects.js'
export type * from './BendfallCoreEvents.js'
export * from './BendfallCoreHash.js'
export type * from './BendfallCoreMessages.js'
export * from './BendfallCoreNode.js'
export * from './BendfallCoreRandom.js'
export * from './BendfallCoreReducer.js'
export type * from './BendfallCoreState.js'
export type * from './BendfallCoreTypes.js'
export * from './config/BendfallCoreConfigCodec.js'
export * from './config/BendfallCoreConfigHandlers.js'
export * from './config/BendfallCoreConfigTree.js'
export * from './entry/calls/index.js'
export * from './home/index.js'
export * from './entry/index.js'
export * from './intents/index.js'
export type * from './members/BendfallCoreMembers.js'
export * from './members/BendfallCoreMemberSelectors.js'
export * from './members/BendfallCoreMembersHandlers.js'
export * from './members/BendfallCoreMemberState.js'
export * from './sidecar/index.js'
