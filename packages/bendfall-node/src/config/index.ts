/**
 * Learning and handing over the configuration.
 *
 * @module
 */
export type { ConfigAsk, ConfigPeers, InstanceListAsk, PeerAnswer } from './BendfallNodeConfigContext.js'
export { createConfigHistory } from './BendfallNodeConfigHistory.js'
export type { ConfigAnswer, ConfigHistory } from './BendfallNodeConfigHistory.js'
export { registerConfigLearner } from './BendfallNodeConfigLearner.js'
export type { ConfigLearner, ConfigLearnerOptions } from './BendfallNodeConfigLearner.js'
export { diffConfig, patchConfig } from './BendfallNodeConfigPatch.js'
export type { ConfigPatch } from './BendfallNodeConfigPatch.js'
export { createConfigPeers, readAsk, writeAnswer } from './BendfallNodeConfigPeers.js'
export { registerConfigTree } from './BendfallNodeConfigTree.js'
export type { ConfigTree } from './BendfallNodeConfigTree.js'
export { countKeyValueCalls } from './BendfallNodeKeyValueCount.js'
export type { CountedKeyValue, KeyValueCallName } from './BendfallNodeKeyValueCount.js'
