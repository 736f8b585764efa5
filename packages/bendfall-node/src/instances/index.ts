/**
 * The instance list of a process: reading, keeping and handing over.
 *
 * @module
 */
export type { InstanceAnswer } from './BendfallNodeInstanceAnswer.js'
export { createInstanceMirror } from './BendfallNodeInstanceMirror.js'
export type { InstanceAsk, InstanceMirror } from './BendfallNodeInstanceMirror.js'
export { registerInstanceReader } from './BendfallNodeInstanceReader.js'
export type { InstanceReader, InstanceReaderOptions } from './BendfallNodeInstanceReader.js'
export { createInstanceRecords, isEmptyChange } from './BendfallNodeInstanceRecords.js'
export type { InstanceRecords } from './BendfallNodeInstanceRecords.js'
export { RETURN_HOLD_MS } from './BendfallNodeInstanceReturns.js'
