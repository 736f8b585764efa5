/**
 * Asks ledgers for the loads of their replicas.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import { callUnary, pause } from 'bendfall-node'
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { LedgerService } from 'bendfall-protocol'
import type { RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import { fromMessage, withTimeout } from './BendfallEdgeLedgerMessages.js'
import type { LedgerSessions } from './BendfallEdgeLedgerSessions.js'

/** A ledger that has not told its load in this time is away; one at its share of a processor takes up to a tenth of a second. */
const LOAD_TIMEOUT_MS = 400

/** What asking needs. */
export interface LoadAskOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly logger: Logger
  readonly sessions: LedgerSessions
}

/**
 * Registers the effect `ask_loads`.
 *
 * @param options - update path and connections
 * @returns teardown
 */
export function registerLoadAsks (options: LoadAskOptions): Teardown {
  const { logger, loop, sessions } = options
  const asked = new Map<string, Promise<void>>()
  const lost = new Set<string>()
  const ended = new AbortController()
  // Each call under way listens.
  setMaxListeners(0, ended.signal)

  function noteAnswered (replicaId: string): void {
    if (lost.delete(replicaId)) logger.info('ledger_regained', { replica: replicaId })
  }

  // One line when a ledger is lost and one when it is back, however often it is asked.
  function noteLost (replicaId: string, error: unknown): void {
    if (!lost.has(replicaId)) logger.warn('ledger_lost', { replica: replicaId, error })
    lost.add(replicaId)
    loop.dispatch({ type: 'ledger_lost', replicaId })
  }

  async function ask (replicaId: string): Promise<void> {
    const session = sessions.of(replicaId)
    if (session === undefined) return
    try {
      const call = callUnary(session, LedgerService.method.readLoad, {}, { timeoutMs: LOAD_TIMEOUT_MS, signal: ended.signal })
      const answer = await withTimeout(call, LOAD_TIMEOUT_MS)
      noteAnswered(replicaId)
      loop.dispatch({ type: 'load_learned', load: fromMessage(replicaId, answer) })
    } catch (error) {
      if (ended.signal.aborted) return
      // The next call opens another connection: this one may have gone silent.
      session.abort()
      noteLost(replicaId, error)
    }
  }

  // Requests that come together share one call.
  function askOnce (replicaId: string): Promise<void> {
    const underWay = asked.get(replicaId) ?? ask(replicaId).finally(() => asked.delete(replicaId))
    asked.set(replicaId, underWay)
    return underWay
  }

  async function askAll ({ replicaIds, request }: RouterEffectOf<'ask_loads'>): Promise<void> {
    const answered = Promise.all(replicaIds.map(askOnce))
    if (request === undefined) return
    const waited = new AbortController()
    await Promise.race([answered, pause(loop.clock, request.maxWaitMs, waited.signal)])
    waited.abort()
    loop.dispatch({ type: 'loads_answered', key: request.key, attempt: request.attempt })
  }

  const unregister = loop.registerEffect('ask_loads', (effect) => {
    askAll(effect).catch((error: unknown) => logger.error('load_ask_failed', { error }))
  })
  return () => {
    unregister()
    ended.abort()
  }
}
