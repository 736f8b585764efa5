/**
 * Ports and adapters for the platform's services.
 *
 * @module
 */
export { isArrayOf, isBoolean, isNumber, isObjectOf, isString, parseResponse } from './BendfallPlatformResponse.js'
export type { FieldCheck, Shape, ShapesByType } from './BendfallPlatformResponse.js'
export { createByteCollector } from './BendfallPlatformByteCollector.js'
export type { ByteCollector } from './BendfallPlatformByteCollector.js'
export { createHttpExchanger } from './BendfallPlatformHttp.js'
export type { HttpExchanger, HttpFailure, HttpOptions, HttpRequest, HttpResponse } from './BendfallPlatformHttp.js'
export { connectionEndOf, framingOf } from './BendfallPlatformHttpFraming.js'
export type { ConnectionEnd, ResponseFraming } from './BendfallPlatformHttpFraming.js'
export { createHeadEnd } from './BendfallPlatformHttpHeadEnd.js'
export type { HeadEnd } from './BendfallPlatformHttpHeadEnd.js'
export { createHttpInstanceList } from './BendfallPlatformHttpInstances.js'
export type { HttpInstanceListOptions } from './BendfallPlatformHttpInstances.js'
export { createHttpKeyValue } from './BendfallPlatformHttpKeyValue.js'
export type { HttpKeyValueOptions } from './BendfallPlatformHttpKeyValue.js'
export { InvalidStatusError, statusKindOf } from './BendfallPlatformHttpStatus.js'
export type { StatusKind } from './BendfallPlatformHttpStatus.js'
export type { InstanceListPort, InstancesOutcome } from './BendfallPlatformInstances.js'
export type { CompareAndSwap, EraChange, KeyValueEntry, KeyValuePort, LeaseOutcome, ListOutcome, ReadOutcome, WatchOutcome, WriteOutcome } from './BendfallPlatformKeyValue.js'
