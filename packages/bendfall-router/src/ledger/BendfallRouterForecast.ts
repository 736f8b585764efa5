/**
 * Forecasts the decode memory of one replica: which request holds how much, until when.
 *
 * @module
 */
import { ROOM_HORIZONS_MS } from '../BendfallRouterTypes.js'

/** An allocation is held up to and including its end, so that its memory is free one millisecond later. */
const RELEASE_DELAY_MS = 1

/** Memory of one request over time, which grows linearly from its start to its end. */
export interface Allocation {
  readonly startMs: number
  readonly endMs: number
  readonly startTokens: number
  readonly endTokens: number
}

/** Capacity of a replica and the allocations of its requests over time. */
export interface Forecast {
  readonly nowMs: number
  readonly capacityTokens: number
  readonly allocations: readonly Allocation[]
}

/**
 * Returns the minimum free memory from a time on.
 *
 * @param forecast - capacity and allocations of the replica
 * @param fromMs - start of the period
 * @returns tokens; negative if memory is forecast to run out
 */
export function minRoom (forecast: Forecast, fromMs: number): number {
  const times = peakTimes(forecast.allocations, fromMs)
  return Math.min(...times.map((timeMs) => forecast.capacityTokens - occupiedAt(forecast.allocations, timeMs)))
}

/**
 * Returns the minimum free memory from each horizon on, counting only memory that is free now or released by then.
 *
 * @param forecast - capacity and allocations of the replica
 * @param freeTokens - memory that is free now
 * @returns tokens by the index of {@link ROOM_HORIZONS_MS}
 */
export function roomByHorizon (forecast: Forecast, freeTokens: number): number[] {
  return ROOM_HORIZONS_MS.map((horizonMs) => {
    const atMs = forecast.nowMs + horizonMs
    return Math.min(freeTokens + freedBy(forecast.allocations, atMs), minRoom(forecast, atMs))
  })
}

function freedBy (allocations: readonly Allocation[], atMs: number): number {
  return allocations.reduce((sum, { endMs, endTokens }) => endMs <= atMs ? sum + endTokens : sum, 0)
}

/**
 * Returns whether another request fits in addition to the others from its start to its end.
 *
 * @param forecast - capacity and allocations of the replica
 * @param added - memory of the additional request
 * @returns whether the memory suffices throughout
 */
export function fits (forecast: Forecast, added: Allocation): boolean {
  const all = [...forecast.allocations, added]
  return peakTimes(all, added.startMs)
    .filter((timeMs) => timeMs <= added.endMs)
    .every((timeMs) => occupiedAt(all, timeMs) <= forecast.capacityTokens)
}

/**
 * Returns the delay after which another request fits.
 *
 * @param forecast - capacity and allocations of the replica
 * @param added - memory of the additional request at its earliest start
 * @param minDelayMs - lower bound of the delay, for a request that starts after others
 * @returns delay of its start in milliseconds; infinite if it never fits
 */
export function delayUntilFit (forecast: Forecast, added: Allocation, minDelayMs = 0): number {
  if (fits(forecast, delayed(added, minDelayMs))) return minDelayMs
  const firstMs = added.startMs + minDelayMs
  const ends = forecast.allocations.map(({ endMs }) => endMs).filter((endMs) => endMs >= firstMs).sort((a, b) => a - b)
  for (const endMs of ends) {
    const delayMs = endMs + RELEASE_DELAY_MS - added.startMs
    if (fits(forecast, delayed(added, delayMs))) return delayMs
  }
  return Infinity
}

/**
 * Returns an allocation that starts later.
 *
 * @param allocation - memory of a request
 * @param delayMs - delay of its start and its end
 * @returns the same memory at the later time
 */
export function delayed (allocation: Allocation, delayMs: number): Allocation {
  return { ...allocation, startMs: allocation.startMs + delayMs, endMs: allocation.endMs + delayMs }
}

// Memory only grows between the ends of requests, so that it peaks at an end, at a start or at the
// beginning of the period.
function peakTimes (allocations: readonly Allocation[], fromMs: number): number[] {
  const times = [fromMs]
  for (const { endMs, startMs } of allocations) {
    if (endMs > fromMs) times.push(endMs)
    if (startMs > fromMs) times.push(startMs)
  }
  return times
}

function occupiedAt (allocations: readonly Allocation[], timeMs: number): number {
  let tokens = 0
  for (const { endMs, endTokens, startMs, startTokens } of allocations) {
    if (timeMs < startMs || timeMs > endMs) continue
    const share = endMs === startMs ? 1 : (timeMs - startMs) / (endMs - startMs)
    tokens += startTokens + share * (endTokens - startTokens)
  }
  return tokens
}
