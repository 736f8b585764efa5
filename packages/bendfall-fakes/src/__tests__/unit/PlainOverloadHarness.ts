import { setTimeout as sleep } from 'node:timers/promises'
import { request as httpRequest } from 'node:http'
import { createMetrics, startEntry } from 'bendfall-edge'
import { createLogger } from 'bendfall-node'
import { createPlatformKeyValue, PLATFORM_DIALECT } from 'bendfall-platform-adapter'
import { startFleetServer } from '../../fleet/BendfallFakesFleetServer.js'
import type { FleetServer } from '../../fleet/BendfallFakesFleetServer.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { ip, registrationOf } from './EntryHarness.js'

const HOST = 'orders.example'
const CALLERS_PORT = 17_381
const READY_PORT = 17_382

/** Calls that a replica runs at once. */
export const SLOTS = 6
const QUEUE = 24

/** Times three times as long as those of deployments A and B, so that 95 calls a second fill a replica and the test needs half a core. */
const SHORT_MS = 40
const LONG_MS = 200
const LONG_SHARE = 0.15
const TARGET_MS = 440
const TIMEOUT_MS = 2_400
const CALLER_WAIT_MS = 4_500

/** Calls per second that one replica serves. */
export const REPLICA_PER_S = SLOTS * 1_000 / (SHORT_MS * (1 - LONG_SHARE) + LONG_MS * LONG_SHARE)

const ROUTE = { host: HOST, 'timeout-ms': TIMEOUT_MS, 'target-latency-ms': TARGET_MS, priority: 1, service: 'app' }
const CONFIG = {
  version: 1,
  routes: [{ ...ROUTE, name: 'rate', 'path-prefix': '/r/', kind: 'idempotent', 'max-attempts': 2 }, { ...ROUTE, name: 'order', 'path-prefix': '/o/', kind: 'non_idempotent', 'max-attempts': 1 }],
  services: [{ name: 'app', 'max-connections': 110 }],
  limits: { 'max-header-bytes': 4096, 'max-body-bytes': 100000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
}

/** Replica that runs six calls at once and queues 24; it refuses others with 503 and `X-Not-Executed`. */
export interface LimitedReplica extends FleetServer {
  readonly key: string
  /** How often it ran each call. */
  readonly runs: ReadonlyMap<string, number>
  readonly refusedAtMs: readonly number[]
  /** Returns the time for which its slots have been in use so far, in total. */
  readonly usedMs: () => number
}

/** Response to one call. */
export interface PlainResponse {
  readonly id: string
  readonly isOnce: boolean
  readonly sentAtMs: number
  /** HTTP status; 0 if the connection failed. */
  readonly status: number
  readonly tookMs: number
  readonly retryAfterS?: number
}

/** Entries before three limited replicas. */
export interface PlainOverloadHarness {
  readonly store: FleetStore
  readonly replicas: readonly LimitedReplica[]
  /** Reasons of refusals that the entries logged. */
  readonly refusals: ReadonlyMap<string, number>
  /** Sends calls at random times to random entries, and waits for the responses. */
  readonly callFor: (perS: number, durationMs: number) => Promise<PlainResponse[]>
  readonly close: () => Promise<void>
}

async function startLimitedReplica (last: number): Promise<LimitedReplica> {
  const key = `servers/i-${last}`
  const runs = new Map<string, number>()
  const refusedAtMs: number[] = []
  const queue: Array<() => void> = []
  let running = 0
  let usedMs = 0
  let changedAtMs = performance.now()
  const count = (change: number): void => {
    usedMs += running * (performance.now() - changedAtMs)
    changedAtMs = performance.now()
    running += change
  }
  const run = (answer: () => void): void => {
    count(1)
    setTimeout(() => {
      count(-1)
      answer()
      const next = queue.shift()
      if (next !== undefined) run(next)
    }, Math.random() < LONG_SHARE ? LONG_MS : SHORT_MS)
  }
  const server = await startFleetServer(ip(last), (request, _, response) => {
    const id = String(request.headers['x-request-id'])
    const head = { 'x-request-id': id, 'x-instance-id': `i-${last}` }
    if (running >= SLOTS && queue.length >= QUEUE) {
      refusedAtMs.push(performance.now())
      response.writeHead(503, { ...head, 'x-not-executed': '1', 'content-length': '2' }).end('{}')
      return
    }
    runs.set(id, (runs.get(id) ?? 0) + 1)
    const answer = (): void => { response.writeHead(200, { ...head, 'x-response-stamp': `i-${last}`, 'content-length': '2' }).end('ok') }
    if (running < SLOTS) run(answer)
    else queue.push(answer)
  })
  const readUsedMs = (): number => {
    count(0)
    return usedMs
  }
  return { ...server, key, runs, refusedAtMs, usedMs: readUsedMs }
}

/** Starts the entries and replicas. */
export async function startPlainOverloadHarness (entryCount: number): Promise<PlainOverloadHarness> {
  const store = await startFleetStore(ip(1))
  const replicas = await Promise.all([101, 102, 103].map(startLimitedReplica))
  store.put('op/config', CONFIG)
  for (const replica of replicas) store.put(replica.key, registrationOf(replica))
  const refusals = new Map<string, number>()
  const hosts = Array.from({ length: entryCount }, (_, index) => ip(2 + index))
  const stops = await Promise.all(hosts.map((host, index) => startOneEntry(host, index, store, (line) => {
    const reason = / (?:event|decision)=refused .*reason=(\w+)/.exec(line)?.[1]
    if (reason !== undefined) refusals.set(reason, (refusals.get(reason) ?? 0) + 1)
  })))
  let nextId = 1
  const callFor = async (perS: number, durationMs: number): Promise<PlainResponse[]> => {
    const responses: Array<Promise<PlainResponse>> = []
    const startMs = performance.now()
    for (let atMs = startMs; atMs < startMs + durationMs;) {
      atMs += -Math.log(1 - Math.random()) * 1_000 / perS
      const inMs = atMs - performance.now()
      if (inMs > 0) await sleep(inMs)
      responses.push(call(hosts[Math.floor(Math.random() * entryCount)] as string, CALLERS_PORT, Math.random() < 0.6 ? '/o/1' : '/r/1', `c${nextId++}`))
    }
    return await Promise.all(responses)
  }
  return {
    store,
    replicas,
    refusals,
    callFor,
    close: async () => {
      await Promise.all(stops.map((stop) => stop()))
      for (const one of [...replicas, store]) await one.close()
    }
  }
}

async function startOneEntry (host: string, index: number, store: FleetStore, onLine: (line: string) => void): Promise<() => Promise<void>> {
  const keyValue = createPlatformKeyValue(store.address)
  const entry = await startEntry({
    settings: { instanceId: `entry-${index}`, availabilityZone: 'a', ip: host, callersListen: `${host}:${CALLERS_PORT}`, readyListen: `${host}:${READY_PORT}`, peerPorts: [17_383, 17_389], keyValueAddress: store.address, stopGraceS: 1 },
    dialect: PLATFORM_DIALECT,
    keyValue,
    metrics: createMetrics(),
    logger: createLogger({ level: 'info', write: onLine })
  })
  for (let i = 0; i < 100 && (await call(host, READY_PORT, '/api/ready', 'ready')).status !== 200; i++) await sleep(20)
  return async () => {
    await entry.stop()
    await keyValue.close()
  }
}

function call (host: string, port: number, path: string, id: string): Promise<PlainResponse> {
  const sentAtMs = performance.now()
  return new Promise((resolve) => {
    const end = (status: number, retryAfter?: string): void => {
      resolve({ id, isOnce: path.startsWith('/o/'), sentAtMs, status, tookMs: performance.now() - sentAtMs, ...(retryAfter === undefined ? {} : { retryAfterS: Number(retryAfter) }) })
    }
    const request = httpRequest({ host, port, path, agent: false, headers: { host: HOST, 'x-request-id': id, 'x-deadline-ms': String(CALLER_WAIT_MS) } }, (response) => {
      response.resume()
      response.once('close', () => end(response.statusCode ?? 0, response.headers['retry-after']))
    })
    request.once('error', () => end(0))
    request.end()
  })
}
