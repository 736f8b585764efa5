/**
 * Counts the calls of a process to the key-value service, whose rate grows
 * more slowly than the fleet.
 *
 * @module
 */
import type { KeyValuePort } from 'bendfall-platform'
import type { Clock } from '../runtime/BendfallNodeClock.js'

const WINDOW_MS = 10_000
const MS_PER_SECOND = 1_000

/** Calls of the port that reach the service. */
export type KeyValueCallName = Exclude<keyof KeyValuePort, 'close' | 'era' | 'onEra'>

/** A port that counts. */
export interface CountedKeyValue extends KeyValuePort {
  /** Calls begun so far, by name. */
  readonly calls: () => Readonly<Record<KeyValueCallName, number>>
  /** Calls a second over the last ten seconds; a waiting watch counts once. */
  readonly callsPerSecond: () => number
}

/**
 * Wraps a port so that it counts its calls.
 *
 * @param keyValue - the port
 * @param clock - source of time
 * @returns the counting port
 */
export function countKeyValueCalls (keyValue: KeyValuePort, clock: Clock): CountedKeyValue {
  const counts: Record<KeyValueCallName, number> = { get: 0, list: 0, compareAndSwap: 0, grantLease: 0, renewLease: 0, revokeLease: 0, watch: 0 }
  const recentAtMs: number[] = []

  function dropOld (): void {
    const sinceMs = clock.nowMs() - WINDOW_MS
    while (recentAtMs.length > 0 && recentAtMs[0] <= sinceMs) recentAtMs.shift()
  }

  function counted<Args extends unknown[], Outcome> (name: KeyValueCallName, call: (...args: Args) => Outcome): (...args: Args) => Outcome {
    return (...args) => {
      counts[name] += 1
      dropOld()
      recentAtMs.push(clock.nowMs())
      return call(...args)
    }
  }

  return {
    get: counted('get', keyValue.get),
    list: counted('list', keyValue.list),
    compareAndSwap: counted('compareAndSwap', keyValue.compareAndSwap),
    grantLease: counted('grantLease', keyValue.grantLease),
    renewLease: counted('renewLease', keyValue.renewLease),
    revokeLease: counted('revokeLease', keyValue.revokeLease),
    watch: counted('watch', keyValue.watch),
    era: keyValue.era,
    onEra: keyValue.onEra,
    close: keyValue.close,
    calls: () => ({ ...counts }),
    callsPerSecond: () => {
      dropOld()
      return recentAtMs.length * MS_PER_SECOND / WINDOW_MS
    }
  }
}
