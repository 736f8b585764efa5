/**
 * Foresees the decode memory of one replica: who occupies how much, until when.
 *
 * @module
 */
import { ROOM_HORIZONS_MS } from '../BendfallRouterTypes.js'

/** An occupant holds its memory up to and with its end. */
const AFTER_END_MS = 1

/** Memory of one request over time; it grows from its start to its end, linearly. */
export interface Occupant {
  readonly startMs: number
  readonly endMs: number
  readonly startTokens: number
  readonly endTokens: number
}

/** Memory that a replica's requests occupy over time. */
export interface Forecast {
  readonly nowMs: number
  readonly capacityTokens: number
  readonly occupants: readonly Occupant[]
}

/**
 * Smallest room from a time on.
 *
 * @param forecast - occupants and capacity
 * @param fromMs - the time
 * @returns tokens; negative when memory will run out
 */
export function smallestRoom (forecast: Forecast, fromMs: number): number {
  const times = peakTimes(forecast.occupants, fromMs)
  return Math.min(...times.map((timeMs) => forecast.capacityTokens - occupiedAt(forecast.occupants, timeMs)))
}

/**
 * Smallest room from each horizon on, as far as it is free already or freed by then.
 *
 * @param forecast - occupants and capacity
 * @param freeTokens - memory that is free now
 * @returns tokens by the index of {@link ROOM_HORIZONS_MS}
 */
export function roomByHorizon (forecast: Forecast, freeTokens: number): number[] {
  return ROOM_HORIZONS_MS.map((horizonMs) => {
    const atMs = forecast.nowMs + horizonMs
    return Math.min(freeTokens + freedBy(forecast.occupants, atMs), smallestRoom(forecast, atMs))
  })
}

function freedBy (occupants: readonly Occupant[], atMs: number): number {
  return occupants.reduce((sum, { endMs, endTokens }) => endMs <= atMs ? sum + endTokens : sum, 0)
}

/**
 * Tells whether another request fits beside the others from its start to its end.
 *
 * @param forecast - occupants and capacity
 * @param added - the other request
 * @returns whether memory suffices all the while
 */
export function fits (forecast: Forecast, added: Occupant): boolean {
  const all = [...forecast.occupants, added]
  return peakTimes(all, added.startMs)
    .filter((timeMs) => timeMs <= added.endMs)
    .every((timeMs) => occupiedAt(all, timeMs) <= forecast.capacityTokens)
}

/**
 * First time at which another request fits.
 *
 * @param forecast - occupants and capacity
 * @param added - the other request, from its earliest start
 * @returns delay of its start in milliseconds; infinite when it never fits
 */
export function delayUntilFit (forecast: Forecast, added: Occupant): number {
  if (fits(forecast, added)) return 0
  const ends = forecast.occupants.map(({ endMs }) => endMs).filter((endMs) => endMs > added.startMs).sort((a, b) => a - b)
  for (const endMs of ends) {
    const delayMs = endMs + AFTER_END_MS - added.startMs
    if (fits(forecast, { ...added, startMs: added.startMs + delayMs, endMs: added.endMs + delayMs })) return delayMs
  }
  return Infinity
}

// Memory only grows between the ends of requests, so that it peaks at an end
// or at the time asked for.
function peakTimes (occupants: readonly Occupant[], fromMs: number): number[] {
  const times = [fromMs]
  for (const { endMs, startMs } of occupants) {
    if (endMs > fromMs) times.push(endMs)
    if (startMs > fromMs) times.push(startMs)
  }
  return times
}

function occupiedAt (occupants: readonly Occupant[], timeMs: number): number {
  let tokens = 0
  for (const { endMs, endTokens, startMs, startTokens } of occupants) {
    if (timeMs < startMs || timeMs > endMs) continue
    const share = endMs === startMs ? 1 : (timeMs - startMs) / (endMs - startMs)
    tokens += startTokens + share * (endTokens - startTokens)
  }
  return tokens
}
