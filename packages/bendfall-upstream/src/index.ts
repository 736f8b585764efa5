/**
 * Ports and adapters for model engines and plain services.
 *
 * @module
 */
export type { AttemptRef, EngineDecode, EngineDecodeOutcome, EngineImport, EngineImportOutcome, EngineOrderOutcome, EnginePort, EnginePrefill, EnginePrefillOutcome } from './BendfallUpstreamEngine.js'
export { createHttpEngine } from './BendfallUpstreamHttpEngine.js'
export type { HttpEngineOptions } from './BendfallUpstreamHttpEngine.js'
export { createHttpService } from './BendfallUpstreamHttpService.js'
export type { HttpServiceOptions } from './BendfallUpstreamHttpService.js'
export type { ServiceCall, ServiceCallOutcome, ServicePort } from './BendfallUpstreamService.js'
