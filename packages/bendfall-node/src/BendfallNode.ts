/**
 * Wires the parts of a process: the one module that knows them all.
 *
 * @module
 */
import { randomInt, randomUUID } from 'node:crypto'
import { createBendfallReducer, createInitialState, holdsRequest, loadView } from 'bendfall-core'
import type { Self } from 'bendfall-core'
import { countKeyValueCalls, createConfigPeers, readAsk, registerConfigLearner, registerConfigTree, writeAnswer } from './config/index.js'
import type { ConfigLearner } from './config/index.js'
import { registerEdge } from './edge/index.js'
import type { RefusalListener } from './edge/index.js'
import { registerHomeHolder } from './home/index.js'
import { closePorts, createHttpPorts } from './BendfallNodePorts.js'
import type { NodePorts } from './BendfallNodePorts.js'
import { readStatus } from './BendfallNodeStatus.js'
import { DECODE_GAUGES, createLamportClock, createLogger, registerEventLog, registerMetrics, registerTimeline } from './observe/index.js'
import type { Logger, Timeline } from './observe/index.js'
import { createSystemClock } from './runtime/BendfallNodeClock.js'
import { createInstanceMirror, registerInstanceReader } from './instances/index.js'
import type { InstanceReader } from './instances/index.js'
import { pause } from './runtime/BendfallNodePause.js'
import { createRuntime } from './runtime/BendfallNodeRuntime.js'
import type { Runtime } from './runtime/BendfallNodeRuntime.js'
import { createTeardownStack } from './runtime/BendfallNodeTeardown.js'
import type { TeardownStack } from './runtime/BendfallNodeTeardown.js'
import { registerTimers } from './runtime/BendfallNodeTimers.js'
import type { Settings } from './settings/index.js'
import { createConnections, registerConnectionCleanup } from './transport/BendfallNodeConnections.js'
import type { Connections } from './transport/BendfallNodeConnections.js'
import { listenForPeers } from './transport/BendfallNodePeerListener.js'
import type { PeerListener } from './transport/BendfallNodePeerListener.js'
import { registerPeerServer } from './transport/BendfallNodePeerServer.js'
import type { PeerHandlers } from './transport/BendfallNodePeerServer.js'
import { createSenderClock } from './transport/BendfallNodeSender.js'
import type { SenderClock } from './transport/BendfallNodeSender.js'
import { registerSidecarClients } from './transport/BendfallNodeSidecarClients.js'
import type { FailureListener } from './transport/BendfallNodeSidecarClients.js'
import { registerSidecarServer } from './transport/BendfallNodeSidecarServer.js'
import { registerEngine, registerEngineClear } from './upstream/BendfallNodeEngine.js'
import { registerService } from './upstream/BendfallNodeService.js'

const SEED_LIMIT = 2 ** 32

/** A running process. */
export interface Node {
  /** `ip:port` for callers; entries only. */
  readonly callersAddress?: string
  /** `ip:port` for other bendfall processes. */
  readonly peersAddress: string
  /** Shuts down gracefully: no new work, bounded wait for work in flight. */
  readonly close: () => Promise<void>
  /** Resolves when the process is closed, whoever asked for it. */
  readonly done: Promise<void>
}

interface Parts {
  readonly settings: Settings
  readonly ports: NodePorts
  readonly runtime: Runtime
  readonly sender: SenderClock
  readonly connections: Connections
  readonly learner: ConfigLearner
  readonly reader: InstanceReader
  readonly logger: Logger
  readonly timeline: Timeline
  /** Undoes what was started, last first. */
  readonly teardowns: TeardownStack
}

/**
 * Starts a process.
 *
 * @param settings - checked settings
 * @param ports - ports to the outside; over HTTP by default
 * @returns the process, listening
 * @throws Error when an address cannot be bound
 */
export async function createNode (settings: Settings, ports: NodePorts = createHttpPorts(settings)): Promise<Node> {
  const parts = createParts(settings, ports)
  const { teardowns, logger } = parts
  try {
    const stop = createStop(parts)
    registerUpstream(parts)
    const peers = await startPeers(parts, stop.ask)
    registerHome(parts, peers)
    parts.learner.start()
    parts.reader.start()
    const callersAddress = await startCallers(parts)
    logger.info('listening', { ...callersAddress === undefined ? {} : { callers: callersAddress }, peers: peers.address })
    return { callersAddress, peersAddress: peers.address, close: stop.ask, done: stop.done }
  } catch (error) {
    await teardowns.run()
    throw error
  }
}

function createParts (settings: Settings, ports: NodePorts): Parts {
  const self = createSelf(settings)
  const runtime = createRuntime(createBendfallReducer(), createInitialState(self, randomInt(SEED_LIMIT)), createSystemClock())
  const lamport = createLamportClock()
  const keyValue = countKeyValueCalls(ports.keyValue, runtime.clock)
  const sender: SenderClock = createSenderClock(runtime, lamport, (instanceId, version) => learner.onPeerVersion(instanceId, version))
  const connections = createConnections(settings.timings.connectTimeoutMs, self.role === 'entry' ? self.incarnation : undefined)
  const instances = createInstanceMirror(runtime)
  const tree = registerConfigTree(runtime)
  const reader = registerInstanceReader(runtime, {
    list: ports.instanceList,
    mirror: instances,
    // Without any other process to ask there is nobody but this one to read.
    isWatcher: () => tree.isWatcher() || tree.parents().length === 0,
    intervalMs: settings.timings.instancePollMs
  })
  const learner = registerConfigLearner(runtime, {
    keyValue,
    peers: createConfigPeers(connections, sender),
    tree,
    instances,
    onListParent: reader.noteParent,
    seeds: settings.peersSeeds,
    watchMs: settings.timings.configWatchMs
  })
  const logger = createLogger({ level: settings.log.level, base: { instance: self.instanceId } })
  const teardowns = createTeardownStack()
  teardowns.push(() => closePorts(ports))
  teardowns.push(connections.close)
  teardowns.push(registerConnectionCleanup(runtime, connections, settings.peersSeeds))
  teardowns.push(tree.close)
  teardowns.push(instances.close)
  teardowns.push(reader.close)
  teardowns.push(learner.close)
  teardowns.push(registerTimers(runtime))
  teardowns.push(registerEventLog(runtime, logger))
  const timeline = registerTimeline(runtime, lamport)
  teardowns.push(timeline.close)
  const gauges = { ...DECODE_GAUGES, config_verified_age_ms: () => finite(learner.verifiedAgeMs()), key_value_calls_per_second: keyValue.callsPerSecond }
  teardowns.push(registerMetrics(runtime, { collector: settings.metrics, gauges, onError: (error) => logger.warn('metrics_failed', { error: error.message }) }))
  return { settings, ports: { ...ports, keyValue }, runtime, sender, connections, learner, reader, logger, timeline, teardowns }
}

function finite (value: number): number | undefined {
  return Number.isFinite(value) ? value : undefined
}

function createSelf ({ instanceId, availabilityZone, role, pool = '', upstream }: Settings): Self {
  return { instanceId, incarnation: randomUUID(), availabilityZone, role, pool, checksFencing: upstream?.checksFencing ?? false }
}

function registerUpstream ({ runtime, ports, settings, logger, teardowns }: Parts): void {
  if (ports.engine !== undefined) {
    teardowns.push(registerEngine(runtime, ports.engine, settings.timings.engineReportMs))
    teardowns.push(registerEngineClear(runtime, ports.engine, (tries) => logger.warn('engine_not_cleared', { tries })))
  }
  if (ports.service !== undefined) teardowns.push(registerService(runtime, ports.service))
}

async function startPeers (parts: Parts, askStop: () => void): Promise<PeerListener> {
  const { runtime, sender, settings, teardowns } = parts
  const listener = await listenForPeers(settings.listen.peers, (router, streams) => {
    registerPeerServer(router, sender, createPeerHandlers(parts, askStop))
    if (settings.role === 'sidecar') teardowns.push(registerSidecarServer(streams, runtime, sender, { loadView, holdsRequest }))
  })
  teardowns.push(listener.close)
  return listener
}

function registerHome ({ runtime, ports, settings, teardowns }: Parts, peers: PeerListener): void {
  if (settings.role !== 'sidecar') return
  const { instanceId, incarnation } = runtime.getState().self
  const self = { holderId: instanceId, incarnation, address: peers.address }
  teardowns.push(registerHomeHolder(runtime, { keyValue: ports.keyValue, self, times: { leaseTtlMs: settings.timings.homeLeaseMs } }))
}

async function startCallers ({ runtime, sender, connections, settings, logger, teardowns }: Parts): Promise<string | undefined> {
  if (settings.listen.callers === undefined) return undefined
  const onFailure: FailureListener = (peer, error) => logger.debug('call_failed', { peer, error: String(error) })
  teardowns.push(registerSidecarClients(runtime, sender, connections, onFailure))
  const onRefusedInput: RefusalListener = (refusal) => {
    const { status, reason } = refusal
    logger.info('request_refused', { ...refusal })
    runtime.dispatch({ type: 'input_refused', status, reason })
  }
  const edge = await registerEdge(runtime, { listen: settings.listen.callers, limits: settings.limits, onRefusedInput })
  teardowns.push(edge.close)
  return edge.address
}

function createPeerHandlers ({ runtime, learner, timeline }: Parts, askStop: () => void): PeerHandlers {
  const startedAtMs = runtime.clock.nowMs()
  return {
    fetchConfig: async (request, left) => writeAnswer(await learner.serve(readAsk(request), left)),
    status: () => readStatus(runtime.getState(), runtime.clock.nowMs(), startedAtMs),
    timeline: timeline.read,
    drain: askStop
  }
}

interface Stop {
  readonly ask: () => Promise<void>
  readonly done: Promise<void>
}

function createStop ({ runtime, settings, logger, teardowns }: Parts): Stop {
  let asked = false
  let finish = (): void => {}
  const done = new Promise<void>((resolve) => { finish = resolve })
  const stopped = new AbortController()
  teardowns.push(runtime.registerEffect('stopped', () => stopped.abort()))

  async function stopGracefully (): Promise<void> {
    logger.info('stopping')
    runtime.dispatch({ type: 'stop_asked' })
    const { drainMs, lingerMs } = settings.limits
    const drained = pause(runtime.clock, drainMs, stopped.signal)
    const noticed = pause(runtime.clock, Math.min(lingerMs, drainMs))
    await Promise.all([drained, noticed])
    await teardowns.run()
    logger.info('stopped', { drained: stopped.signal.aborted })
    finish()
  }

  const ask = (): Promise<void> => {
    if (!asked) stopGracefully()
    asked = true
    return done
  }
  teardowns.push(onSignals(ask))
  return { ask, done }
}

function onSignals (ask: () => void): () => void {
  process.once('SIGTERM', ask)
  process.once('SIGINT', ask)
  return () => {
    process.off('SIGTERM', ask)
    process.off('SIGINT', ask)
  }
}
