/**
 * Calls the ledgers beside the model replicas: books memory for requests and
 * keeps the loads of the replicas up to date.
 *
 * @module
 */
import { AnsweringSessionManager, callUnary, combineTeardowns } from 'bendfall-node'
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { LedgerService } from 'bendfall-protocol'
import type { ConfirmOutcome, Replica, ReserveOutcome, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import { CALL_SLACK_MS, fromMessage, toRequest, withTimeout } from './BendfallEdgeLedgerMessages.js'
import { watchLoad } from './BendfallEdgeLoadWatch.js'

/** A prompt that nobody says was read is shown to others for this long and the time that ledgers add. */
const PREFILL_SHOWN_MS = 500

/** A connection without an answer to a PING for this long is given up. */
const PING_TIMEOUT_MS = 400
const PING_INTERVAL_MS = 1_500

/** Keeps the connection between requests. */
const IDLE_TIMEOUT_MS = 60_000

/** What the clients need. */
export interface LedgerClientOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly logger: Logger
  /** Port of the ledgers, the same on all instances. */
  readonly port: number
}

/** Ledgers of the replicas in use. */
export interface LedgerClients {
  /** Follows the loads of these replicas and of no others. */
  readonly follow: (replicas: Iterable<Replica>) => void
  readonly close: Teardown
}

interface Ledger {
  readonly session: AnsweringSessionManager
  readonly ended: AbortController
}

/**
 * Registers the effects `reserve`, `confirm` and `release`.
 *
 * @param options - update path and the ledgers' port
 * @returns the clients
 */
export function registerLedgerClients (options: LedgerClientOptions): LedgerClients {
  const { logger, loop, port } = options
  const ledgers = new Map<string, Ledger>()
  const asks = new Map<string, AbortController>()

  function ledgerAt (address: string): AnsweringSessionManager {
    const host = address.slice(0, address.lastIndexOf(':'))
    return new AnsweringSessionManager(`http://${host}:${port}`, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: PING_TIMEOUT_MS, pingIdleConnection: false, idleConnectionTimeoutMs: IDLE_TIMEOUT_MS })
  }

  function start (replica: Replica): void {
    const ledger = { session: ledgerAt(replica.address), ended: new AbortController() }
    ledgers.set(replica.replicaId, ledger)
    watchLoad({ replicaId: replica.replicaId, session: ledger.session, loop, logger, followed: () => ledgers.size, ended: ledger.ended.signal })
      .catch((error: unknown) => logger.error('ledger_watch_ended', { replica: replica.replicaId, error }))
  }

  function stop (replicaId: string): void {
    const ledger = ledgers.get(replicaId)
    ledgers.delete(replicaId)
    ledger?.ended.abort()
    ledger?.session.abort()
  }

  async function reserve (effect: RouterEffectOf<'reserve'> | RouterEffectOf<'queue_prefill'>): Promise<ReserveOutcome> {
    const session = ledgers.get(effect.replicaId)?.session
    if (session === undefined) return { type: 'unreachable' }
    const given = new AbortController()
    asks.set(effect.bookingId, given)
    const timeoutMs = effect.maxWaitMs + CALL_SLACK_MS
    try {
      const answer = await withTimeout(callUnary(session, LedgerService.method.reserve, toRequest(effect), { timeoutMs, signal: given.signal }), timeoutMs)
      if (answer.load !== undefined) loop.dispatch({ type: 'load_learned', load: fromMessage(effect.replicaId, answer.load) })
      if (answer.replicaLost) return { type: 'replica_lost' }
      return answer.granted ? { type: 'granted' } : { type: 'refused', retryAfterMs: answer.retryAfterMs }
    } catch (error) {
      if (!given.signal.aborted) logger.warn('ledger_unreachable', { replica: effect.replicaId, booking: effect.bookingId, error })
      return { type: 'unreachable' }
    } finally {
      asks.delete(effect.bookingId)
    }
  }

  function announce ({ bookingId, promptTokens, replicaId }: RouterEffectOf<'announce_prefill'>): void {
    const session = ledgers.get(replicaId)?.session
    if (session === undefined) return
    const request = { requestId: bookingId.slice(0, bookingId.lastIndexOf('/')), bookingId, promptTokens, leadMs: PREFILL_SHOWN_MS }
    callUnary(session, LedgerService.method.reserve, request, { timeoutMs: CALL_SLACK_MS }).catch((error: unknown) => {
      logger.debug('announcement_lost', { replica: replicaId, booking: bookingId, error })
    })
  }

  async function confirm (effect: RouterEffectOf<'confirm'>): Promise<ConfirmOutcome> {
    const session = ledgers.get(effect.replicaId)?.session
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
    asks.get(bookingId)?.abort()
    const session = ledgers.get(replicaId)?.session
    if (session === undefined) return
    // A release that is lost is made up for by the replica's own report.
    callUnary(session, LedgerService.method.release, { bookingId }, { timeoutMs: CALL_SLACK_MS }).catch((error: unknown) => {
      logger.debug('release_lost', { replica: replicaId, booking: bookingId, error })
    })
  }

  const teardown = combineTeardowns([
    () => { for (const replicaId of [...ledgers.keys()]) stop(replicaId) },
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
  return {
    close: teardown,
    follow: (replicas) => {
      const wanted = new Map([...replicas].map((replica) => [replica.replicaId, replica]))
      for (const replicaId of [...ledgers.keys()]) {
        if (!wanted.has(replicaId)) stop(replicaId)
      }
      for (const replica of wanted.values()) {
        if (!ledgers.has(replica.replicaId)) start(replica)
      }
    }
  }
}
