/**
 * Starts the fleet of the demo, the end-to-end bench, the process tests and the
 * soak: stand-ins, sidecars and entries, each as a separate process.
 *
 * @module
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import type { InstanceRecord, ReconcileStatus } from 'bendfall-core'
import { createConnections } from 'bendfall-node'
import type { EntryProgress, LimitSettings, TimingSettings } from 'bendfall-node'
import { createHttpKeyValue } from 'bendfall-platform'
import { request } from 'undici'
import type { EngineOptions } from './BendfallFakesEngine.js'
import { startProcess } from './BendfallFakesDemoProcess.js'
import type { ListeningProcess } from './BendfallFakesDemoProcess.js'
import type { ServiceOptions } from './BendfallFakesService.js'

const NODE_MODULE = fileURLToPath(new URL('./BendfallMain.js', import.meta.resolve('bendfall')))
const STAND_IN_MODULE = fileURLToPath(import.meta.resolve('./BendfallFakesMain.js'))
const TIMINGS: Partial<TimingSettings> = { instancePollMs: 200 }
const ANY_PORT = '127.0.0.1:0'
const CONNECT_TIMEOUT_MS = 2_000
const IN_FORCE_POLL_MS = 20
const IN_FORCE_TIMEOUT_MS = 15_000
const HOME_SLOTS = 16
const HOMES_POLL_MS = 100

// A new holder responds with `unknown` to keys issued less than twice the allowed
// clock skew of 2 s after it acquired its slot.
const NEW_HOLDER_MS = 4_200

/** An upstream stand-in to start together with its sidecar. */
export interface UpstreamPlan {
  readonly instanceId: string
  readonly availabilityZone: string
  readonly pool: string
  readonly kind: 'engine' | 'service'
  readonly options: EngineOptions | ServiceOptions
}

/** An entry to start. */
export interface EntryPlan {
  readonly instanceId: string
  readonly availabilityZone: string
}

/** Processes to start, and their settings. */
export interface FleetPlan {
  readonly upstreams: readonly UpstreamPlan[]
  readonly entries: readonly EntryPlan[]
  /** Timings of all bendfall processes that differ from the defaults. */
  readonly timings?: Partial<TimingSettings>
  /** Limits of all bendfall processes that differ from the defaults. */
  readonly limits?: Partial<LimitSettings>
}

/** A running bendfall process. */
export interface RunningNode {
  readonly record: InstanceRecord
  readonly process: ListeningProcess
  /** Starts a process with the same settings and addresses, after this one has exited. */
  readonly restart: () => Promise<RunningNode>
}

/** All processes of a running fleet. */
export interface Fleet {
  readonly keyValueUrl: string
  readonly instanceListUrl: string
  readonly entries: readonly RunningNode[]
  readonly sidecars: readonly RunningNode[]
  /** Stand-in for the key-value service. */
  readonly keyValue: ListeningProcess
  /** Stand-in for the instance list. */
  readonly instanceList: ListeningProcess
  /** Stand-ins for the upstreams, by instance id. */
  readonly upstreams: ReadonlyMap<string, ListeningProcess>
  /**
   * Stops all processes gracefully, entries first.
   *
   * @throws Error when one did not exit with code 0
   */
  readonly stop: () => Promise<void>
  /** Kills all processes, including suspended ones. */
  readonly kill: () => Promise<void>
}

/** Content of the settings file of a bendfall process. */
interface NodeSettings {
  readonly role: 'entry' | 'sidecar'
  readonly instanceId: string
  readonly availabilityZone: string
  readonly pool?: string
  readonly listen: { readonly callers?: string, readonly peers: string }
  readonly platform: Pick<Fleet, 'instanceListUrl' | 'keyValueUrl'>
  readonly timings: Partial<TimingSettings>
  readonly limits: Partial<LimitSettings>
  readonly upstream?: { readonly kind: UpstreamPlan['kind'], readonly url: string }
}

/** Resources of a fleet that must be released, also when the start fails halfway. */
interface FleetResources {
  readonly directory: string
  readonly groups: ListeningProcess[][]
}

/**
 * Starts stand-ins, sidecars and entries, and publishes them in the instance list.
 *
 * @param plan - processes to start, and their settings
 * @returns the running fleet
 */
export async function startFleet (plan: FleetPlan): Promise<Fleet> {
  const resources: FleetResources = { directory: await mkdtemp(join(tmpdir(), 'bendfall-')), groups: [] }
  try {
    return await startAll(plan, resources)
  } catch (error) {
    await stopAll(resources).catch(() => {})
    throw error
  }
}

async function startAll (plan: FleetPlan, resources: FleetResources): Promise<Fleet> {
  const [keyValue, instanceList] = await startGroup(resources, [startStandIn('key-value'), startStandIn('instances')])
  const platform = { keyValueUrl: keyValue.listening.url, instanceListUrl: instanceList.listening.url }
  const upstreams = await startGroup(resources, plan.upstreams.map(({ kind, options }) => startStandIn(kind, options)))
  const shared = { platform, timings: { ...TIMINGS, ...plan.timings }, limits: plan.limits ?? {} }
  const sidecars = plan.upstreams.map(({ instanceId, availabilityZone, pool, kind }, index): NodeSettings =>
    ({ role: 'sidecar', instanceId, availabilityZone, pool, listen: { peers: ANY_PORT }, ...shared, upstream: { kind, url: upstreams[index].listening.url } }))
  const entries = plan.entries.map(({ instanceId, availabilityZone }): NodeSettings =>
    ({ role: 'entry', instanceId, availabilityZone, listen: { callers: ANY_PORT, peers: ANY_PORT }, ...shared }))
  const fleet: Fleet = {
    ...platform,
    keyValue,
    instanceList,
    sidecars: await startNodes(resources, sidecars),
    entries: await startNodes(resources, entries),
    upstreams: new Map(upstreams.map((process, index) => [plan.upstreams[index].instanceId, process])),
    stop: () => stopAll(resources),
    kill: () => killAll(resources)
  }
  await replaceInstanceList(platform.instanceListUrl, [...fleet.sidecars, ...fleet.entries].map(({ record }) => record))
  return fleet
}

async function startNodes (resources: FleetResources, settings: readonly NodeSettings[]): Promise<RunningNode[]> {
  const processes = await startGroup(resources, settings.map((nodeSettings) => startNode(resources, nodeSettings)))
  return processes.map((process, index) => createRunningNode(resources, settings[index], process))
}

function createRunningNode (resources: FleetResources, settings: NodeSettings, process: ListeningProcess): RunningNode {
  const { callers, peers } = process.listening
  const { role, instanceId, availabilityZone, pool = '' } = settings
  return {
    process,
    record: { instanceId, availabilityZone, address: peers, kind: role === 'entry' ? 'entry' : 'upstream', pool, state: 'live' },
    restart: async () => {
      const listen = callers === undefined ? { peers } : { callers, peers }
      const [node] = await startNodes(resources, [{ ...settings, listen }])
      return node
    }
  }
}

/**
 * Waits until a configuration is in force everywhere: engines have applied it,
 * and entries know all upstreams.
 *
 * @param fleet - the running fleet
 * @param version - version of the configuration
 * @throws Error when this does not happen in time
 */
export async function waitUntilInForce (fleet: Fleet, version: number): Promise<void> {
  const connections = createConnections(CONNECT_TIMEOUT_MS)
  const nodes = [...fleet.entries, ...fleet.sidecars]
  const deadlineMs = performance.now() + IN_FORCE_TIMEOUT_MS
  try {
    for (;;) {
      const responses = await Promise.all(nodes.map(({ record }) => connections.to(record.address).peer.status({})))
      const outdated = responses.filter((response) => !isInForce(JSON.parse(response.reconcileJson), version, fleet.sidecars.length))
      if (outdated.length === 0) return
      if (performance.now() > deadlineMs) throw new Error(`configuration is not in force everywhere: ${outdated.map((response) => response.reconcileJson).join(' ')}`)
      await sleep(IN_FORCE_POLL_MS)
    }
  } finally {
    connections.close()
  }
}

/**
 * Waits until every slot of a pool's key homes has been held long enough that
 * its holder accepts keys issued now.
 *
 * @param fleet - the running fleet
 * @param pool - a pool of plain services
 * @throws Error when this does not happen in time
 */
export async function waitUntilHomesHeld (fleet: Fleet, pool: string): Promise<void> {
  const keyValue = createHttpKeyValue({ origin: fleet.keyValueUrl })
  const deadlineMs = performance.now() + IN_FORCE_TIMEOUT_MS
  try {
    for (;;) {
      const held = await keyValue.list(`home/${pool}/`)
      if (held.type === 'listed' && held.entries.length === HOME_SLOTS) break
      if (performance.now() > deadlineMs) throw new Error(`not all slots of pool ${pool} are held: ${JSON.stringify(held)}`)
      await sleep(HOMES_POLL_MS)
    }
  } finally {
    await keyValue.close()
  }
  await sleep(NEW_HOLDER_MS)
}

function isInForce (progress: EntryProgress | ReconcileStatus, version: number, upstreams: number): boolean {
  if (progress.configVersion < version) return false
  return 'phase' in progress ? progress.phase === 'settled' : progress.liveUpstreams === upstreams
}

async function startGroup (resources: FleetResources, starting: ReadonlyArray<Promise<ListeningProcess>>): Promise<ListeningProcess[]> {
  const group: ListeningProcess[] = []
  resources.groups.push(group)
  const outcomes = await Promise.allSettled(starting)
  for (const outcome of outcomes) {
    if (outcome.status === 'fulfilled') group.push(outcome.value)
  }
  const failed = outcomes.find((outcome) => outcome.status === 'rejected')
  if (failed !== undefined) throw failed.reason
  return group
}

function startStandIn (kind: string, options: object = {}): Promise<ListeningProcess> {
  return startProcess(`stand-in ${kind}`, STAND_IN_MODULE, [kind, JSON.stringify(options)])
}

async function startNode ({ directory }: FleetResources, settings: NodeSettings): Promise<ListeningProcess> {
  const file = join(directory, `${settings.instanceId}.json`)
  await writeFile(file, JSON.stringify(settings))
  return await startProcess(settings.instanceId, NODE_MODULE, [settings.role, '--settings', file])
}

/**
 * Replaces the content of the instance list.
 *
 * @param url - URL of the stand-in for the instance list
 * @param instances - the new list
 * @param lagMs - delay until readers see the new list
 */
export async function replaceInstanceList (url: string, instances: readonly InstanceRecord[], lagMs = 0): Promise<void> {
  const response = await request(`${url}/control/instances`, { method: 'POST', body: JSON.stringify({ instances, lagMs }) })
  await response.body.dump()
}

async function stopAll ({ directory, groups }: FleetResources): Promise<void> {
  const failures: unknown[] = []
  for (const group of [...groups].reverse()) {
    const outcomes = await Promise.allSettled(group.map((process) => process.stop()))
    failures.push(...outcomes.flatMap((outcome) => outcome.status === 'rejected' ? [outcome.reason] : []))
  }
  await rm(directory, { recursive: true })
  if (failures.length > 0) throw new AggregateError(failures, failures.map(String).join('\n'))
}

async function killAll ({ directory, groups }: FleetResources): Promise<void> {
  const processes = groups.flat()
  for (const process of processes) process.signal('SIGKILL')
  await Promise.all(processes.map((process) => process.exited))
  await rm(directory, { recursive: true })
}
