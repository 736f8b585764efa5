/**
 * Port of the platform's list of instances, which lags behind their actual state.
 *
 * @module
 */
import type { InstanceRecord } from 'bendfall-core'

/** Result of a read of the instance list. */
export type InstancesOutcome =
  | { readonly type: 'listed', readonly instances: readonly InstanceRecord[] }
  | { readonly type: 'unavailable', readonly detail: string }

/** Access to the platform's instance list. Never throws. */
export interface InstanceListPort {
  /**
   * Reads the list. If nothing changed, the outcome may hold the same array as before, so that
   * callers can detect this without comparing records.
   */
  readonly list: () => Promise<InstancesOutcome>
  readonly close: () => Promise<void>
}
