/**
 * Measures how fast callers read, from the counters of their sockets.
 *
 * @module
 */
import type { Exchange } from './BendfallEdgeExchange.js'

/** Time for which a caller with unread bytes is observed before its rate is known. */
const MIN_OBSERVED_MS = 500

/** Time after which a new observation begins, so that a caller which has become slower is not judged by how it began. */
const MAX_OBSERVED_MS = 2_000

interface Observation {
  readonly atMs: number
  readonly sentBytes: number
  /** Rate of the observation before. */
  readonly bytesPerS?: number
}

/** Rates of callers, measured while they have unread bytes. */
export interface ReadRates {
  /** @returns the rate at which the caller of an exchange reads; undefined if it is not known yet or nothing is unread */
  readonly observe: (exchange: Exchange, unreadBytes: number, nowMs: number) => number | undefined
}

/**
 * Creates rates without observations.
 *
 * @returns the rates
 */
export function createReadRates (): ReadRates {
  const observations = new WeakMap<Exchange, Observation>()
  return {
    observe: (exchange, unreadBytes, nowMs) => {
      if (unreadBytes === 0) {
        observations.delete(exchange)
        return undefined
      }
      const sentBytes = exchange.sentBytes()
      const since = observations.get(exchange)
      if (since === undefined) {
        observations.set(exchange, { atMs: nowMs, sentBytes })
        return undefined
      }
      const observedMs = nowMs - since.atMs
      if (observedMs < MIN_OBSERVED_MS) return since.bytesPerS
      const bytesPerS = (sentBytes - since.sentBytes) / observedMs * 1_000
      if (observedMs >= MAX_OBSERVED_MS) observations.set(exchange, { atMs: nowMs, sentBytes, bytesPerS })
      return bytesPerS
    }
  }
}
