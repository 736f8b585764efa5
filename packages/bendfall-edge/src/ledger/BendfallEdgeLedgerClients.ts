/**
 * Calls the ledgers beside the model replicas: books memory for requests and
 * keeps the loads of the replicas up to date.
 *
 * @module
 */
import { AnsweringSessionManager, callUnary, combineTeardowns, pause } from 'bendfall-node'
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { LedgerService } from 'bendfall-protocol'
import type { ReplicaLoad as LoadMessage, ReserveMemoryRequest } from 'bendfall-protocol'
import type { ConfirmOutcome, Replica, ReplicaLoad, ReplicaStage, ReserveOutcome, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'

/** Wait of one call for a changed load. */
const WATCH_WAIT_MS = 1_000

/**
 * Between two loads of one decode replica, for each replica that is followed, so
 * that following costs the same with ten and with forty of them.
 */
const WATCH_PAUSE_MS = 10

/** The same for a prefill replica, whose queue changes within the tenth of a second that a prompt takes. */
const PREFILL_WATCH_PAUSE_MS = 3

/** Answers later than this beyond their wait count as lost. */
const CALL_SLACK_MS = 250

/** Between tries to reach a ledger that does not answer. */
const RETRY_PAUSE_MS = 500

/** A prompt that nobody says was read is shown to others for this long and the time that ledgers add. */
const PREFILL_SHOWN_MS = 500

/** A connection without an answer to a PING for this long is given up. */
const PING_TIMEOUT_MS = 400
const PING_INTERVAL_MS = 1_500

/** Keeps the connection between requests. */
const IDLE_TIMEOUT_MS = 60_000

const STAGES: ReadonlySet<string> = new Set(['prefill', 'decode'])

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
    watch(replica.replicaId, ledger).catch((error: unknown) => logger.error('ledger_watch_ended', { replica: replica.replicaId, error }))
  }

  function stop (replicaId: string): void {
    const ledger = ledgers.get(replicaId)
    ledgers.delete(replicaId)
    ledger?.ended.abort()
    ledger?.session.abort()
  }

  async function watch (replicaId: string, { ended, session }: Ledger): Promise<void> {
    let haveNumber = 0
    let isReached = true
    while (!ended.signal.aborted) {
      try {
        const answer = await withTimeout(callUnary(session, LedgerService.method.watchLoad, { haveNumber, waitMs: WATCH_WAIT_MS }, { timeoutMs: WATCH_WAIT_MS + CALL_SLACK_MS, signal: ended.signal }), WATCH_WAIT_MS + CALL_SLACK_MS)
        if (!isReached) logger.info('ledger_regained', { replica: replicaId })
        isReached = true
        if (answer.number !== haveNumber) loop.dispatch({ type: 'load_learned', load: fromMessage(replicaId, answer) })
        haveNumber = answer.number
        await pause(loop.clock, ledgers.size * (answer.stage === 'prefill' ? PREFILL_WATCH_PAUSE_MS : WATCH_PAUSE_MS), ended.signal)
      } catch (error) {
        if (ended.signal.aborted) return
        session.abort()
        haveNumber = 0
        if (isReached) logger.warn('ledger_lost', { replica: replicaId, error })
        isReached = false
        loop.dispatch({ type: 'ledger_lost', replicaId })
        await pause(loop.clock, RETRY_PAUSE_MS, ended.signal)
      }
    }
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

function toRequest (effect: RouterEffectOf<'reserve'> | RouterEffectOf<'queue_prefill'>): Omit<ReserveMemoryRequest, '$typeName' | '$unknown'> {
  return {
    requestId: effect.bookingId.slice(0, effect.bookingId.lastIndexOf('/')),
    bookingId: effect.bookingId,
    promptTokens: effect.promptTokens,
    hintTokens: effect.type === 'reserve' ? effect.hintTokens : 0,
    maxOutputTokens: effect.type === 'reserve' ? effect.maxOutputTokens : 0,
    leadMs: Math.round(effect.leadMs),
    maxWaitMs: Math.max(0, Math.round(effect.maxWaitMs)),
    priority: effect.priority,
    targetMs: Math.round(effect.targetMs),
    readsInPlace: effect.type === 'reserve' && effect.readsInPlace
  }
}

function fromMessage (replicaId: string, message: LoadMessage): ReplicaLoad {
  return {
    replicaId,
    stage: STAGES.has(message.stage) ? message.stage as ReplicaStage : undefined,
    isHealthy: message.healthy,
    capacityTokens: message.capacityTokens,
    roomTokens: message.roomTokens,
    backlogTokens: message.backlogTokens
  }
}

// A connection that is being opened to an instance without power is not bounded by the call's own timeout.
function withTimeout<T> (answer: Promise<T>, timeoutMs: number): Promise<T> {
  let timer: NodeJS.Timeout
  const late = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs)
  })
  return Promise.race([answer, late]).finally(() => clearTimeout(timer))
}
