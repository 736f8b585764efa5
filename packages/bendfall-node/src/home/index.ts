/**
 * Holders of key homes.
 *
 * @module
 */
export type { HolderIdentity } from './BendfallNodeHomeEntry.js'
export { registerHomeHolder } from './BendfallNodeHomeHolder.js'
export type { HomeHolderOptions } from './BendfallNodeHomeHolder.js'
export { DEFAULT_HOME_HOLDER_TIMES } from './BendfallNodeHomeTimes.js'
export type { HomeHolderTimes } from './BendfallNodeHomeTimes.js'
