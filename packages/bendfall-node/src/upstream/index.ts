/**
 * Effects of a sidecar on the upstream beside it.
 *
 * @module
 */
export { clearEngine, registerEngine, registerEngineClear } from './BendfallNodeEngine.js'
export type { ClearHooks } from './BendfallNodeEngine.js'
export { registerService } from './BendfallNodeService.js'
