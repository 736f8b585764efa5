/**
 * Estimates when memory becomes free, from the remaining output of what runs.
 *
 * @module
 */
import type { TrafficClass } from '../BendfallCoreTypes.js'
import { freeBytes, heldBytes, roomBytes } from './BendfallCoreSidecarMemory.js'
import type { DecodeMemory, Reservation, SidecarState } from './BendfallCoreSidecarState.js'

/** Time of a decode step while none was measured or reported. */
export const DEFAULT_STEP_MS = 30

/** Expected time until the engine confirms a cancel. */
const RELEASE_MS = 100

/** Part of what is left of an output that outlasted its expected end. */
const LATE_SHARE = 0.25

/** Halvings of the time in which memory is freed: to a few milliseconds. */
const HALVINGS = 12

/** Time in which something that holds memory ends, each moment as likely as the others. */
interface EndRange {
  readonly fromMs: number
  readonly toMs: number
  readonly kvBytes: number
}

/** Place of a reservation among those that wait. */
export interface QueuePlace {
  readonly trafficClass: TrafficClass
  readonly kvBytes: number
  /** Bytes of the reservations that go first. */
  readonly bytesAhead: number
}

/**
 * Estimates the wait of a reservation for its memory.
 *
 * @param sidecar - the slice
 * @param place - place of the reservation
 * @param atMs - monotonic time
 * @returns milliseconds; Infinity when the memory can never hold it
 */
export function forecastReadyMs (sidecar: SidecarState, place: QueuePlace, atMs: number): number {
  const { memory } = sidecar
  const missing = place.kvBytes + place.bytesAhead - roomBytes(memory, place.trafficClass, place.kvBytes, atMs)
  if (missing <= 0) return 0
  const usable = memory.totalKvBytes - memory.foreignKvBytes
  if (place.kvBytes > usable) return Infinity
  return forecastFreedMs(sidecar, missing, usable, atMs)
}

/** What is missing may need the memory to turn over several times. */
function forecastFreedMs (sidecar: SidecarState, missing: number, usable: number, atMs: number): number {
  const turns = Math.ceil(missing / usable) - 1
  const ends = expectedEnds(sidecar, atMs)
  return turns * holdMs(sidecar.memory) + timeUntilFreed(ends, missing - turns * usable)
}

/**
 * Estimates how fast memory is freed while all of it is in use.
 *
 * @param memory - the account
 * @returns bytes a millisecond
 */
export function drainBytesPerMs (memory: DecodeMemory): number {
  const usable = Math.max(heldBytes(memory), heldBytes(memory) + freeBytes(memory))
  return usable / holdMs(memory)
}

/** Hold time before any was measured. */
const FIRST_HOLD_MS = 5_000

function holdMs (memory: DecodeMemory): number {
  return memory.meanHoldMs === 0 ? FIRST_HOLD_MS : memory.meanHoldMs
}

function expectedEnds (sidecar: SidecarState, atMs: number): EndRange[] {
  const ends: EndRange[] = []
  sidecar.reservations.forEach((reservation) => {
    if (reservation.phase !== 'queued') ends.push(endRange(sidecar.memory, reservation, atMs))
  })
  sidecar.releasing.forEach(({ kvBytes }) => { ends.push({ fromMs: 0, toMs: RELEASE_MS, kvBytes }) })
  return ends
}

/** When a reservation that holds memory may end. */
function endRange (memory: DecodeMemory, reservation: Reservation, atMs: number): EndRange {
  const { maxOutputTokens, kvBytes } = reservation.ask
  const stepMs = memory.stepMs === 0 ? DEFAULT_STEP_MS : memory.stepMs
  const madeTokens = reservation.tokenCount - resumedTokens(reservation)
  const shortestTokens = maxOutputTokens * Math.max(0, 2 * memory.outputShare - 1)
  const longestTokens = maxOutputTokens * Math.min(1, 2 * memory.outputShare)
  const leftTokens = Math.max(longestTokens - madeTokens, (maxOutputTokens - madeTokens) * LATE_SHARE)
  const startMs = startsInMs(reservation, atMs)
  const fromMs = Math.max(0, startMs + (shortestTokens - madeTokens) * stepMs)
  return { fromMs, toMs: Math.max(fromMs, startMs + leftTokens * stepMs), kvBytes }
}

/** When the output goes on: negative while tokens are on their way. */
function startsInMs (reservation: Reservation, atMs: number): number {
  if (reservation.phase === 'decoding') return -sinceTokensMs(reservation, atMs)
  return reservation.phase === 'importing' ? 0 : Math.max(0, reservation.expectedAtMs - atMs)
}

/**
 * Counts the tokens that earlier attempts made; the reservation covers those
 * behind them.
 *
 * @param reservation - the reservation
 * @returns tokens, 0 until the decode was asked for
 */
export function resumedTokens ({ decodeAsk }: Reservation): number {
  return decodeAsk?.resumeTokens.length ?? 0
}

function sinceTokensMs ({ tokensAtMs }: Reservation, atMs: number): number {
  return tokensAtMs === 0 ? 0 : atMs - tokensAtMs
}

/**
 * Finds when a number of bytes is expected to have been freed. Of many that may
 * end at any time some end early, so the first bytes come sooner than the first
 * mean of an end.
 */
function timeUntilFreed (ends: readonly EndRange[], kvBytes: number): number {
  let fromMs = 0
  let toMs = 0
  for (const end of ends) toMs = Math.max(toMs, end.toMs)
  for (let halving = 0; halving < HALVINGS; halving += 1) {
    const middleMs = (fromMs + toMs) / 2
    if (freedBytes(ends, middleMs) < kvBytes) fromMs = middleMs
    else toMs = middleMs
  }
  return Math.round(toMs)
}

function freedBytes (ends: readonly EndRange[], byMs: number): number {
  let sum = 0
  for (const { fromMs, toMs, kvBytes } of ends) {
    if (byMs >= toMs) sum += kvBytes
    else if (byMs > fromMs) sum += kvBytes * (byMs - fromMs) / (toMs - fromMs)
  }
  return sum
}
