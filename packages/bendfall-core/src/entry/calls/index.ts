/**
 * Calls of plain services at an entry.
 *
 * @module
 */
export { entryCallHandlers } from './BendfallCoreCallHandlers.js'
export { MAX_RETRY_TOKENS, createCallsState } from './BendfallCoreCallState.js'
export type { CallRecord, CallsState, HolderHint } from './BendfallCoreCallState.js'
