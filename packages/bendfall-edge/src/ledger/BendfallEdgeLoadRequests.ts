/**
 * Handles the effects `ask_loads` and `schedule_capacity_check`: reads the loads of replicas from their
 * ledgers, detects ledgers that no longer respond, and reports when a waiting request is to ask others.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import { callUnary, combineTeardowns, pause } from 'bendfall-node'
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { LedgerService } from 'bendfall-protocol'
import type { RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import { toReplicaLoad, withTimeout } from './BendfallEdgeLedgerMessages.js'
import type { LedgerSessions } from './BendfallEdgeLedgerSessions.js'

/** Time without a response after which a ledger counts as lost; a ledger limited to its CPU share takes up to 100 ms. */
const LOAD_TIMEOUT_MS = 400

/** Options of the handler. */
export interface LoadRequestOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly logger: Logger
  readonly sessions: LedgerSessions
}

/**
 * Registers the handlers of the effects `ask_loads` and `schedule_capacity_check`.
 *
 * @param options - update loop and connections to ledgers
 * @returns teardown that unregisters the handler and aborts pending calls
 */
export function registerLoadRequests (options: LoadRequestOptions): Teardown {
  const { logger, loop, sessions } = options
  const pendingReads = new Map<string, Promise<void>>()
  const lostLedgers = new Set<string>()
  const ended = new AbortController()
  // Every pending call adds a listener to this signal.
  setMaxListeners(0, ended.signal)

  function recordAnswer (replicaId: string): void {
    if (lostLedgers.delete(replicaId)) logger.info('ledger_regained', { replica: replicaId })
  }

  // Logs one line when a ledger is lost and one when it is regained, however often it is called.
  function recordFailure (replicaId: string, error: unknown): void {
    if (!lostLedgers.has(replicaId)) logger.warn('ledger_lost', { replica: replicaId, error })
    lostLedgers.add(replicaId)
    loop.dispatch({ type: 'ledger_lost', replicaId })
  }

  async function readLoad (replicaId: string): Promise<void> {
    const session = sessions.of(replicaId)
    if (session === undefined) return
    try {
      const call = callUnary(session, LedgerService.method.readLoad, {}, { timeoutMs: LOAD_TIMEOUT_MS, signal: ended.signal })
      const answer = await withTimeout(call, LOAD_TIMEOUT_MS)
      recordAnswer(replicaId)
      loop.dispatch({ type: 'load_learned', load: toReplicaLoad(replicaId, answer) })
    } catch (error) {
      if (ended.signal.aborted) return
      // The connection may be dead without having been closed; the next call opens a new one.
      session.abort()
      recordFailure(replicaId, error)
    }
  }

  // Concurrent requests share one call.
  function readLoadOnce (replicaId: string): Promise<void> {
    const pendingRead = pendingReads.get(replicaId) ?? readLoad(replicaId).finally(() => pendingReads.delete(replicaId))
    pendingReads.set(replicaId, pendingRead)
    return pendingRead
  }

  async function readLoads ({ replicaIds, request }: RouterEffectOf<'ask_loads'>): Promise<void> {
    const allRead = Promise.all(replicaIds.map(readLoadOnce))
    if (request === undefined) return
    const waitEnd = new AbortController()
    await Promise.race([allRead, pause(loop.clock, request.maxWaitMs, waitEnd.signal)])
    waitEnd.abort()
    loop.dispatch({ type: 'loads_answered', key: request.key, attempt: request.attempt })
  }

  async function scheduleCheck ({ attempt, inMs, key }: RouterEffectOf<'schedule_capacity_check'>): Promise<void> {
    await pause(loop.clock, inMs, ended.signal)
    if (!ended.signal.aborted) loop.dispatch({ type: 'capacity_check_due', key, attempt })
  }

  return combineTeardowns([
    loop.registerEffect('ask_loads', (effect) => {
      readLoads(effect).catch((error: unknown) => logger.error('load_ask_failed', { error }))
    }),
    loop.registerEffect('schedule_capacity_check', (effect) => {
      scheduleCheck(effect).catch((error: unknown) => logger.error('capacity_check_failed', { error }))
    }),
    () => ended.abort()
  ])
}
