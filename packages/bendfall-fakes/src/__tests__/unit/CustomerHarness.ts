import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { createMetrics, startEntry, startSidecar } from 'bendfall-edge'
import type { Entry, Metrics } from 'bendfall-edge'
import { createLogger } from 'bendfall-node'
import { createPlatformKeyValue, PLATFORM_DIALECT } from 'bendfall-platform-adapter'
import type { RouterDecisions } from 'bendfall-router'
import type { FleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import type { FleetProxy } from '../../fleet/soak/BendfallFakesFleetProxy.js'
import { startFleetProxy } from '../../fleet/soak/BendfallFakesFleetProxy.js'
import { ip, registrationOf } from './EntryHarness.js'

const HOST = 'rates.example'
const CALLERS_PORT = 17_381
const READY_PORT = 17_382
const PEER_PORTS = [17_383, 17_389] as const

/** Time within which the entries of the harness must stop accepting a revoked API key. */
export const REVOKED_WITHIN_MS = 2_500

/** Bounds on what customers may use above their allotments. */
export const ALLOTMENT_BOUNDS = { windowMs: 4_000, overShare: 0.1, slackUnits: 4_000 }

const MODEL_TOKENS = '1000,80'

/** Customer as written in the configuration. */
export interface Tenant {
  readonly name: string
  readonly 'api-keys': readonly string[]
  readonly unit?: string
  readonly 'rate-per-s'?: number
  readonly burst?: number
  readonly 'uncached-tokens'?: number
}

/** Entry that reaches its store through a proxy, which can inject faults. */
export interface CustomerEntry {
  readonly host: string
  readonly proxy: FleetProxy
  readonly lines: string[]
  readonly metrics: Metrics
  readonly entry: Entry
  readonly stop: () => Promise<void>
}

/** Entries in front of two or more plain replicas, one prefill replica and two decode replicas. */
export interface CustomerHarness {
  readonly store: FleetStore
  readonly replicas: readonly FleetReplica[]
  readonly plain: readonly FleetReplica[]
  readonly decoders: readonly FleetReplica[]
  readonly entries: readonly CustomerEntry[]
  /** Writes a version of the configuration to the store. */
  readonly configure: (version: number, tenants: readonly Tenant[]) => void
  /** Stops an entry gracefully and starts a new one in its place. */
  readonly restartEntry: (index: number) => Promise<void>
  readonly close: () => Promise<void>
}

/** Request of a caller. */
export interface CustomerCall {
  readonly path: string
  /** Raw headers in addition to those that every call has. */
  readonly headers?: ReadonlyArray<readonly [string, string]>
}

/** Response that a caller received. */
export interface CustomerResponse {
  /** HTTP status; 0 if the connection failed. */
  readonly status: number
  readonly retryAfterS?: number
  readonly body: string
  readonly id: string
  /** Monotonic time at which the response head arrived. */
  readonly answeredAtMs: number
  /** Replica named in the response stamp. */
  readonly replicaId?: string
}

const ROUTE = { host: HOST, 'timeout-ms': 1_500, 'target-latency-ms': 400, priority: 2 }
const ROUTES = [
  { ...ROUTE, name: 'rate', 'path-prefix': '/r/', kind: 'idempotent', service: 'app', 'max-attempts': 2 },
  { ...ROUTE, name: 'open', 'path-prefix': '/open/', kind: 'idempotent', service: 'app', 'max-attempts': 2, 'allow-anonymous': true },
  { ...ROUTE, name: 'summary', 'path-prefix': '/s/', kind: 'streaming', service: 'llm', 'max-attempts': 2, sticky: true, resumable: true, 'target-gap-ms': 300 }
]

/** Documents that the store has before the entries start, and switches of the entries. */
export interface CustomerHarnessOptions {
  readonly documents?: Readonly<Record<string, unknown>>
  readonly decisions?: Partial<RouterDecisions>
}

/** Runs a test with a harness, which is closed in any case. */
export async function withCustomerHarness (entryCount: number, tenants: readonly Tenant[], run: (harness: CustomerHarness) => Promise<void>, extraPlainReplicas = 0, options: CustomerHarnessOptions = {}): Promise<void> {
  const harness = await startCustomerHarness(entryCount, tenants, extraPlainReplicas, options)
  try {
    await run(harness)
  } finally {
    await harness.close()
  }
}

async function startCustomerHarness (entryCount: number, tenants: readonly Tenant[], extraPlainReplicas: number, { decisions = {}, documents = {} }: CustomerHarnessOptions): Promise<CustomerHarness> {
  const store = await startFleetStore(ip(1))
  for (const [key, document] of Object.entries(documents)) store.put(key, document)
  const plain = await Promise.all([100, 101].map((last) => startFleetReplica({ host: ip(last), replicaId: `i-${last}` })))
  const extraPlain = await Promise.all(Array.from({ length: extraPlainReplicas }, (_, index) => startFleetReplica({ host: ip(105 + index), replicaId: `i-${105 + index}` })))
  const prefill = await startFleetReplica({ host: ip(102), replicaId: 'i-102', stage: 'prefill' })
  const decoders = await Promise.all([103, 104].map((last) => startFleetReplica({ host: ip(last), replicaId: `i-${last}`, stage: 'decode' })))
  const configure = (version: number, currentTenants: readonly Tenant[]): void => {
    store.put('op/config', {
      version,
      routes: ROUTES,
      services: [{ name: 'app', 'max-connections': 110 }, { name: 'llm', 'max-connections': 110, engine: { slots: 64, 'kv-tokens': 20_000, 'handle-ttl-s': 0.5, 'switch-s': 1 } }],
      limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 100_000, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 },
      tenants: currentTenants
    })
  }
  configure(1, tenants)
  const replicas = [...plain, prefill, ...decoders, ...extraPlain]
  for (const [index, replica] of replicas.entries()) {
    const stage = replica.stage()
    store.put(`servers/i-${100 + index}`, registrationOf(replica, stage === undefined ? {} : { service: 'llm', stage }))
  }
  const sidecars = await Promise.all([prefill, ...decoders].map((replica, index) => startSidecar({
    settings: { instanceId: `sidecar-${index}`, availabilityZone: 'a', ip: ip(102 + index), replicaAddress: replica.address, peerPorts: PEER_PORTS, keyValueAddress: store.address, stopGraceS: 1 },
    dialect: PLATFORM_DIALECT,
    logger: createLogger({ level: 'error', write: () => {} }),
    metrics: createMetrics()
  })))
  const entries: CustomerEntry[] = []
  for (let index = 0; index < entryCount; index++) entries.push(await startCustomerEntry(store, index, decisions))
  return {
    store,
    replicas,
    plain: [...plain, ...extraPlain],
    decoders,
    entries,
    configure,
    restartEntry: async (index) => {
      await entries[index]?.stop()
      entries[index] = await startCustomerEntry(store, index, decisions)
    },
    close: async () => {
      await Promise.all([...entries, ...sidecars].map(({ stop }) => stop()))
      for (const one of [...replicas, store]) await one.close()
    }
  }
}

async function startCustomerEntry (store: FleetStore, index: number, decisions: Partial<RouterDecisions>): Promise<CustomerEntry> {
  const host = ip(2 + index)
  const proxy = await startFleetProxy(store.address)
  const keyValue = createPlatformKeyValue(proxy.address)
  const lines: string[] = []
  const metrics = createMetrics()
  const entry = await startEntry({
    settings: { instanceId: `entry-${index}`, availabilityZone: 'a', ip: host, callersListen: `${host}:${CALLERS_PORT}`, readyListen: `${host}:${READY_PORT}`, peerPorts: PEER_PORTS, keyValueAddress: proxy.address, stopGraceS: 1, credentials: { revokedWithinMs: REVOKED_WITHIN_MS }, allotments: ALLOTMENT_BOUNDS, decisions },
    dialect: PLATFORM_DIALECT,
    keyValue,
    metrics,
    logger: createLogger({ level: 'debug', write: (line) => { lines.push(line) } })
  })
  const isReady = async (): Promise<boolean> => (await sendCall(host, READY_PORT, { path: '/api/ready' })).status === 200
  for (let i = 0; i < 100 && !await isReady(); i++) await sleep(20)
  let isStopped = false
  return {
    host,
    proxy,
    lines,
    metrics,
    entry,
    stop: async () => {
      if (isStopped) return
      isStopped = true
      await entry.stop()
      await keyValue.close()
      await proxy.close()
    }
  }
}

let nextId = 1

const SENT_AT_MS = new Map<string, number>()

/** Returns the monotonic time at which a call was sent. */
export function sentAtMs (id: string): number {
  return SENT_AT_MS.get(id) ?? -Infinity
}

/** Sends a call to an entry. */
export function callEntry ({ host }: CustomerEntry, call: CustomerCall): Promise<CustomerResponse> {
  return sendCall(host, CALLERS_PORT, call)
}

/** Returns the headers of a call with an API key. */
export function withKey (key: string): CustomerCall['headers'] {
  return [['X-Api-Key', key]]
}

function sendCall (host: string, port: number, { headers = [], path }: CustomerCall): Promise<CustomerResponse> {
  const id = `c${nextId++}`
  SENT_AT_MS.set(id, performance.now())
  const isPrompt = path.startsWith('/s/')
  const raw = [['Host', HOST], ['X-Request-Id', id], ['X-Deadline-Ms', '1500'], ...(isPrompt ? [['X-Token-Counts', MODEL_TOKENS]] : []), ...headers]
  return new Promise((resolve) => {
    const request = httpRequest({ host, port, path, agent: false, headers: raw.flat() as unknown as Record<string, string> }, (response) => {
      let body = ''
      const answeredAtMs = performance.now()
      const replicaId = response.headers['x-response-stamp'] as string | undefined
      response.on('data', (chunk) => { body += chunk })
      const retryAfter = response.headers['retry-after']
      response.once('close', () => resolve({ status: response.statusCode ?? 0, body, id, answeredAtMs, replicaId, ...(retryAfter === undefined ? {} : { retryAfterS: Number(retryAfter) }) }))
    })
    request.once('error', () => resolve({ status: 0, body: '', id, answeredAtMs: Infinity }))
    request.end()
  })
}
