/**
 * Membership: what this process believes of each instance.
 *
 * @module
 */
import type { InstanceRecord } from '../BendfallCoreConfig.js'
import type { LoadView } from '../BendfallCoreMessages.js'
import type { InstanceState, PoolName } from '../BendfallCoreTypes.js'

/** An instance as this process sees it. */
export interface Member {
  readonly record: InstanceRecord
  readonly state: InstanceState
  /** Pool in force: the configuration's assignment, else the list's label. */
  readonly pool: PoolName
  /** Last load heard, from any answer. */
  readonly load?: LoadView
  readonly loadSeenAtMs: number
  /** Until when the instance is left out after it failed to answer. */
  readonly suspectedUntilMs: number
  /** Process that sent the last load, where known. */
  readonly incarnation?: string
  /** Set once the process itself said that it drains. */
  readonly drainSaid?: DrainSaid
  /** When the list stopped showing the instance; absent while it is listed. */
  readonly goneSinceMs?: number
}

/** What a process said about its own drain. */
export interface DrainSaid {
  /** When it was last heard. */
  readonly atMs: number
  /** Configuration version in force at the process when it said so. */
  readonly configVersion: number
}
