/**
 * Holds back instances that were seen leaving or gone and are listed as live
 * again at the same address: a list that lags behind may show what was before.
 *
 * @module
 */
import type { InstanceChange, InstanceId, InstanceRecord } from 'bendfall-core'
import type { Clock } from '../runtime/BendfallNodeClock.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'

/** Longest time by which one source of the list may lag behind another. */
export const RETURN_HOLD_MS = 10_000

/** Holds back instances that return. */
export interface InstanceReturns {
  /**
   * @param change - a change of the list, not yet applied to the records
   * @returns the change without the instances that are held back
   */
  readonly filter: (change: InstanceChange) => InstanceChange
  /** Cancels all timers. */
  readonly close: Teardown
}

interface Departure {
  readonly address: string
  readonly cancel: Teardown
  isHolding: boolean
}

/**
 * Makes the filter of a process.
 *
 * @param clock - source of time
 * @param records - records of the list as last read
 * @param onReturn - told of an instance that is still listed as live after the hold
 * @returns the filter
 */
export function createInstanceReturns (clock: Clock, records: ReadonlyMap<InstanceId, InstanceRecord>, onReturn: (record: InstanceRecord) => void): InstanceReturns {
  const departures = new Map<InstanceId, Departure>()

  function noteDeparture (instanceId: InstanceId, address: string): void {
    departures.get(instanceId)?.cancel()
    const cancel = clock.callAt(clock.nowMs() + RETURN_HOLD_MS, () => release(instanceId))
    departures.set(instanceId, { address, cancel, isHolding: false })
  }

  function release (instanceId: InstanceId): void {
    const isHolding = departures.get(instanceId)?.isHolding
    departures.delete(instanceId)
    const record = records.get(instanceId)
    if (isHolding === true && record !== undefined) onReturn(record)
  }

  function mayShow (record: InstanceRecord): boolean {
    if (record.state === 'leaving') {
      noteDeparture(record.instanceId, record.address)
      return true
    }
    const departure = departures.get(record.instanceId)
    if (departure === undefined) return true
    departure.isHolding = departure.address === record.address
    return !departure.isHolding
  }

  return {
    filter: ({ changed, removed }) => {
      for (const instanceId of removed) noteDeparture(instanceId, records.get(instanceId)?.address ?? '')
      return { changed: changed.filter(mayShow), removed }
    },
    close: () => {
      for (const { cancel } of departures.values()) cancel()
      departures.clear()
    }
  }
}
