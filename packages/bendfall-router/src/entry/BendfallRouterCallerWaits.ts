/**
 * Learns how long the callers of a route wait in all, so that one which returns is told from
 * one which comes for the first time by how much of that is left.
 *
 * It answers a crowd in which callers that were refused return: their answers can't be on time
 * any more, and must not take the place of those that can. Callers of one route may wait for
 * different times; one that waits less than others is not late for it.
 *
 * @module
 */

/** Waits of a route's callers. */
export interface CallerWaits {
  /** The newest, in no order. */
  readonly newestMs: number[]
  /** Place of the next one. */
  next: number
  /** Until when those that were refused may return. */
  returnsUntilMs: number
}

/** Callers whose waits are kept. */
const KEPT = 200

/** Callers that must be known before one is taken for returning. */
const LEAST_KNOWN = 8

/** Time in which callers that were refused return; what those wait that come meanwhile is not learned. */
const RETURNS_MS = 6_000

/** Share of the callers that may have returned, or wait less than most, without the others being taken for it. */
const SHORTER_SHARE = 0.25

/**
 * Makes an empty record.
 *
 * @returns the record
 */
export function createCallerWaits (): CallerWaits {
  return { newestMs: [], next: 0, returnsUntilMs: -Infinity }
}

/**
 * Notes how long a caller waits, and tells how long ago it may have come for the first time.
 *
 * @param waits - changed in place
 * @param waitMs - time that the caller has left
 * @param nowMs - the time
 * @returns milliseconds; 0 for one that waits as long as most
 */
export function noteCallerWait (waits: CallerWaits, waitMs: number, nowMs: number): number {
  if (waits.newestMs.length < LEAST_KNOWN || nowMs >= waits.returnsUntilMs) {
    waits.newestMs[waits.next] = waitMs
    waits.next = (waits.next + 1) % KEPT
  }
  return waits.newestMs.length < LEAST_KNOWN ? 0 : Math.max(0, usualWaitMs(waits) - waitMs)
}

/**
 * Notes that a caller was told to return.
 *
 * @param waits - changed in place
 * @param nowMs - the time
 */
export function noteCallerRefused (waits: CallerWaits, nowMs: number): void {
  waits.returnsUntilMs = nowMs + RETURNS_MS
}

function usualWaitMs ({ newestMs }: CallerWaits): number {
  const sorted = [...newestMs].sort((one, other) => one - other)
  return sorted[Math.floor(sorted.length * SHORTER_SHARE)] as number
}
