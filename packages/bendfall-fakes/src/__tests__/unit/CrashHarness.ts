import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { startEntry } from 'bendfall-edge'
import type { Entry } from 'bendfall-edge'
import { createLogger } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import { createPlatformKeyValue, PLATFORM_DIALECT } from 'bendfall-platform-adapter'
import type { FleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { ip, registrationOf } from './EntryHarness.js'

const HOST = 'rates.example'

/** Path of the request that crashes any replica that runs it. */
export const POISON_PATH = '/r/poison'

const RESPONSE_DELAY_MS = 20
const RESTART_DELAY_MS = 1_500
const REGISTRATION_LAPSE_MS = 2_500

const CONFIG = {
  version: 1,
  routes: [
    { name: 'rate', host: HOST, 'path-prefix': '/r/', kind: 'idempotent', 'timeout-ms': 1200, 'target-latency-ms': 150, priority: 2, service: 'app', 'max-attempts': 2 },
    { name: 'booking', host: HOST, 'path-prefix': '/b/', kind: 'non_idempotent', 'timeout-ms': 1200, 'target-latency-ms': 150, priority: 2, service: 'app', 'max-attempts': 1 }
  ],
  services: [{ name: 'app', 'max-connections': 110 }],
  limits: { 'max-header-bytes': 4096, 'max-body-bytes': 100000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
}

/** Several entries in front of plain replicas that restart under a new ID some time after they crash. */
export interface CrashHarness {
  readonly store: FleetStore
  readonly entries: readonly CrashEntry[]
  /** Monotonic times at which replicas crashed. */
  readonly crashes: readonly number[]
  /** Returns the running replicas. */
  readonly replicas: () => readonly FleetReplica[]
  /** Returns the monotonic times at which requests for a path reached replicas. */
  readonly arrivals: (path: string) => number[]
  readonly close: () => Promise<void>
}

/** An entry of the harness. */
export interface CrashEntry {
  readonly host: string
  /** Lines that the entry logged. */
  readonly lines: string[]
  readonly restart: () => Promise<void>
}

/** Response that a caller received. */
export interface CrashResponse {
  /** HTTP status; 0 if the connection failed. */
  readonly status: number
  readonly retryAfterS?: number
}

/** Port on which entries accept requests. */
export const CALLERS_PORT = 17_381
const READY_PORT = 17_382

/** Runs a test with a harness, which is closed in any case. */
export async function withCrashHarness (entries: number, replicas: number, run: (harness: CrashHarness) => Promise<void>): Promise<void> {
  const harness = await startCrashHarness(entries, replicas)
  try {
    await run(harness)
  } finally {
    await harness.close()
  }
}

async function startCrashHarness (entryCount: number, replicaCount: number): Promise<CrashHarness> {
  const store = await startFleetStore(ip(1))
  const crashes: number[] = []
  const all: FleetReplica[] = []
  const running = new Set<FleetReplica>()
  let nextId = 1
  let isClosed = false

  async function startReplica (index: number): Promise<void> {
    const replicaId = `i-${nextId++}`
    const key = `servers/${replicaId}`
    const replica = await startFleetReplica({
      host: ip(20 + index),
      replicaId,
      responseDelayMs: RESPONSE_DELAY_MS,
      crashesOn: ({ path }) => path === POISON_PATH,
      onCrash: () => {
        crashes.push(performance.now())
        running.delete(replica)
        setTimeout(() => { if (!isClosed) store.remove(key) }, REGISTRATION_LAPSE_MS).unref()
        setTimeout(() => { if (!isClosed) startReplica(index).catch((error: unknown) => { throw error }) }, RESTART_DELAY_MS).unref()
      }
    })
    all.push(replica)
    running.add(replica)
    store.put(key, registrationOf(replica, { born: replica.startedAtMs() + index }))
  }

  store.put('op/config', CONFIG)
  for (let place = 0; place < replicaCount; place++) await startReplica(place)
  const entries = await Promise.all(Array.from({ length: entryCount }, (_, index) => startCrashEntry(store, ip(2 + index), `entry-${index}`)))
  return {
    store,
    entries,
    crashes,
    replicas: () => [...running],
    arrivals: (path) => all.flatMap(({ seen }) => seen.filter((one) => one.path === path).map(({ atMs }) => atMs)).sort((one, other) => one - other),
    close: async () => {
      isClosed = true
      for (const { stop } of entries) await stop()
      for (const replica of all) await replica.close()
      await store.close()
    }
  }
}

/** Starts an entry in this process, and waits until it is ready. */
export async function startCrashEntry (store: FleetStore, host: string, instanceId: string): Promise<CrashEntry & { readonly stop: () => Promise<void> }> {
  const lines: string[] = []
  let running: { readonly entry: Entry, readonly keyValue: KeyValuePort } | undefined

  async function start (): Promise<void> {
    const keyValue = createPlatformKeyValue(store.address)
    const entry = await startEntry({
      settings: { instanceId, availabilityZone: 'a', ip: host, callersListen: `${host}:${CALLERS_PORT}`, readyListen: `${host}:${READY_PORT}`, peerPorts: [17_380, 17_389], keyValueAddress: store.address, stopGraceS: 1 },
      dialect: PLATFORM_DIALECT,
      keyValue,
      logger: createLogger({ level: 'info', write: (line) => { lines.push(line) } })
    })
    running = { entry, keyValue }
    for (let i = 0; i < 100 && (await callEntry(host, READY_PORT, '/api/ready', 'ready')).status !== 200; i++) await sleep(20)
  }

  async function stop (): Promise<void> {
    await running?.entry.stop()
    await running?.keyValue.close()
    running = undefined
  }

  await start()
  return {
    host,
    lines,
    stop,
    restart: async () => {
      await stop()
      await start()
    }
  }
}

let nextCall = 1

/** Sends a request to an entry. */
export async function callCrashEntry ({ host }: Pick<CrashEntry, 'host'>, path: string): Promise<CrashResponse> {
  return await callEntry(host, CALLERS_PORT, path, `c${nextCall++}`)
}

function callEntry (host: string, port: number, path: string, id: string): Promise<CrashResponse> {
  return new Promise((resolve) => {
    const request = httpRequest({ host, port, path, agent: false, headers: { host: HOST, 'x-request-id': id, 'x-deadline-ms': '1000' } }, (response) => {
      const retryAfter = response.headers['retry-after']
      response.resume()
      response.once('close', () => resolve({ status: response.statusCode ?? 0, retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter) }))
    })
    request.once('error', () => resolve({ status: 0 }))
    request.end()
  })
}
