/**
 * Wires the entry process, which accepts callers' requests: HTTP server, routing decisions,
 * connections to replicas, memory ledgers and the directory.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { Clock, Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { createSuspensionWatch, createSystemClock, createTeardownStack, createUpdateLoop, listen, listenForPeers } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import { ALLOTMENT_ROLES, createRouterState, credentialsOf, hasLimit, isExiting, areKeysFresh, reduceRouter, TICK_MS } from 'bendfall-router'
import type { Customer, PoolIntent, RouterEffect, RouterEvent, RouterState } from 'bendfall-router'
import type { Dialect } from './BendfallEdgeDialect.js'
import type { EdgeSettings } from './BendfallEdgeSettings.js'
import { allotmentBoundsOf, budgetLimitsOf, CONFIG_APPLY_MS, crashLimitsOf, credentialLimitsOf, decisionsOf, DRAIN_MS, memoryMbOf, processorShareOf } from './BendfallEdgeSettings.js'
import { registerAllotments } from './allotments/BendfallEdgeAllotments.js'
import { createExchange, RESET_DELAY_MS } from './caller/BendfallEdgeExchange.js'
import type { Exchange } from './caller/BendfallEdgeExchange.js'
import { fingerprintOf } from './caller/BendfallEdgeFingerprint.js'
import { createLoopDelay } from './caller/BendfallEdgeLoopDelay.js'
import type { LoopDelay } from './caller/BendfallEdgeLoopDelay.js'
import { registerMemoryGuard } from './caller/BendfallEdgeMemoryGuard.js'
import { createOpenExchanges } from './caller/BendfallEdgeOpenExchanges.js'
import type { OpenExchanges } from './caller/BendfallEdgeOpenExchanges.js'
import { createSendGate, OPEN_GATE } from './caller/BendfallEdgeSendGate.js'
import type { SendGate } from './caller/BendfallEdgeSendGate.js'
import { createCallerServer, INITIAL_LIMITS } from './caller/BendfallEdgeServer.js'
import type { CompleteRequest } from './caller/BendfallEdgeServer.js'
import { registerCrashReports } from './crashes/BendfallEdgeCrashReports.js'
import { registerDirectory } from './directory/BendfallEdgeDirectory.js'
import { registerLedgerClients } from './ledger/BendfallEdgeLedgerClients.js'
import { registerPermits } from './limits/BendfallEdgePermits.js'
import { registerDecisionLog, registerEraLog } from './observe/BendfallEdgeDecisionLog.js'
import { createMetrics } from './observe/BendfallEdgeMetrics.js'
import type { Metrics } from './observe/BendfallEdgeMetrics.js'
import { registerOrigins } from './origins/BendfallEdgeOrigins.js'
import { registerPools } from './pools/BendfallEdgePools.js'
import { registerHolds } from './replica/BendfallEdgeHolds.js'
import { registerReplicaChecks } from './replica/BendfallEdgeReplicaChecks.js'
import { createReplicaPools } from './replica/BendfallEdgeReplicaPools.js'
import { registerSends } from './replica/BendfallEdgeSends.js'

/** Dependencies and settings of an entry. */
export interface EntryOptions {
  readonly settings: EdgeSettings
  readonly dialect: Dialect
  readonly keyValue: KeyValuePort
  readonly logger: Logger
  readonly metrics?: Metrics
  readonly clock?: Clock
  /** Returns the resident memory of the process in bytes; default: that of the system. */
  readonly readProcessBytes?: () => number
  /** Prefill shares for the pools, confirmed by operators; if absent, the pools stay unchanged. */
  readonly poolIntent?: PoolIntent
}

/** A running entry. */
export interface Entry {
  readonly state: () => RouterState
  /** Reports not ready, waits for open requests, aborts those still open after the grace period, and stops. */
  readonly stop: () => Promise<void>
  /** Immediately aborts all responses that have not been fully sent; called when the process exits. */
  readonly cutOpenResponses: () => void
}

/**
 * Minimum time to keep serving after a stop was requested. The platform keeps routing callers
 * here until it has seen two failed readiness probes, one second apart, plus one more probe.
 */
const READINESS_LINGER_MS = 3_200

/** Time reserved between the end of the graceful stop and the kill of the process. */
const KILL_MARGIN_MS = 700

const MS_PER_SECOND = 1_000

const NO_CUSTOMERS: ReadonlyMap<string, Customer> = new Map()

/** Maximum number of request ids in the log line about aborted responses. */
const MAX_LOGGED_REQUEST_IDS = 50

/** Interval between checks whether all requests have ended. */
const STOP_POLL_INTERVAL_MS = 50

/**
 * Starts an entry.
 *
 * @param options - settings, platform adapter, key-value service and logger
 * @returns the entry, once it is listening
 * @throws Error if a listen address is missing from the settings or can't be bound
 */
export async function startEntry (options: EntryOptions): Promise<Entry> {
  const { clock = createSystemClock(), dialect, keyValue, logger, metrics = createMetrics(), settings } = options
  if (settings.callersListen === undefined || settings.readyListen === undefined) throw new Error('entry settings require callersListen and readyListen')
  const teardowns = createTeardownStack()
  const state = createRouterState(Math.floor(Math.random() * 0xffffffff), settings.instanceId, decisionsOf(settings), budgetLimitsOf(settings), crashLimitsOf(settings), credentialLimitsOf(settings))
  const readSuspendedMs = createSuspensionWatch(clock)
  const loop = createUpdateLoop<RouterEvent, RouterEffect>((event) => reduceRouter(state, { ...event, suspendedMs: readSuspendedMs(), unixMs: Date.now() }), clock)
  const exchanges = new Map<string, Exchange>()
  const open = createOpenExchanges()
  const pools = createReplicaPools(() => metrics.count('bendfall_connections_opened_total'), (address) => loop.dispatch({ type: 'connection_refused', address }))
  const loopDelay = createLoopDelay({ nowMs: clock.nowMs, idleMs: () => performance.nodeTiming.idleTime, callAfterPoll: setImmediate })
  const gate = state.decisions.closedCallers === 'ignored' ? OPEN_GATE : registerSendGate({ loop, exchanges, loopDelay, logger, metrics })
  const memory = registerMemoryGuard({ memoryMb: memoryMbOf(settings), open, clock, logger, metrics, readProcessBytes: options.readProcessBytes ?? process.memoryUsage.rss })
  teardowns.push(memory.close)
  let hasReplicas = false
  let isStopping = false
  let nextKey = 0

  const callers = createCallerServer({
    dialect: dialect.caller,
    limits: () => state.config?.limits ?? INITIAL_LIMITS,
    isStopping: () => isStopping,
    refuseNew: memory.refuseNew,
    memory: memory.requests,
    isAcceptLate: state.decisions.closedCallers === 'ignored' ? undefined : loopDelay.isAcceptLate,
    observeRead: state.decisions.closedCallers === 'ignored' ? undefined : loopDelay.observeRead,
    onRejected: (status, message, requestId) => {
      metrics.count('bendfall_rejected_total', { status: String(status) })
      logger.warn('rejected', { request: requestId, status, message })
    },
    onRequest: (request) => {
      nextKey += 1
      handleRequest({ loop, exchanges, open, gate }, request, String(nextKey), () => isStopping)
    }
  })
  const ledgers = registerLedgerClients({ loop, logger, port: settings.peerPorts[0] })
  teardowns.push(ledgers.close)
  teardowns.push(() => pools.destroyAll())
  teardowns.push(registerSends({
    loop,
    dialect: dialect.replica,
    exchanges,
    poolOf: pools.get,
    hasLimit: (replicaId) => hasLimit(state, replicaId),
    isExiting: (replicaId) => isExiting(state, replicaId),
    gate,
    onInvalidResponse: (requestId, detail) => {
      metrics.count('bendfall_answers_garbled_total')
      logger.warn('answer_garbled', { request: requestId, detail })
    },
    onCloseDelimitedResponse: ({ requestId, ...response }) => {
      metrics.count('bendfall_answers_without_length_total')
      logger.info('answer_without_length', { request: requestId, ...response })
    }
  }))
  teardowns.push(registerHolds({ loop, dialect: dialect.replica, poolOf: pools.get, hasLimit: (replicaId) => hasLimit(state, replicaId), gate }))
  teardowns.push(registerReplicaChecks({ loop, poolOf: pools.get }))
  teardowns.push(registerCrashReports({ loop, port: keyValue, logger, instanceId: settings.instanceId, rememberedMs: state.crashes.limits.rememberedMs }))
  registerResponses(loop, exchanges)
  teardowns.push(registerTicks(loop, loopDelay))
  if (options.poolIntent !== undefined) {
    state.poolIntent = options.poolIntent
    teardowns.push(registerPools({ loop, port: keyValue, dialect: dialect.replica, logger, instanceId: settings.instanceId, poolOf: pools.get, hasLimit: (replicaId) => hasLimit(state, replicaId) }))
  }
  registerDecisionLog(loop, logger, metrics)
  teardowns.push(registerEraLog(keyValue, logger, metrics))
  const own = { instanceId: settings.instanceId, address: `${settings.ip}:${settings.peerPorts[1]}` }
  const allotments = registerAllotments({ loop, port: keyValue, logger, own, bounds: allotmentBoundsOf(settings), decisions: state.decisions, processorShare: processorShareOf(settings), metrics, customers: () => state.customerIndex?.byName ?? NO_CUSTOMERS })
  const permits = registerPermits({ loop, port: keyValue, logger, own })
  const origins = registerOrigins({ loop, port: keyValue, logger, own, sidecarPort: settings.peerPorts[0], origins: state.origins })
  const peers = await listenForPeers(own.address, (_, streams) => {
    allotments.serve(streams)
    permits.serve(streams)
    origins.serve(streams)
  }, 'with_first_connection')
  teardowns.push(allotments.close)
  teardowns.push(permits.close)
  teardowns.push(origins.close)
  teardowns.push(() => { peers.close().catch((error: unknown) => logger.warn('peers_not_closed', { error })) })
  teardowns.push(registerDirectory({
    loop,
    port: keyValue,
    dialect: dialect.directory,
    logger,
    metrics,
    drainMs: settings.drainMs ?? DRAIN_MS,
    configApplyMs: settings.configApplyMs ?? CONFIG_APPLY_MS,
    revokedWithinMs: state.credentialLimits.revokedWithinMs,
    onRegistrationsRead: () => { hasReplicas = true },
    onRouterDocuments: (entries, removedKeys) => {
      allotments.applyUpdate(entries, removedKeys)
      permits.applyUpdate(entries, removedKeys)
      origins.applyUpdate(entries, removedKeys)
    },
    onConfigProcessed: () => {
      callers.applyLimits()
      allotments.applyConfig()
    },
    onReplicasChanged: () => {
      const replicas = [...state.replicas.values()].map(({ replica }) => replica)
      pools.keepOnly(new Set(replicas.map(({ address }) => address)))
      const modelReplicas = replicas.filter(({ stage }) => stage !== 'plain')
      ledgers.keepOnly(modelReplicas)
      origins.setReplicas(modelReplicas)
    }
  }))
  const isReady = (): boolean => !isStopping && hasReplicas && !state.isRefreshPending && state.config !== undefined && areKeysFresh(credentialsOf(state, clock.nowMs()))
  const ready = createReadyServer(dialect.caller.readyPath, isReady)
  await listen(ready, settings.readyListen)
  await listen(callers.server, settings.callersListen)
  metrics.gauge('bendfall_requests_open', () => state.requests.size)
  metrics.gauge('bendfall_plain_calls_waiting', () => [...state.plainQueues.values()].reduce((sum, { waiting }) => sum + waiting.length, 0))
  metrics.gauge('bendfall_replicas_known', () => state.replicas.size)
  metrics.gauge('bendfall_replicas_limited', () => state.limits.size)
  metrics.gauge('bendfall_permit_keeper', () => permits.holds() ? 1 : 0)
  metrics.gauge('bendfall_crash_suspects', () => state.crashes.suspects.size)
  metrics.gauge('bendfall_keys_age_milliseconds', () => Math.round(clock.nowMs() - state.configVerifiedAtMs))
  for (const role of ALLOTMENT_ROLES) metrics.gauge(`bendfall_allotment_keeper_${role}`, () => allotments.holds(role) ? 1 : 0)
  metrics.gauge('bendfall_processor_share', () => processorShareOf(settings))
  metrics.gauge('bendfall_config_version', () => state.config?.version ?? 0)
  logger.info('started', { role: 'entry', callers: settings.callersListen, zone: settings.availabilityZone })

  async function stop (): Promise<void> {
    isStopping = true
    allotments.resign()
    permits.resign()
    origins.resign()
    loop.dispatch({ type: 'stop_asked', graceMs: settings.stopGraceS * MS_PER_SECOND - KILL_MARGIN_MS })
    const startedMs = clock.nowMs()
    logger.info('stopping', { open: state.requests.size })
    const isOver = (): boolean => {
      const elapsedMs = clock.nowMs() - startedMs
      if (elapsedMs >= settings.stopGraceS * MS_PER_SECOND - KILL_MARGIN_MS) return true
      return elapsedMs >= READINESS_LINGER_MS && state.requests.size === 0 && open.size() === 0
    }
    while (!isOver()) await wait(STOP_POLL_INTERVAL_MS)
    logger.info('stopped', { open: state.requests.size })
    // Must precede server.close(), which ends connections gracefully even if a response is
    // complete but not yet fully sent.
    const cut = open.cut()
    logCut(cut)
    if (cut.length > 0) await wait(2 * RESET_DELAY_MS)
    cutOpenResponses()
    callers.server.close()
    callers.server.closeAllConnections()
    ready.close()
    await teardowns.run()
  }

  function wait (ms: number): Promise<void> {
    return new Promise((resolve) => { clock.callAt(clock.nowMs() + ms, resolve) })
  }

  function cutOpenResponses (): void {
    logCut(open.cutNow())
  }

  function logCut (cut: readonly Exchange[]): void {
    if (cut.length > 0) logger.warn('answers_cut', { answers: cut.length, requests: cut.slice(0, MAX_LOGGED_REQUEST_IDS).map(({ caller }) => caller.requestId).join(' ') })
  }

  return { state: () => state, stop, cutOpenResponses }
}

function createReadyServer (path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    const status = request.url !== path ? 404 : isReady() ? 200 : 503
    response.writeHead(status, { 'content-length': 0 })
    response.end()
  })
}

/** What a new request is registered with. */
interface RequestRegistry {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly exchanges: Map<string, Exchange>
  readonly open: OpenExchanges
  readonly gate: SendGate
}

function handleRequest ({ exchanges, gate, loop, open }: RequestRegistry, completeRequest: CompleteRequest, key: string, isStopping: () => boolean): void {
  const { caller, request } = completeRequest
  const exchange = createExchange({ key, ...completeRequest }, () => isStopping() && !completeRequest.hasNext())
  exchanges.set(key, exchange)
  open.add(exchange, () => {
    gate.drop(key)
    loop.dispatch({ type: 'caller_left', key })
  })
  loop.dispatch({
    type: 'request_arrived',
    arrival: {
      key,
      requestId: caller.requestId,
      host: request.headers.host ?? '',
      path: request.url ?? '/',
      fingerprint: fingerprintOf({ method: request.method ?? 'GET', path: request.url ?? '/', headers: request.headers, body: completeRequest.body }),
      deadlineMs: caller.deadlineMs,
      prompt: caller.prompt,
      keyDigest: caller.keyDigest,
      lastEventId: caller.lastEventId,
      resumedRequestId: caller.resumedRequestId
    }
  })
}

// Dispatches the passage of time as an event, so that a suspended process detects the pause
// before it makes decisions.
function registerTicks ({ clock, dispatch }: UpdateLoop<RouterEvent, RouterEffect>, loopDelay: LoopDelay): Teardown {
  let cancel: Teardown = () => {}
  const tick = (): void => {
    dispatch({ type: 'time_passed' })
    const nextAtMs = clock.nowMs() + TICK_MS
    loopDelay.expectTick(nextAtMs)
    cancel = clock.callAt(nextAtMs, tick)
  }
  tick()
  return () => cancel()
}

interface SendGateRegistration extends Pick<RequestRegistry, 'loop'> {
  readonly exchanges: ReadonlyMap<string, Exchange>
  readonly loopDelay: LoopDelay
  readonly logger: Logger
  readonly metrics: Metrics
}

function registerSendGate ({ exchanges, logger, loop, loopDelay, metrics }: SendGateRegistration): SendGate {
  return createSendGate({
    nowMs: loop.clock.nowMs,
    mayBeUnread: (key) => loopDelay.isLate() || exchanges.get(key)?.mayHideClose === true,
    hasLeft: (key) => exchanges.get(key)?.hasLeft() ?? false,
    callAfterPoll: setImmediate,
    onDeferred: () => metrics.count('bendfall_sends_deferred_total'),
    onDropped: (key, deferredMs) => {
      metrics.count('bendfall_sends_dropped_total')
      logger.info('send_dropped', { request: exchanges.get(key)?.caller.requestId, reason: 'caller_left', deferredMs: Math.round(deferredMs) })
      loop.dispatch({ type: 'caller_left', key })
    }
  })
}

function registerResponses (loop: UpdateLoop<RouterEvent, RouterEffect>, exchanges: Map<string, Exchange>): void {
  const deadlines = new Map<string, () => void>()
  loop.registerEffect('set_deadline', ({ inMs, key }) => {
    deadlines.set(key, loop.clock.callAt(loop.clock.nowMs() + inMs, () => loop.dispatch({ type: 'deadline_passed', key })))
  })
  loop.registerEffect('wake_plain', ({ inMs, service }) => {
    loop.clock.callAt(loop.clock.nowMs() + inMs, () => loop.dispatch({ type: 'plain_wake_due', service }))
  })
  loop.registerEffect('refuse', ({ key, reason, retryAfterMs, status }) => exchanges.get(key)?.refuse(status, reason, retryAfterMs))
  loop.registerEffect('cut', ({ key }) => exchanges.get(key)?.cut())
  loop.registerEffect('forget', ({ key }) => {
    deadlines.get(key)?.()
    deadlines.delete(key)
    exchanges.delete(key)
  })
}
