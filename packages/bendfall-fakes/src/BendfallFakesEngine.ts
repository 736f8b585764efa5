/**
 * Stand-in for a model engine. This module assembles its prefill and decode
 * sides and handles cancels, load reports and orders.
 *
 * @module
 */
import type { EngineOrder, EngineReport } from 'bendfall-core'
import { createHttpExchanger } from 'bendfall-platform'
import type { AttemptRef } from 'bendfall-upstream'
import { createEngineDecodeSide } from './BendfallFakesEngineDecode.js'
import { CRASH_REASON, createEngineLedger } from './BendfallFakesEngineLedger.js'
import type { EngineLedger, OpenAttempt, AttemptView } from './BendfallFakesEngineLedger.js'
import { createEnginePrefillSide } from './BendfallFakesEnginePrefill.js'
import { createFaultInjector } from './BendfallFakesFaults.js'
import type { FaultInjector } from './BendfallFakesFaults.js'
import { startServer } from './BendfallFakesServer.js'
import type { Exchange, JsonReply, ListenOptions, Routes, StandIn } from './BendfallFakesServer.js'

const WEIGHT_TIMEOUT_MS = 600_000
const WEIGHT_RETRY_AFTER_MS = 1_000
const OK_STATUS = 200

const DEFAULTS = {
  totalKvBytes: 1_000_000_000,
  kvBytesPerToken: 100_000,
  prefillTokensPerSecond: 10_000,
  /** Time from the end of a prefill to the eviction of its KV cache. */
  evictsInMs: 800,
  prefixCacheEntries: 256,
  /** Total bandwidth of all exports. */
  linkBytesPerSecond: 1_000_000_000,
  /** Interval between two progress lines of a transfer. */
  progressMs: 10,
  stepMs: 10,
  tokensPerStep: 1,
  reportLagMs: 0,
  cacheEventLagMs: 0,
  /** Drops every n-th cache event; 0 drops none. */
  cacheEventGapEvery: 0,
  /** Frees an attempt without a cancel when its caller's connection closes. */
  cancelsWhenLeft: false,
  /** Rejects orders with an older fencing token. */
  checksFencing: true,
  /** Origin of the weight store; when it is empty, weights are available at once. */
  weightStoreUrl: ''
}

/** Settings of the simulated engine. */
export type EngineSettings = Readonly<typeof DEFAULTS>

/** Settings that differ from the defaults, and where to listen. */
export type EngineOptions = Partial<EngineSettings> & ListenOptions

/** State that the prefill and decode sides of an engine share. */
export interface EngineContext {
  readonly options: EngineSettings
  readonly ledger: EngineLedger
  readonly faults: FaultInjector
  readonly url: () => string
  /** Ties the connection of a call to its attempt: a crash aborts the connection, and a disconnect may free the attempt. */
  readonly bindConnection: (exchange: Exchange, held: OpenAttempt) => void
  /** Simulates a crash: frees all memory and aborts the calls that hold some. */
  readonly crash: () => void
}

/** State of an engine, for assertions. */
export interface EngineState {
  readonly attempts: readonly AttemptView[]
  readonly usedKvBytes: number
  /** Most recent requests for which any work began. */
  readonly requestIds: readonly string[]
  /** Handles of the KV caches that are not yet evicted. */
  readonly handles: readonly string[]
  /** Numbers of completed prefills and exports; the difference is wasted prefills. */
  readonly prefills: number
  readonly exports: number
  /** Order in force. */
  readonly order: EngineOrder | undefined
  /** Fencing tokens of the applied orders, in order of application. */
  readonly fencingTokens: readonly number[]
}

/** The running stand-in. */
export interface EngineStandIn extends StandIn {
  /** Returns the current state, as `GET /control/state` does. */
  readonly state: () => EngineState
}

/**
 * Starts the stand-in.
 *
 * @param overrides - where to listen, and settings that differ from the defaults
 * @returns the running stand-in
 * @throws when the port cannot be bound
 */
export async function createEngineStandIn (overrides: EngineOptions = {}): Promise<EngineStandIn> {
  const options: EngineSettings = { ...DEFAULTS, ...overrides }
  const ledger = createEngineLedger(options.totalKvBytes)
  const faults = createFaultInjector()
  const context: EngineContext = {
    options,
    ledger,
    faults,
    url: () => standIn.url,
    bindConnection: (exchange, held) => bindConnection(exchange, held, ledger, options.cancelsWhenLeft),
    crash: () => {
      ledger.crash()
      prefillSide.crash()
    }
  }
  const prefillSide = createEnginePrefillSide(context)
  const orders = createOrders(options)
  const report = createReport(options, ledger)
  const state = (): EngineState => ({ attempts: ledger.view(), usedKvBytes: ledger.usedKvBytes(), requestIds: ledger.requestIds(), ...prefillSide.state(), ...orders.state() })

  const standIn = await startServer(overrides, {
    faults,
    onClose: () => {
      report.stop()
      ledger.crash()
    },
    routes: {
      ...prefillSide.routes,
      ...createEngineDecodeSide(context),
      ...cancelRoutes(ledger, faults),
      'GET /report': () => ({ body: { type: 'report', ...report.read() } }),
      'POST /orders': orders.handle,
      'GET /control/state': () => ({ body: state() })
    }
  })
  return { ...standIn, state }
}

function bindConnection (exchange: Exchange, held: OpenAttempt, ledger: EngineLedger, cancelsWhenLeft: boolean): void {
  const { signal } = held.controller
  signal.addEventListener('abort', () => {
    if (signal.reason === CRASH_REASON) exchange.cut()
  })
  if (cancelsWhenLeft) exchange.disconnected.addEventListener('abort', () => ledger.cancel(held))
}

function cancelRoutes (ledger: EngineLedger, faults: FaultInjector): Routes {
  const cancelUnlessLost = (exchange: Exchange, run: () => void): JsonReply | undefined => {
    if (faults.consume('lose_cancel', exchange.path) !== undefined) {
      exchange.cut()
      return undefined
    }
    run()
    return { body: { type: 'cancelled' } }
  }
  return {
    'POST /cancel': (exchange) => cancelUnlessLost(exchange, () => ledger.cancel(exchange.json<AttemptRef>())),
    'POST /cancel-all': (exchange) => cancelUnlessLost(exchange, ledger.cancelAll)
  }
}

function createReport (options: EngineSettings, ledger: EngineLedger): { readonly read: () => EngineReport, readonly stop: () => void } {
  const sample = (): EngineReport => ({
    usedKvBytes: ledger.usedKvBytes(),
    totalKvBytes: options.totalKvBytes,
    stepMs: options.stepMs,
    prefillTokensPerSecond: options.prefillTokensPerSecond
  })
  if (options.reportLagMs === 0) return { read: sample, stop: () => {} }
  let last = sample()
  const timer = setInterval(() => { last = sample() }, options.reportLagMs)
  return { read: () => last, stop: () => clearInterval(timer) }
}

function createOrders (options: EngineSettings): { readonly handle: (exchange: Exchange) => Promise<JsonReply>, readonly state: () => Pick<EngineState, 'fencingTokens' | 'order'> } {
  const fencingTokens: number[] = []
  let highestToken = 0
  let current: EngineOrder | undefined

  async function handle (exchange: Exchange): Promise<JsonReply> {
    const { fencingToken, order } = exchange.json<{ fencingToken: number, order: EngineOrder }>()
    if (isStale(fencingToken)) return { status: 409, body: { type: 'stale' } }
    highestToken = Math.max(highestToken, fencingToken)
    const retryAfterMs = await loadWeights(options.weightStoreUrl, order)
    if (retryAfterMs !== undefined) return { status: 503, body: { type: 'failed', detail: 'weight store is busy', retryAfterMs } }
    if (isStale(fencingToken)) return { status: 409, body: { type: 'stale' } }
    current = order
    fencingTokens.push(fencingToken)
    return { body: { type: 'done' } }
  }

  function isStale (fencingToken: number): boolean {
    return options.checksFencing && fencingToken < highestToken
  }

  return { handle, state: () => ({ order: current, fencingTokens }) }
}

async function loadWeights (weightStoreUrl: string, order: EngineOrder): Promise<number | undefined> {
  if (weightStoreUrl === '') return undefined
  const http = createHttpExchanger({ origin: weightStoreUrl })
  const response = await http.send({ method: 'GET', path: `/weights/${order.model}?bytes=${order.weightBytes}`, timeoutMs: WEIGHT_TIMEOUT_MS })
  await http.close()
  if (response.isErr()) return WEIGHT_RETRY_AFTER_MS
  if (response.value.status === OK_STATUS) return undefined
  const refusal = JSON.parse(Buffer.from(response.value.body).toString('utf8')) as { readonly retryAfterMs?: number }
  return refusal.retryAfterMs ?? WEIGHT_RETRY_AFTER_MS
}
