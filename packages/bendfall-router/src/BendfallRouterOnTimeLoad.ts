/**
 * Observed load of the requests that are expected to meet their latency targets. Late requests wait behind them, also
 * behind those that still have to arrive, which the forecast of a queue does not show.
 *
 * @module
 */

/** Half-life of the load: bursts last some seconds, and a replica gets a few requests a second. */
const HALF_LIFE_MS = 2_000

/** Loads by priority, averaged over time. */
export interface OnTimeLoad {
  readonly byPriority: Map<number, { readonly perMs: number, readonly atMs: number }>
}

/** @returns no load */
export function createOnTimeLoad (): OnTimeLoad {
  return { byPriority: new Map() }
}

/**
 * Records a request that is expected to meet its target.
 *
 * @param load - changed in place
 * @param priority - priority of the request; lower values are served first
 * @param work - work of the request, in any unit
 * @param nowMs - current time
 */
export function recordOnTime ({ byPriority }: OnTimeLoad, priority: number, work: number, nowMs: number): void {
  byPriority.set(priority, { perMs: decayedPerMs(byPriority.get(priority), nowMs) + work * Math.LN2 / HALF_LIFE_MS, atMs: nowMs })
}

/**
 * Returns the work that arrives before a late request of a priority is served.
 *
 * @param load - observed load
 * @param priority - priority of the late request
 * @param nowMs - current time
 * @returns work per millisecond
 */
export function onTimePerMs ({ byPriority }: OnTimeLoad, priority: number, nowMs: number): number {
  let perMs = 0
  for (const [other, load] of byPriority) if (other <= priority) perMs += decayedPerMs(load, nowMs)
  return perMs
}

/**
 * Forecasts the wait of a late request.
 *
 * @param delayMs - wait behind the requests that have arrived
 * @param onTimeShare - share of the capacity that those need which arrive meanwhile and are on time
 * @returns milliseconds; infinite while they need all of it
 */
export function lateDelayMs (delayMs: number, onTimeShare: number): number {
  return delayMs === 0 ? 0 : delayMs / Math.max(0, 1 - onTimeShare)
}

function decayedPerMs (load: { readonly perMs: number, readonly atMs: number } | undefined, nowMs: number): number {
  return load === undefined ? 0 : load.perMs * 0.5 ** ((nowMs - load.atMs) / HALF_LIFE_MS)
}
