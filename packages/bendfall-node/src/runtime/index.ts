/**
 * The update path of a process, its timers and its readings of the platform.
 *
 * @module
 */
export { createSystemClock, systemClock } from './BendfallNodeClock.js'
export type { Clock } from './BendfallNodeClock.js'
export { backoffMs, pause } from './BendfallNodePause.js'
export { createRuntime } from './BendfallNodeRuntime.js'
export type { EffectHandler, EventInput, Runtime, StepListener } from './BendfallNodeRuntime.js'
export { createSignal } from './BendfallNodeSignal.js'
export type { Signal } from './BendfallNodeSignal.js'
export { createSuspensionWatch } from './BendfallNodeSuspension.js'
export { combineTeardowns, createTeardownStack } from './BendfallNodeTeardown.js'
export type { Teardown, TeardownStack } from './BendfallNodeTeardown.js'
export { scheduleTimeout } from './BendfallNodeTimeout.js'
export { registerTimers } from './BendfallNodeTimers.js'
export { createUpdateLoop } from './BendfallNodeUpdateLoop.js'
export type { UpdateLoop, WithoutTime } from './BendfallNodeUpdateLoop.js'
