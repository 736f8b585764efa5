/**
 * Serves the ledger of the model replica beside this process and feeds it with
 * the replica's reports.
 *
 * @module
 */
import type { Clock, Logger, PeerListener, Teardown } from 'bendfall-node'
import { createSignal, createUpdateLoop, listenForPeers, serveUnary } from 'bendfall-node'
import { LedgerService } from 'bendfall-protocol'
import type { ReserveMemoryRequest } from 'bendfall-protocol'
import { createLedgerState, loadOf, reduceLedger } from 'bendfall-router'
import type { LedgerEffect, LedgerEvent, LedgerState, MemoryAsk, RouterDecisions } from 'bendfall-router'
import type { EngineReport, ReplicaDialect } from '../BendfallEdgeDialect.js'
import { createConnectionPool } from '../replica/BendfallEdgeConnections.js'
import type { ConnectionPool } from '../replica/BendfallEdgeConnections.js'
import { startReplicaCall } from '../replica/BendfallEdgeReplicaCall.js'

/** Between two reports while requests are held or wait; a step takes 4 ms, a booking lasts seconds. */
const BUSY_PERIOD_MS = 50

/** Between two reports while a request waits with its prompt read: each of them costs the caller that much. */
const CONFIRM_PERIOD_MS = 15

/** Between two reports of an idle replica. */
const IDLE_PERIOD_MS = 300

/** A report later than this is a failure. */
const REPORT_TIMEOUT_MS = 400

/** Reports that fail in a row before the replica counts as unhealthy. */
const FAILURES_TO_UNHEALTHY = 2

/** Longest body of a report. */
const REPORT_BYTES = 262_144

interface LedgerAnswer {
  readonly isGranted: boolean
  readonly isReplicaLost: boolean
  readonly retryAfterMs: number
}

/** What the server needs. */
export interface LedgerServerOptions {
  /** `ip:port` on which entries are served. */
  readonly listen: string
  /** `ip:port` of the replica. */
  readonly replicaAddress: string
  readonly dialect: ReplicaDialect
  readonly clock: Clock
  readonly logger: Logger
  /** Switches of the mechanisms; absent: all are on. */
  readonly decisions?: RouterDecisions
}

/** The server. */
export interface LedgerServer {
  readonly address: string
  /** @returns the state, for metrics */
  readonly state: () => LedgerState
  readonly close: () => Promise<void>
}

/**
 * Starts to serve.
 *
 * @param options - addresses and dialect
 * @returns the server once it listens
 * @throws Error when the address can't be bound
 */
export async function startLedgerServer (options: LedgerServerOptions): Promise<LedgerServer> {
  const { clock, dialect, logger } = options
  const state = createLedgerState(Math.floor(Math.random() * 0x7fffffff) + 1, options.decisions)
  const loop = createUpdateLoop<LedgerEvent, LedgerEffect>((event) => reduceLedger(state, event), clock)
  const changed = createSignal(clock)
  const pool = createConnectionPool(options.replicaAddress, () => {})
  const waiting = new Map<string, (answer: LedgerAnswer) => void>()
  const confirming = new Map<string, (isFree: boolean) => void>()
  const ended = new AbortController()
  const wanted = createSignal(clock)

  loop.registerEffect('read_report', () => wanted.notify())
  loop.registerEffect('confirmed', ({ bookingId, isFree }) => {
    logger.info('booking_confirmed', { booking: bookingId, isFree, usedTokens: state.report?.usedTokens, capacityTokens: state.report?.capacityTokens, runs: state.lastRuns.size })
    confirming.get(bookingId)?.(isFree)
    confirming.delete(bookingId)
  })
  loop.registerEffect('load_changed', () => changed.notify())
  loop.registerEffect('answer', ({ bookingId, isGranted, retryAfterMs }) => {
    logger.info(isGranted ? 'booking_granted' : 'booking_refused', { booking: bookingId, retryAfterMs, bookings: state.bookings.size, waiting: state.waiting.length, runs: state.lastRuns.size, reportAgeMs: Math.round(clock.nowMs() - state.lastReportAtMs), roomTokens: loadOf(state, '', clock.nowMs()).roomTokens[0] })
    waiting.get(bookingId)?.({ isGranted, isReplicaLost: false, retryAfterMs })
    waiting.delete(bookingId)
  })
  loop.registerEffect('replica_lost', ({ bookingId }) => {
    logger.info('booking_refused', { booking: bookingId, cause: 'replica_lost', reportAgeMs: Math.round(clock.nowMs() - state.lastReportAtMs) })
    waiting.get(bookingId)?.({ isGranted: false, isReplicaLost: true, retryAfterMs: 0 })
    waiting.delete(bookingId)
  })

  function toLoad (): { number: number, stage: string, healthy: boolean, capacityTokens: number, roomTokens: number[], backlogTokens: number } {
    const load = loadOf(state, '', clock.nowMs())
    return { number: state.loadNumber, stage: load.stage ?? '', healthy: load.isHealthy, capacityTokens: load.capacityTokens, roomTokens: [...load.roomTokens], backlogTokens: load.backlogTokens }
  }

  function ask (request: ReserveMemoryRequest, signal: AbortSignal): Promise<LedgerAnswer> {
    return new Promise((resolve) => {
      waiting.set(request.bookingId, resolve)
      signal.addEventListener('abort', () => {
        if (!waiting.delete(request.bookingId)) return
        loop.dispatch({ type: 'ask_withdrawn', bookingId: request.bookingId })
      }, { once: true })
      loop.dispatch({ type: 'memory_asked', ask: toAsk(request) })
      clock.callAt(clock.nowMs() + request.maxWaitMs, () => loop.dispatch({ type: 'time_passed' }))
    })
  }

  const listener: PeerListener = await listenForPeers(options.listen, (_, streams) => {
    serveUnary(streams, LedgerService.method.reserve, async (request, signal) => {
      const { isGranted, isReplicaLost, retryAfterMs } = await ask(request, signal)
      return { granted: isGranted, replicaLost: isReplicaLost, retryAfterMs: Math.min(60_000, Math.round(retryAfterMs)), load: toLoad() }
    })
    serveUnary(streams, LedgerService.method.confirm, ({ bookingId, maxWaitMs }) => new Promise((resolve) => {
      confirming.set(bookingId, (free) => resolve({ free }))
      loop.dispatch({ type: 'confirm_asked', bookingId, maxWaitMs })
    }))
    serveUnary(streams, LedgerService.method.release, ({ bookingId }) => {
      loop.dispatch({ type: 'released', bookingId })
      return {}
    })
    serveUnary(streams, LedgerService.method.watchLoad, async ({ haveNumber, waitMs }, signal) => {
      if (haveNumber === state.loadNumber) await changed.wait(waitMs, signal)
      return toLoad()
    })
  })

  async function follow (): Promise<void> {
    let failures = 0
    while (!ended.signal.aborted) {
      const askedAtMs = clock.nowMs()
      const report = await readReport(pool, dialect, clock)
      if (report === undefined) {
        failures += 1
        if (failures === FAILURES_TO_UNHEALTHY) logger.warn('replica_lost', { address: options.replicaAddress })
        if (failures >= FAILURES_TO_UNHEALTHY) loop.dispatch({ type: 'report_failed' })
      } else {
        if (failures >= FAILURES_TO_UNHEALTHY) logger.info('replica_regained', { address: options.replicaAddress })
        failures = 0
        logger.debug('report', { ...report, runs: report.runs.map((run) => `${run.requestId}:${run.tokensInMemory}:${run.eventsMade}`).join(',') })
        if (isNews(state, report)) loop.dispatch({ type: 'report_read', report, askedAtMs })
      }
      await wanted.wait(periodOf(state, askedAtMs), ended.signal)
    }
  }

  follow().catch((error: unknown) => logger.error('report_loop_ended', { error }))
  return {
    address: listener.address,
    state: () => state,
    close: async () => {
      ended.abort()
      pool.destroy()
      await listener.close()
    }
  }
}

// A confirmation that came while the report was on its way needs another one at once.
function periodOf (state: LedgerState, reportAskedAtMs: number): number {
  const confirms = [...state.bookings.values()].flatMap(({ confirm }) => confirm ?? [])
  if (confirms.some(({ askedAtMs }) => askedAtMs > reportAskedAtMs)) return 0
  if (confirms.length > 0) return CONFIRM_PERIOD_MS
  return isBusy(state) ? BUSY_PERIOD_MS : IDLE_PERIOD_MS
}

function isBusy (state: LedgerState): boolean {
  return state.bookings.size + state.waiting.length + state.lastRuns.size > 0 || (state.report?.active ?? 0) > 0
}

// An idle replica's report that repeats the last one wakes no entry.
function isNews (state: LedgerState, report: EngineReport): boolean {
  const { report: last } = state
  if (!state.isHealthy || last === undefined || isBusy(state) || report.active > 0 || report.queued > 0) return true
  return last.stage !== report.stage || last.isSwitching !== report.isSwitching || last.capacityTokens !== report.capacityTokens
}

function toAsk (request: ReserveMemoryRequest): MemoryAsk {
  const { bookingId, hintTokens, leadMs, maxOutputTokens, maxWaitMs, priority, promptTokens, readsInPlace, requestId, targetMs } = request
  return { bookingId, hintTokens, leadMs, maxOutputTokens, maxWaitMs, priority, promptTokens, readsInPlace, requestId, targetMs }
}

function readReport (pool: ConnectionPool, dialect: ReplicaDialect, clock: Clock): Promise<EngineReport | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let bytes = 0
    let status = 0
    const call = startReplicaCall(pool, { ...dialect.report, headers: [] }, {
      onHead: (answered) => { status = answered },
      onChunk: (chunk) => {
        bytes += chunk.length
        if (bytes <= REPORT_BYTES) chunks.push(chunk)
      },
      onEnd: () => finish(status === 200 ? dialect.readReport(Buffer.concat(chunks)).unwrapOr(undefined) : undefined),
      onFail: () => finish(undefined)
    })
    const cancel: Teardown = clock.callAt(clock.nowMs() + REPORT_TIMEOUT_MS, () => {
      call.abort()
      finish(undefined)
    })
    function finish (report: EngineReport | undefined): void {
      cancel()
      resolve(report)
    }
  })
}
