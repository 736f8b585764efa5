/**
 * Stand-ins for the external systems that bendfall depends on: the model
 * engine, a plain service, the key-value service, the instance list and the
 * weight store.
 *
 * @module
 */
export { createEngineStandIn } from './BendfallFakesEngine.js'
export type { EngineOptions, EngineSettings, EngineStandIn, EngineState } from './BendfallFakesEngine.js'
export { expectedTokens } from './BendfallFakesEngineDecode.js'
export type { AttemptView as HeldView } from './BendfallFakesEngineLedger.js'
export type { Fault, FaultMode } from './BendfallFakesFaults.js'
export { createInstanceListStandIn } from './BendfallFakesInstances.js'
export type { InstanceListOptions, InstanceListStandIn } from './BendfallFakesInstances.js'
export { createKeyValueStandIn } from './BendfallFakesKeyValue.js'
export type { KeyValueCall, KeyValueCalls, KeyValueOptions, KeyValueStandIn } from './BendfallFakesKeyValue.js'
export type { ListenOptions, StandIn } from './BendfallFakesServer.js'
export { createServiceStandIn } from './BendfallFakesService.js'
export type { ServiceOptions, ServiceRuns, ServiceStandIn } from './BendfallFakesService.js'
export { createWeightStoreStandIn } from './BendfallFakesWeightStore.js'
export type { WeightStoreOptions, WeightStoreStandIn } from './BendfallFakesWeightStore.js'
