/**
 * Serves the memory ledger of the model replica beside this process to the entries.
 *
 * @module
 */
import type { Clock, Logger, PeerListener } from 'bendfall-node'
import { createUpdateLoop, listenForPeers, serveUnary } from 'bendfall-node'
import { LedgerService } from 'bendfall-protocol'
import type { ReserveMemoryRequest } from 'bendfall-protocol'
import { createLedgerState, createStreamOrigins, loadOf, reduceLedger } from 'bendfall-router'
import type { LedgerEffect, LedgerEvent, LedgerState, BookingRequest, RouterDecisions } from 'bendfall-router'
import type { ReplicaDialect } from '../BendfallEdgeDialect.js'
import { serveOrigins } from '../origins/BendfallEdgeOriginServer.js'
import { startReportPolling } from './BendfallEdgeReports.js'

interface LedgerAnswer {
  readonly isGranted: boolean
  readonly isReplicaLost: boolean
  readonly retryAfterMs: number
}

/** Options of the server. */
export interface LedgerServerOptions {
  /** `ip:port` to listen on. */
  readonly listen: string
  /** `ip:port` of the replica. */
  readonly replicaAddress: string
  readonly dialect: ReplicaDialect
  readonly clock: Clock
  readonly logger: Logger
  /** Feature switches of the router's decisions; absent: all are enabled. */
  readonly decisions?: RouterDecisions
}

/** A running ledger server. */
export interface LedgerServer {
  readonly address: string
  /** @returns state of the ledger, for metrics */
  readonly state: () => LedgerState
  readonly close: () => Promise<void>
}

/**
 * Starts the server and the polling of the replica's reports.
 *
 * @param options - addresses and dialect
 * @returns the server once it listens
 * @throws Error when the address can't be bound
 */
export async function startLedgerServer (options: LedgerServerOptions): Promise<LedgerServer> {
  const { clock, logger } = options
  const state = createLedgerState(options.decisions)
  const loop = createUpdateLoop<LedgerEvent, LedgerEffect>((event) => reduceLedger(state, event), clock)
  const origins = createStreamOrigins(clock.nowMs())
  const pendingReserves = new Map<string, (answer: LedgerAnswer) => void>()
  const pendingConfirms = new Map<string, (isFree: boolean) => void>()
  const reports = startReportPolling({ ...options, loop, state: () => state })

  loop.registerEffect('read_report', reports.wanted)
  loop.registerEffect('confirmed', ({ bookingId, isFree }) => {
    logger.info('booking_confirmed', { booking: bookingId, isFree, usedTokens: state.report?.usedTokens, capacityTokens: state.report?.capacityTokens, runs: state.lastRuns.size })
    pendingConfirms.get(bookingId)?.(isFree)
    pendingConfirms.delete(bookingId)
  })
  loop.registerEffect('answer', ({ bookingId, isGranted, retryAfterMs }) => {
    const load = loadOf(state, '', clock.nowMs())
    logger.info(isGranted ? 'booking_granted' : 'booking_refused', { booking: bookingId, retryAfterMs, bookings: state.bookings.size, waiting: state.waiting.length, runs: state.lastRuns.size, reportAgeMs: Math.round(clock.nowMs() - state.lastReportAtMs), roomTokens: load.roomTokens[0], tokensPerMs: load.tokensPerMs?.toFixed(3) })
    pendingReserves.get(bookingId)?.({ isGranted, isReplicaLost: false, retryAfterMs })
    pendingReserves.delete(bookingId)
  })
  loop.registerEffect('replica_lost', ({ bookingId }) => {
    logger.info('booking_refused', { booking: bookingId, cause: 'replica_lost', reportAgeMs: Math.round(clock.nowMs() - state.lastReportAtMs) })
    pendingReserves.get(bookingId)?.({ isGranted: false, isReplicaLost: true, retryAfterMs: 0 })
    pendingReserves.delete(bookingId)
  })

  function toLoad (): { stage: string, healthy: boolean, leaving: boolean, limitPerS: number | undefined, capacityTokens: number, roomTokens: number[], backlogTokens: number, tokensPerMs: number | undefined } {
    const load = loadOf(state, '', clock.nowMs())
    return { stage: load.stage ?? '', healthy: load.isHealthy, leaving: load.isLeaving === true, limitPerS: load.limitPerS, capacityTokens: load.capacityTokens, roomTokens: [...load.roomTokens], backlogTokens: load.backlogTokens, tokensPerMs: load.tokensPerMs }
  }

  function reserve (request: ReserveMemoryRequest, signal: AbortSignal): Promise<LedgerAnswer> {
    return new Promise((resolve) => {
      pendingReserves.set(request.bookingId, resolve)
      signal.addEventListener('abort', () => {
        if (!pendingReserves.delete(request.bookingId)) return
        loop.dispatch({ type: 'ask_withdrawn', bookingId: request.bookingId })
      }, { once: true })
      loop.dispatch({ type: 'memory_asked', request: toBookingRequest(request) })
      clock.callAt(clock.nowMs() + request.maxWaitMs, () => loop.dispatch({ type: 'time_passed' }))
    })
  }

  const listener: PeerListener = await listenForPeers(options.listen, (_, streams) => {
    serveUnary(streams, LedgerService.method.reserve, async (request, signal) => {
      const { isGranted, isReplicaLost, retryAfterMs } = await reserve(request, signal)
      return { granted: isGranted, replicaLost: isReplicaLost, retryAfterMs: Math.min(60_000, Math.round(retryAfterMs)), load: toLoad() }
    })
    serveUnary(streams, LedgerService.method.confirm, ({ bookingId, maxWaitMs }) => new Promise((resolve) => {
      pendingConfirms.set(bookingId, (free) => resolve({ free }))
      loop.dispatch({ type: 'confirm_asked', bookingId, maxWaitMs })
    }))
    serveUnary(streams, LedgerService.method.release, ({ bookingId }) => {
      loop.dispatch({ type: 'released', bookingId })
      return {}
    })
    serveUnary(streams, LedgerService.method.readLoad, toLoad)
    serveOrigins(streams, origins, clock)
  }, 'with_first_connection')

  return {
    address: listener.address,
    state: () => state,
    close: async () => {
      reports.close()
      await listener.close()
    }
  }
}

function toBookingRequest (request: ReserveMemoryRequest): BookingRequest {
  const { bookingId, customerHash, customerWeight, hintTokens, isContinuation, leadMs, maxOutputTokens, maxWaitMs, onTimeWaitMs, priority, promptTokens, readsInPlace, requestId } = request
  return { bookingId, hintTokens, isContinuation, leadMs, maxOutputTokens, maxWaitMs, onTimeWaitMs, priority, promptTokens, readsInPlace, requestId, customerHash: customerHash || undefined, customerWeight: customerWeight || undefined }
}
