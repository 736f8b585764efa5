/**
 * Handles the effects that call the ledgers beside the model replicas: reserves, confirms and
 * releases memory for requests, announces prefills and reads the loads of replicas.
 *
 * @module
 */
import { callUnary, combineTeardowns } from 'bendfall-node'
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { LedgerService } from 'bendfall-protocol'
import type { ConfirmOutcome, Replica, ReserveOutcome, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import { CALL_SLACK_MS, toReplicaLoad, toReserveRequest, withTimeout } from './BendfallEdgeLedgerMessages.js'
import { createLedgerSessions } from './BendfallEdgeLedgerSessions.js'
import { registerLoadRequests } from './BendfallEdgeLoadRequests.js'

/** Lead time of an announced prefill: if it is never reported as done, other entries see it for this long plus the grace time of the ledgers. */
const ANNOUNCED_LEAD_MS = 500

/** Options of the clients. */
export interface LedgerClientOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly logger: Logger
  /** Port on which ledgers listen, the same on all instances. */
  readonly port: number
}

/** Clients of the ledgers of all known replicas. */
export interface LedgerClients {
  /** Sets the known replicas and closes the connections to the ledgers of all others. */
  readonly keepOnly: (replicas: Iterable<Replica>) => void
  readonly close: Teardown
}

/**
 * Registers the handlers of the effects that call ledgers.
 *
 * @param options - update loop and port of the ledgers
 * @returns the clients
 */
export function registerLedgerClients (options: LedgerClientOptions): LedgerClients {
  const { logger, loop, port } = options
  const sessions = createLedgerSessions(port)
  const pendingReserves = new Map<string, AbortController>()

  async function reserve (effect: RouterEffectOf<'reserve'> | RouterEffectOf<'queue_prefill'>): Promise<ReserveOutcome> {
    const session = sessions.of(effect.replicaId)
    if (session === undefined) return { type: 'unreachable' }
    const cancellation = new AbortController()
    pendingReserves.set(effect.bookingId, cancellation)
    const timeoutMs = effect.maxWaitMs + CALL_SLACK_MS
    try {
      const answer = await withTimeout(callUnary(session, LedgerService.method.reserve, toReserveRequest(effect), { timeoutMs, signal: cancellation.signal }), timeoutMs)
      if (answer.load !== undefined) loop.dispatch({ type: 'load_learned', load: toReplicaLoad(effect.replicaId, answer.load) })
      if (answer.replicaLost) return { type: 'replica_lost' }
      return answer.granted ? { type: 'granted' } : { type: 'refused', retryAfterMs: answer.retryAfterMs }
    } catch (error) {
      if (!cancellation.signal.aborted) logger.warn('ledger_unreachable', { replica: effect.replicaId, booking: effect.bookingId, error })
      return { type: 'unreachable' }
    } finally {
      pendingReserves.delete(effect.bookingId)
    }
  }

  function announce ({ bookingId, promptTokens, replicaId }: RouterEffectOf<'announce_prefill'>): void {
    const session = sessions.of(replicaId)
    if (session === undefined) return
    const request = { requestId: bookingId.slice(0, bookingId.lastIndexOf('/')), bookingId, promptTokens, leadMs: ANNOUNCED_LEAD_MS }
    callUnary(session, LedgerService.method.reserve, request, { timeoutMs: CALL_SLACK_MS }).catch((error: unknown) => {
      logger.debug('announcement_lost', { replica: replicaId, booking: bookingId, error })
    })
  }

  async function confirm (effect: RouterEffectOf<'confirm'>): Promise<ConfirmOutcome> {
    const session = sessions.of(effect.replicaId)
    if (session === undefined) return 'unreachable'
    const timeoutMs = effect.maxWaitMs + CALL_SLACK_MS
    try {
      const request = { bookingId: effect.bookingId, maxWaitMs: Math.max(0, Math.round(effect.maxWaitMs)) }
      const answer = await withTimeout(callUnary(session, LedgerService.method.confirm, request, { timeoutMs }), timeoutMs)
      return answer.free ? 'free' : 'occupied'
    } catch (error) {
      logger.warn('ledger_unreachable', { replica: effect.replicaId, booking: effect.bookingId, error })
      return 'unreachable'
    }
  }

  function release ({ bookingId, replicaId }: RouterEffectOf<'release'>): void {
    pendingReserves.get(bookingId)?.abort()
    const session = sessions.of(replicaId)
    if (session === undefined) return
    // The next report of the replica corrects its ledger if the release is lost.
    callUnary(session, LedgerService.method.release, { bookingId }, { timeoutMs: CALL_SLACK_MS }).catch((error: unknown) => {
      logger.debug('release_lost', { replica: replicaId, booking: bookingId, error })
    })
  }

  const teardown = combineTeardowns([
    sessions.closeAll,
    registerLoadRequests({ loop, logger, sessions }),
    loop.registerEffect('reserve', (effect) => {
      reserve(effect).then((outcome) => loop.dispatch({ type: 'reserve_answered', key: effect.key, attempt: effect.attempt, outcome }),
        (error: unknown) => logger.error('reserve_failed', { booking: effect.bookingId, error }))
    }),
    loop.registerEffect('queue_prefill', (effect) => {
      reserve(effect).then((outcome) => loop.dispatch({ type: 'prefill_queue_answered', key: effect.key, attempt: effect.attempt, outcome }),
        (error: unknown) => logger.error('queue_failed', { booking: effect.bookingId, error }))
    }),
    loop.registerEffect('announce_prefill', announce),
    loop.registerEffect('confirm', (effect) => {
      confirm(effect).then((outcome) => loop.dispatch({ type: 'confirm_answered', key: effect.key, attempt: effect.attempt, outcome }),
        (error: unknown) => logger.error('confirm_failed', { booking: effect.bookingId, error }))
    }),
    loop.registerEffect('release', release)
  ])
  return { close: teardown, keepOnly: sessions.keepOnly }
}
