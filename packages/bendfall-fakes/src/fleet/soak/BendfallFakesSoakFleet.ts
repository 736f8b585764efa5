/**
 * Fleet of the soak: bendfall's programs as processes, with stand-ins for the users' platform behind
 * proxies that can inject connection faults.
 *
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { EdgeSettings } from 'bendfall-edge'
import { digestPoolIntent } from 'bendfall-router'
import type { PoolIntent } from 'bendfall-router'
import { startProcess } from '../../BendfallFakesDemoProcess.js'
import type { ListeningProcess } from '../../BendfallFakesDemoProcess.js'
import { createFleetConfig } from '../BendfallFakesFleetConfig.js'
import type { FleetReplica, FleetReplicaOptions, ResponseBeforeCrash } from '../BendfallFakesFleetReplica.js'
import { startFleetReplica } from '../BendfallFakesFleetReplica.js'
import type { FleetStore } from '../BendfallFakesFleetStore.js'
import { startFleetStore } from '../BendfallFakesFleetStore.js'
import { SOAK_ALLOTMENTS, SOAK_REVOKED_WITHIN_MS } from './BendfallFakesSoakCustomers.js'
import type { SoakCustomers } from './BendfallFakesSoakCustomers.js'
import { hasBadPart } from './BendfallFakesSoakParts.js'
import type { FleetProxy } from './BendfallFakesFleetProxy.js'
import { startFleetProxy } from './BendfallFakesFleetProxy.js'

/** Host of the routes. */
export const SOAK_HOST = 'soak.example'

/** Number of events in a stream, which then takes about half a second. */
export const SOAK_EVENTS = 24

/** Path of the request that crashes each replica that runs it. */
export const POISON_PATH = '/rate/poison'

/** End of the path of streams with large events, which a slow reader can't receive as fast as they are made. */
export const LARGE_PATH_END = 'large'
const LARGE_EVENT_BYTES = 200_000

const EVENT_MS = 20
const FIRST_MODEL_OCTET = 11
const SUBNETS = 250
const PEER_PORT = 17_380
const CALLERS_PORT = 17_391
const READY_PORT = 17_392
const MAIN_MODULE = fileURLToPath(new URL('./BendfallPlatformMain.js', import.meta.resolve('bendfall')))

/** A restartable process of bendfall. */
export interface SoakNode {
  readonly name: string
  process: ListeningProcess
  /** Whether a fault is ending and restarting the process. */
  isEnding: boolean
  readonly restart: () => Promise<void>
}

/** A replica behind its proxy. */
export interface SoakReplica {
  readonly replica: FleetReplica
  readonly proxy: FleetProxy
  readonly replicaId: () => string
  /** Version of the software that its process runs. */
  readonly softwareVersion: () => string
  /** Replaces the process by one with a new id and another software version; the former registration lapses after a time. */
  readonly replace: (softwareVersion: string, lapseMs?: number) => void
  /** Writes the registration; `none` removes it. */
  readonly register: (state: RegisteredState) => void
  /** Rewrites the last registration, as its owner does after a restore of the store. */
  readonly rewriteRegistration: () => void
}

/** State in the registration of a replica; `none` stands for no registration. */
export type RegisteredState = 'ready' | 'draining' | 'none'

/** Period in which a replica was registered as draining or not at all. */
export interface Absence {
  readonly replica: FleetReplica
  readonly fromMs: number
  /** Absent while the period lasts. */
  untilMs: number | undefined
}

/** A notice that a replica reports in response headers: it is leaving, or wants no requests for a time. */
export interface SoakNotice {
  readonly replica: FleetReplica
  readonly kind: 'leaves' | 'backs_off'
  readonly fromMs: number
  /** End of the period for which the notice holds; absent while it is unknown. */
  untilMs: number | undefined
}

/** A running fleet. */
export interface SoakFleet {
  readonly notices: SoakNotice[]
  /** Monotonic times at which the crashing request ended replicas. */
  readonly crashes: readonly number[]
  /** Customers with API keys; absent where callers need none. */
  readonly customers?: SoakCustomers
  /** Writes the configuration to the store, as the operator does. */
  readonly configure: () => void
  readonly absences: Absence[]
  readonly store: FleetStore
  readonly storeProxy: FleetProxy
  readonly models: readonly SoakReplica[]
  readonly plain: readonly SoakReplica[]
  readonly nodes: readonly SoakNode[]
  /** `ip:port` at which each entry accepts callers. */
  readonly entries: readonly string[]
  /** Host of the routes. */
  readonly host: string
  readonly close: () => Promise<void>
}

/** A model replica that the fleet starts with. */
export interface SoakModel {
  readonly stage: 'prefill' | 'decode'
  readonly softwareVersion: string
}

/** Options of the fleet. */
export interface SoakFleetOptions {
  /** Customers with API keys; absent where callers need none. */
  readonly customers?: SoakCustomers
  /** Default: a prefill and two decode replicas of one software version. */
  readonly models?: readonly SoakModel[]
  /** Default: 2. */
  readonly entries?: number
  readonly poolIntent?: PoolIntent
  /** What a request that crashes a model replica gets before; default: nothing. */
  readonly responseBeforeCrash?: ResponseBeforeCrash
  /** Time for which entries may serve a key that they can't verify; default: that of the customers' soak. */
  readonly revokedWithinMs?: number
  /** Returns further options of a replica; without a stage, it is a plain one. */
  readonly replicaOptions?: (stage: SoakModel['stage'] | undefined) => Partial<FleetReplicaOptions>
}

const MODELS: readonly SoakModel[] = [{ stage: 'prefill', softwareVersion: 'v1' }, { stage: 'decode', softwareVersion: 'v1' }, { stage: 'decode', softwareVersion: 'v1' }]

/** Time after which the registration of a replaced process lapses. */
const LAPSE_MS = 1_500

/** Needs one more prefill replica than the fleet starts with, so that each new leader and each restart causes an order. */
const POOL_INTENT: PoolIntent = { usualPrefillShare: 0.67, leastPrefillShare: 0.5, leastPrefillReplicas: 1, mostPrefillShare: 0.67 }

const CONFIG = createFleetConfig({ host: SOAK_HOST, timeoutMs: 5_000, plain: { timeoutMs: 1_200, targetLatencyMs: 150 }, handleTtlS: 0.5, maxBodyBytes: 100_000 })

/**
 * Starts the fleet: entries, model replicas with their sidecars, and three plain replicas.
 *
 * @param options - customers, model replicas and number of entries
 * @returns the fleet once all processes listen
 */
export async function startSoakFleet ({ customers, entries = 2, models: specs = MODELS, poolIntent = POOL_INTENT, replicaOptions = () => ({}), responseBeforeCrash, revokedWithinMs = SOAK_REVOKED_WITHIN_MS }: SoakFleetOptions = {}): Promise<SoakFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'bendfall-soak-'))
  const store = await startFleetStore(loopbackIp(1))
  const storeProxy = await startFleetProxy(store.address)
  const models: SoakReplica[] = []
  const crashes: number[] = []
  const replicaNotices = { absences: [] as Absence[], notices: [] as SoakNotice[] }
  const onCrash = (replica: FleetReplica): void => {
    crashes.push(performance.now())
    endNotices(replicaNotices, replica)
  }
  for (const [index, model] of specs.entries()) models.push(await startReplica(store, loopbackIp(FIRST_MODEL_OCTET + index), `m${index}`, onCrash, { ...replicaOptions(model.stage), responseBeforeCrash }, model))
  const plain = [await startReplica(store, loopbackIp(31), 'a0', onCrash, replicaOptions(undefined)), await startReplica(store, loopbackIp(32), 'a1', onCrash, replicaOptions(undefined)), await startReplica(store, loopbackIp(33), 'a2', onCrash, replicaOptions(undefined))]
  for (const one of [...models, ...plain]) one.register('ready')
  let version = 0
  const configure = (): void => {
    version += 1
    store.put('op/config', customers === undefined ? CONFIG : { ...CONFIG, version, tenants: customers.tenants() })
  }
  configure()
  const poolsFile = join(folder, 'pools.json')
  writeFileSync(poolsFile, JSON.stringify({ intent: poolIntent, confirmedDigest: digestPoolIntent(poolIntent) }))
  const shared = { poolsFile, availabilityZone: 'a', peerPorts: [PEER_PORT, PEER_PORT + 9] as const, keyValueAddress: storeProxy.address, stopGraceS: 4, credentials: { revokedWithinMs }, allotments: SOAK_ALLOTMENTS }
  const entryIps = Array.from({ length: entries }, (_, index) => loopbackIp(2 + index))
  const nodes = [
    ...await Promise.all(models.map(({ replica }, index) => startNode(folder, 'sidecar', { ...shared, instanceId: `sidecar-${index}`, ip: hostOf(replica.address), replicaAddress: replica.address }))),
    ...await Promise.all(entryIps.map((entryIp, index) => startNode(folder, 'entry', { ...shared, instanceId: `entry-${index}`, ip: entryIp, callersListen: `${entryIp}:${CALLERS_PORT}`, readyListen: `${entryIp}:${READY_PORT}` })))
  ]
  return {
    ...replicaNotices,
    crashes,
    customers,
    configure,
    store,
    storeProxy,
    models,
    plain,
    nodes,
    entries: entryIps.map((own) => `${own}:${CALLERS_PORT}`),
    host: SOAK_HOST,
    close: async () => {
      for (const { process } of nodes) process.signal('SIGKILL')
      await Promise.all(nodes.map(({ process }) => process.exited))
      for (const { proxy, replica } of [...models, ...plain]) await Promise.all([proxy.close(), replica.close()])
      await Promise.all([storeProxy.close(), store.close()])
      rmSync(folder, { recursive: true })
    }
  }
}

/**
 * Ends the notices and the absence of a replica: they don't apply to a restarted process.
 *
 * @param fleet - notices and absences of all replicas
 * @param replica - replica that restarts
 */
export function endNotices ({ absences, notices }: Pick<SoakFleet, 'absences' | 'notices'>, replica: FleetReplica): void {
  const nowMs = performance.now()
  for (const notice of [...absences, ...notices]) {
    if (notice.replica === replica) notice.untilMs = Math.min(nowMs, notice.untilMs ?? Infinity)
  }
}

// Derives loopback addresses from the process id, so that concurrent soaks don't collide.
function loopbackIp (last: number): string {
  const subnet = process.pid
  return `127.${1 + subnet % SUBNETS}.${Math.floor(subnet / SUBNETS) % SUBNETS}.${last}`
}

async function startReplica (store: FleetStore, host: string, replicaId: string, onCrash: (replica: FleetReplica) => void, options: Partial<FleetReplicaOptions>, model?: SoakModel): Promise<SoakReplica> {
  const stage = model?.stage
  const replica = await startFleetReplica({
    ...options,
    host,
    replicaId,
    stage,
    softwareVersion: model?.softwareVersion,
    events: SOAK_EVENTS,
    eventMs: EVENT_MS,
    restartsAfterCrash: true,
    eventPaddingBytes: ({ path }) => path.endsWith(LARGE_PATH_END) ? LARGE_EVENT_BYTES : 0,
    crashesOn: (request) => request.path === POISON_PATH || hasBadPart(request),
    onCrash: () => {
      onCrash(replica)
      register('ready')
    }
  })
  const proxy = await startFleetProxy(replica.address)
  let currentId = replicaId
  let key = `servers/${replicaId}`
  let softwareVersion = model?.softwareVersion ?? 'v1'
  let seq = 0
  let replacements = 0
  let registered: RegisteredState = 'none'
  function register (state: RegisteredState): void {
    registered = state
    if (state === 'none') return store.remove(key)
    seq += 1
    store.put(key, { born: replica.startedAtMs(), service: stage === undefined ? 'app' : 'llm', address: proxy.address, zone: 'a', version: softwareVersion, slots: 6, state, 'cold-remaining-ms': 0, stage: replica.stage(), seq })
  }
  function replace (newSoftwareVersion: string, lapseMs = LAPSE_MS): void {
    const formerKey = key
    setTimeout(() => store.remove(formerKey), lapseMs).unref()
    softwareVersion = newSoftwareVersion
    replacements += 1
    currentId = `${replicaId}-${replacements}`
    key = `servers/${currentId}`
    replica.replace(currentId, softwareVersion)
    register('ready')
  }
  return { replica, proxy, replicaId: () => currentId, softwareVersion: () => softwareVersion, replace, register, rewriteRegistration: () => register(registered) }
}

async function startNode (folder: string, role: 'entry' | 'sidecar', settings: EdgeSettings): Promise<SoakNode> {
  const file = join(folder, `${settings.instanceId}.json`)
  writeFileSync(file, JSON.stringify(settings))
  const start = (): Promise<ListeningProcess> => startProcess(settings.instanceId, MAIN_MODULE, [role], { env: { BENDFALL_BOOT: file }, readyEvent: 'started' })
  const node: SoakNode = { name: settings.instanceId, process: await start(), isEnding: false, restart: async () => { node.process = await start() } }
  return node
}

const hostOf = (address: string): string => address.slice(0, address.lastIndexOf(':'))
