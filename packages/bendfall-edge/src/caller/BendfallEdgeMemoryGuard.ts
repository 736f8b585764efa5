/**
 * Keeps what an entry buffers for callers within a bound. All counts are read from the sockets at each check, so that no
 * count can go wrong after an error.
 *
 * @module
 */
import type { Clock, Logger } from 'bendfall-node'
import type { Metrics } from '../observe/BendfallEdgeMetrics.js'
import type { Exchange } from './BendfallEdgeExchange.js'
import { chooseCuts, memoryBoundsOf, refusedShareOf, retryAfterMsOf } from './BendfallEdgeMemoryPolicy.js'
import type { CallerBuffer, MemoryBounds } from './BendfallEdgeMemoryPolicy.js'
import type { OpenExchanges } from './BendfallEdgeOpenExchanges.js'
import { createReadRates } from './BendfallEdgeReadRates.js'
import { createRequestMemory } from './BendfallEdgeRequestMemory.js'
import type { RequestMemory } from './BendfallEdgeRequestMemory.js'

/** Dependencies of the guard. */
export interface MemoryGuardOptions {
  /** Memory of the process in megabytes; if absent, nothing is bounded. */
  readonly memoryMb?: number
  readonly open: OpenExchanges
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  /** Returns the resident memory of the process in bytes. */
  readonly readProcessBytes: () => number
}

/** Bounds the memory of an entry. */
export interface MemoryGuard {
  /** @returns undefined if a new request is admitted, else the milliseconds after which its caller should return */
  readonly refuseNew: () => number | undefined
  /** Memory of the requests, for the server that reads them. */
  readonly requests: RequestMemory
  readonly close: () => void
}

/** Interval between checks. At 10 Mbit/s an entry receives 125 KB in this time. */
const CHECK_INTERVAL_MS = 100

/**
 * Registers the guard, and a gauge of the buffered bytes also where nothing is bounded.
 *
 * @param options - bound, open exchanges, and where cuts are logged and counted
 * @returns the guard
 */
export function registerMemoryGuard (options: MemoryGuardOptions): MemoryGuard {
  const { metrics, open } = options
  const bounds = options.memoryMb === undefined ? undefined : memoryBoundsOf(options.memoryMb)
  const requests = createRequestMemory(bounds?.bufferBytes ?? Infinity)
  metrics.gauge('bendfall_buffered_bytes', () => open.list().reduce((sum, exchange) => sum + exchange.unreadBytes() + otherBytesOf(exchange), 0))
  metrics.gauge('bendfall_request_bytes', requests.reservedBytes)
  if (bounds === undefined) return { refuseNew: () => undefined, requests, close: () => {} }
  return startGuard(options, bounds, requests)
}

// Bytes reserved for requests that have no exchange yet, since they have not been read completely.
function incompleteBytesOf (requests: RequestMemory, open: OpenExchanges): number {
  return Math.max(0, requests.reservedBytes() - open.list().reduce((sum, { body }) => sum + body.length, 0))
}

function startGuard ({ clock, logger, metrics, open, readProcessBytes }: MemoryGuardOptions, bounds: MemoryBounds, requests: RequestMemory): MemoryGuard {
  const rates = createReadRates()
  let refusedShare = 0
  let cancel = (): void => {}

  function check (): void {
    const exchanges = new Map(open.list().map((exchange) => [exchange.key, exchange]))
    const buffers = [...exchanges.values()].map((exchange) => readBuffer(exchange, clock.nowMs()))
    for (const caller of chooseCuts(buffers, bounds)) cut(exchanges.get(caller.key) as Exchange, caller, sumOf(buffers))
    const incompleteBytes = incompleteBytesOf(requests, open)
    updateRefusedShare(sumOf(buffers) + incompleteBytes, buffers.reduce((sum, { otherBytes }) => sum + otherBytes, incompleteBytes))
    cancel = clock.callAt(clock.nowMs() + CHECK_INTERVAL_MS, check)
  }

  function readBuffer (exchange: Exchange, nowMs: number): CallerBuffer {
    const unreadBytes = exchange.unreadBytes()
    return { key: exchange.key, unreadBytes, otherBytes: otherBytesOf(exchange), readBytesPerS: rates.observe(exchange, unreadBytes, nowMs) }
  }

  function cut (exchange: Exchange, { otherBytes, readBytesPerS, unreadBytes }: CallerBuffer, bufferedBytes: number): void {
    metrics.count('bendfall_callers_cut_total', { reason: 'slow_reader' })
    logger.warn('caller_cut', { request: exchange.caller.requestId, reason: 'slow_reader', unreadBytes, otherBytes, readBytesPerS: readBytesPerS === undefined ? undefined : Math.round(readBytesPerS), bufferedBytes, boundBytes: bounds.bufferBytes })
    exchange.cut()
  }

  function updateRefusedShare (bufferedBytes: number, otherBytes: number): void {
    const processBytes = readProcessBytes()
    const share = refusedShareOf({ bufferedBytes, otherBytes, processBytes }, bounds)
    if ((share > 0) !== (refusedShare > 0)) logger.warn(share > 0 ? 'memory_low' : 'memory_recovered', { refusedShare: share.toFixed(2), bufferedBytes, otherBytes, bufferBoundBytes: bounds.bufferBytes, processBytes, processBoundBytes: bounds.processBytes })
    refusedShare = share
  }

  check()
  return {
    refuseNew: () => {
      if (refusedShare === 0 || Math.random() >= refusedShare) return undefined
      metrics.count('bendfall_refused_early_total', { reason: 'memory' })
      return retryAfterMsOf(Math.random())
    },
    requests,
    close: () => cancel()
  }
}

function otherBytesOf ({ body, replicaBuffer }: Exchange): number {
  return body.length + (replicaBuffer?.().heldBytes ?? 0)
}

function sumOf (buffers: readonly CallerBuffer[]): number {
  return buffers.reduce((sum, { otherBytes, unreadBytes }) => sum + otherBytes + unreadBytes, 0)
}
