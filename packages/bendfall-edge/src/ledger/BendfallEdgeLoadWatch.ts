/**
 * Follows the load of one replica by its ledger's word.
 *
 * @module
 */
import { callUnary, pause } from 'bendfall-node'
import type { AnsweringSessionManager, Logger, UpdateLoop } from 'bendfall-node'
import { LedgerService } from 'bendfall-protocol'
import type { RouterEffect, RouterEvent } from 'bendfall-router'
import { CALL_SLACK_MS, fromMessage, withTimeout } from './BendfallEdgeLedgerMessages.js'

/** Wait of one call for a changed load. */
const WATCH_WAIT_MS = 1_000

/**
 * Between two loads of one decode replica, for each replica that is followed, so
 * that following costs the same with ten and with forty of them.
 */
const WATCH_PAUSE_MS = 10

/** The same for a prefill replica, whose queue changes within the tenth of a second that a prompt takes. */
const PREFILL_WATCH_PAUSE_MS = 3

/** Between tries to reach a ledger that does not answer. */
const RETRY_PAUSE_MS = 500

/** What following needs. */
export interface LoadWatchOptions {
  readonly replicaId: string
  readonly session: AnsweringSessionManager
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly logger: Logger
  /** @returns how many replicas are followed: each is asked less often the more there are */
  readonly followed: () => number
  /** Ends the following. */
  readonly ended: AbortSignal
}

/**
 * Follows the load until it is ended; a ledger that does not answer is asked again.
 *
 * @param options - ledger and update path
 */
export async function watchLoad (options: LoadWatchOptions): Promise<void> {
  const { ended, logger, loop, replicaId, session } = options
  let haveNumber = 0
  let isReached = true
  while (!ended.aborted) {
    try {
      const answer = await withTimeout(callUnary(session, LedgerService.method.watchLoad, { haveNumber, waitMs: WATCH_WAIT_MS }, { timeoutMs: WATCH_WAIT_MS + CALL_SLACK_MS, signal: ended }), WATCH_WAIT_MS + CALL_SLACK_MS)
      if (!isReached) logger.info('ledger_regained', { replica: replicaId })
      isReached = true
      if (answer.number !== haveNumber) loop.dispatch({ type: 'load_learned', load: fromMessage(replicaId, answer) })
      haveNumber = answer.number
      await pause(loop.clock, options.followed() * (answer.stage === 'prefill' ? PREFILL_WATCH_PAUSE_MS : WATCH_PAUSE_MS), ended)
    } catch (error) {
      if (ended.aborted) return
      session.abort()
      haveNumber = 0
      if (isReached) logger.warn('ledger_lost', { replica: replicaId, error })
      isReached = false
      loop.dispatch({ type: 'ledger_lost', replicaId })
      await pause(loop.clock, RETRY_PAUSE_MS, ended)
    }
  }
}
