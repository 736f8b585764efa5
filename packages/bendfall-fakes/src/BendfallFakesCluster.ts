/**
 * Starts a fleet of processes for the process tests and the soak, and gives
 * access to its processes: signals, restarts, fault injection and inspection.
 *
 * @module
 */
import type { InstanceRecord, Intent } from 'bendfall-core'
import { createConnections, mergeTimelines } from 'bendfall-node'
import type { Connections } from 'bendfall-node'
import type { StatusResponse, TimelineEvent } from 'bendfall-protocol'
import { request } from 'undici'
import { confirmIntent } from './BendfallFakesDemoOperator.js'
import type { ListeningProcess, ProcessSignal } from './BendfallFakesDemoProcess.js'
import { replaceInstanceList, startFleet, waitUntilInForce } from './BendfallFakesDemoSetup.js'
import type { Fleet, FleetPlan, RunningNode } from './BendfallFakesDemoSetup.js'
import type { EngineState } from './BendfallFakesEngine.js'
import type { Fault } from './BendfallFakesFaults.js'
import type { KeyValueCalls } from './BendfallFakesKeyValue.js'
import type { ServiceRuns } from './BendfallFakesService.js'

const CONNECT_TIMEOUT_MS = 1_000
const STATUS_TIMEOUT_MS = 2_000

/** A running fleet with its initial intent in force. */
export interface Cluster {
  readonly fleet: Fleet
  /** Aborted when the cluster begins to stop. */
  readonly ended: AbortSignal
  /** Configuration version that the initial intent created. */
  readonly version: number
  /** Instance ids of all sidecars and entries, in start order. */
  readonly instanceIds: readonly string[]
  /** Returns the current process of an instance, or its last one. */
  readonly node: (instanceId: string) => RunningNode
  /** Returns the address on which an entry accepts callers, as `ip:port`. */
  readonly callers: (instanceId: string) => string
  readonly signal: (instanceId: string, signal: ProcessSignal) => void
  /** Kills a bendfall process with SIGKILL; resolves when it has exited. */
  readonly kill: (instanceId: string) => Promise<void>
  /** Requests a graceful shutdown with SIGTERM; resolves to the exit code. */
  readonly terminate: (instanceId: string) => Promise<number | null>
  /** Starts a new process with the addresses of the previous one. */
  readonly restart: (instanceId: string) => Promise<void>
  /** Kills the stand-in of an upstream with SIGKILL. */
  readonly killUpstream: (instanceId: string) => Promise<void>
  /** Injects a fault into a stand-in, given by upstream instance or as `key-value` or `instances`. */
  readonly injectFault: (name: string, fault: Fault) => Promise<void>
  /** Clears all faults of a stand-in. */
  readonly clearFaults: (name: string) => Promise<void>
  readonly engine: (instanceId: string) => Promise<EngineState>
  readonly service: (instanceId: string) => Promise<ServiceRuns>
  /** Reads how many calls of each kind the key-value stand-in received. */
  readonly keyValueCalls: () => Promise<KeyValueCalls>
  /** Sets the state of one instance in the instance list after a lag; `absent` removes the instance. */
  readonly list: (instanceId: string, state: InstanceRecord['state'] | 'absent', lagMs?: number) => Promise<void>
  readonly status: (instanceId: string) => Promise<StatusResponse>
  /** Reads the configuration version in force at a process; 0 while it has none. */
  readonly configVersion: (instanceId: string) => Promise<number>
  /** Merges the timelines of all running processes; those that fail to respond are left out. */
  readonly timeline: (subject?: string) => Promise<TimelineEvent[]>
  /**
   * Kills all processes by process id.
   *
   * @throws Error when a process had already exited unexpectedly
   */
  readonly stop: () => Promise<void>
}

/**
 * Starts a cluster, confirms an intent and waits until it is in force.
 *
 * @param plan - processes to run and their settings
 * @param intent - the initial intent
 * @returns the running cluster
 */
export async function startCluster (plan: FleetPlan, intent: Intent): Promise<Cluster> {
  const fleet = await startFleet(plan)
  try {
    const { version } = await confirmIntent(fleet, intent)
    await waitUntilInForce(fleet, version)
    return createCluster(fleet, version)
  } catch (error) {
    await fleet.kill()
    throw error
  }
}

function createCluster (fleet: Fleet, version: number): Cluster {
  const nodes = new Map([...fleet.sidecars, ...fleet.entries].map((node) => [node.record.instanceId, node]))
  const records = new Map([...nodes].map(([instanceId, { record }]) => [instanceId, record]))
  const expectedExits = new Set<ListeningProcess>()
  const connections = createConnections(CONNECT_TIMEOUT_MS)
  const ended = new AbortController()
  const node = (instanceId: string): RunningNode => getByName(nodes, instanceId)
  const standIn = (name: string): ListeningProcess => getByName(new Map([...fleet.upstreams, ['key-value', fleet.keyValue], ['instances', fleet.instanceList]]), name)

  async function signalAndWait (process: ListeningProcess, signal: ProcessSignal): Promise<number | null> {
    expectedExits.add(process)
    process.signal(signal)
    return await process.exited
  }

  const status: Cluster['status'] = (instanceId) =>
    connections.to(node(instanceId).record.address).peer.status({}, { timeoutMs: STATUS_TIMEOUT_MS })

  return {
    fleet,
    ended: ended.signal,
    version,
    instanceIds: [...nodes.keys()],
    node,
    callers: (instanceId) => node(instanceId).process.listening.callers,
    signal: (instanceId, signal) => node(instanceId).process.signal(signal),
    kill: async (instanceId) => { await signalAndWait(node(instanceId).process, 'SIGKILL') },
    terminate: (instanceId) => signalAndWait(node(instanceId).process, 'SIGTERM'),
    restart: async (instanceId) => { nodes.set(instanceId, await node(instanceId).restart()) },
    killUpstream: async (instanceId) => { await signalAndWait(standIn(instanceId), 'SIGKILL') },
    injectFault: async (name, fault) => { await callControl(standIn(name), 'fail', fault) },
    clearFaults: async (name) => { await callControl(standIn(name), 'reset', {}) },
    engine: async (instanceId) => await callControl(standIn(instanceId), 'state') as EngineState,
    service: async (instanceId) => await callControl(standIn(instanceId), 'runs') as ServiceRuns,
    keyValueCalls: async () => await callControl(fleet.keyValue, 'calls') as KeyValueCalls,
    list: async (instanceId, state, lagMs) => {
      if (state === 'absent') records.delete(instanceId)
      else records.set(instanceId, { ...node(instanceId).record, state })
      await replaceInstanceList(fleet.instanceListUrl, [...records.values()], lagMs)
    },
    status,
    configVersion: async (instanceId) => (JSON.parse((await status(instanceId)).reconcileJson) as { readonly configVersion: number }).configVersion,
    timeline: (subject = '') => readTimeline([...nodes.values()], connections, subject),
    stop: async () => {
      ended.abort()
      connections.close()
      const all = [...fleet.upstreams.values(), fleet.keyValue, fleet.instanceList, ...[...nodes.values()].map(({ process }) => process)]
      const unexpectedExits = all.filter((process) => !process.isRunning() && !expectedExits.has(process))
      await fleet.kill()
      if (unexpectedExits.length > 0) throw new Error(unexpectedExits.map(({ name, lines }) => `${name} exited unexpectedly:\n${lines.join('\n')}`).join('\n'))
    }
  }
}

function getByName<T> (items: ReadonlyMap<string, T>, name: string): T {
  const item = items.get(name)
  if (item === undefined) throw new Error(`unknown process or stand-in of this cluster: ${name}`)
  return item
}

async function readTimeline (nodes: readonly RunningNode[], connections: Connections, subject: string): Promise<TimelineEvent[]> {
  const running = nodes.filter(({ process }) => process.isRunning())
  const responses = await Promise.allSettled(running.map(({ record }) =>
    connections.to(record.address).peer.timeline({ subject }, { timeoutMs: STATUS_TIMEOUT_MS })))
  return mergeTimelines(responses.flatMap((response) => response.status === 'fulfilled' ? response.value.events : []))
}

async function callControl (process: ListeningProcess, name: string, body?: object): Promise<unknown> {
  const method = body === undefined ? 'GET' : 'POST'
  const response = await request(`${process.listening.url}/control/${name}`, { method, body: body === undefined ? undefined : JSON.stringify(body) })
  return await response.body.json()
}
