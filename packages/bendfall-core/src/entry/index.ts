/**
 * The entry role: routing, admission, retries and the path of a request.
 *
 * @module
 */
export { entryHandlers } from './BendfallCoreEntryHandlers.js'
export { DEFAULT_ENTRY_POLICY, HEARTBEAT_MS } from './BendfallCoreEntryPolicy.js'
export type { DecodeChoice, EntryPolicy, PrefillChoice } from './BendfallCoreEntryPolicy.js'
export { createEntryState } from './BendfallCoreEntryState.js'
export { reportEntryStopped } from './BendfallCoreEntryStop.js'
export { entrySubsetHandlers } from './BendfallCoreEntrySubset.js'
export type { EntryState, LanguageState } from './BendfallCoreEntryState.js'
