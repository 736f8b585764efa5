// Guards against status that is recorded for the wrong process of a replica that restarts under its id. The entry forgot a
// pause (503 with Retry-After) that the new process had asked for before its registration arrived, and took it for
// leaving since its predecessor had said so in responses that came after its listener was closed.
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { startEntry } from 'bendfall-edge'
import { createLogger } from 'bendfall-node'
import { createPlatformKeyValue, PLATFORM_DIALECT } from 'bendfall-platform-adapter'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { call, CALLERS_ENDPOINT, ip } from './EntryHarness.js'

const HOST = 'rates.example'
const CONFIG = {
  version: 1,
  routes: [{ name: 'rate', host: HOST, 'path-prefix': '/r/', kind: 'non_idempotent', 'timeout-ms': 1500, 'target-latency-ms': 300, priority: 2, service: 'app', 'max-attempts': 1 }],
  services: [{ name: 'app', 'max-connections': 110 }],
  limits: { 'max-header-bytes': 4096, 'max-body-bytes': 100000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
}

/** The replica that restarts is the faster one, so that it is preferred whenever it may be used. */
const WORK_MS = [90, 20] as const

const REPLICA_PORT = 17_401
const CALL_INTERVAL_MS = 20
const DOWN_MS = 300
const FIRST_HEARTBEAT_MS = 1_200
const RETRY_AFTER_S = 4
const GRACE_MS = 500

/** Time in which the replica is used again after its backoff or restart. */
const MAX_RETURN_MS = 8_000

/** Time that calls take at a process that shuts down. */
const LEAVING_WORK_MS = 200

/** Requests that may reach the replica in the rest of its backoff. */
const ALLOWED = 2

interface Replica {
  workMs: number
  readonly arrivals: number[]
  server: Server
  /** Whether the next request is refused with a backoff. */
  isBusy: boolean
  /** Whether responses say that the process shuts down. */
  isLeaving?: boolean
  backoffAtMs?: number
}

async function start (replica: Replica, host: string): Promise<void> {
  replica.server = createServer((request, response) => {
    const nowMs = performance.now()
    replica.arrivals.push(nowMs)
    const headers = { 'x-request-id': request.headers['x-request-id'], 'content-length': '0' }
    request.resume()
    if (replica.isBusy) {
      replica.isBusy = false
      replica.backoffAtMs = nowMs
      response.writeHead(503, { ...headers, 'x-not-executed': '1', 'retry-after': String(RETRY_AFTER_S) }).end()
      return
    }
    setTimeout(() => response.writeHead(200, { ...headers, 'x-response-stamp': 's', ...(replica.isLeaving === true && { 'server-leaving': '1' }) }).end(), replica.workMs)
  })
  await new Promise<void>((resolve) => { replica.server.listen(REPLICA_PORT, host, resolve) })
}

function stop ({ server }: Replica): void {
  server.close()
  server.closeAllConnections()
}

interface Scene {
  readonly replicas: readonly Replica[]
  /** The replica that is preferred whenever it may be used. */
  readonly restarted: Replica
  readonly register: (index: number, born: number) => void
  readonly close: () => Promise<void>
}

/** Starts an entry in front of two replicas, and a caller that goes on until the scene is closed. */
async function startScene (): Promise<Scene> {
  const store = await startFleetStore(ip(1))
  const replicas: Replica[] = WORK_MS.map((workMs) => ({ workMs, arrivals: [], server: createServer(), isBusy: false }))
  const register = (index: number, born: number): void => store.put(`servers/i-${index}`, { service: 'app', address: `${ip(11 + index)}:${REPLICA_PORT}`, zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, seq: 1, born })
  store.put('op/config', CONFIG)
  for (const [index, replica] of replicas.entries()) {
    await start(replica, ip(11 + index))
    register(index, Date.now())
  }
  const keyValue = createPlatformKeyValue(store.address)
  const entry = await startEntry({
    settings: { instanceId: 'entry-1', availabilityZone: 'a', ip: CALLERS_ENDPOINT.host, callersListen: `${CALLERS_ENDPOINT.host}:${CALLERS_ENDPOINT.port}`, readyListen: `${CALLERS_ENDPOINT.host}:17382`, peerPorts: [17_380, 17_389], keyValueAddress: store.address, stopGraceS: 1 },
    dialect: PLATFORM_DIALECT,
    keyValue,
    logger: createLogger({ level: 'error', write: () => {} })
  })
  let nextId = 0
  const statuses: Array<Promise<number>> = []
  const caller = setInterval(() => { statuses.push(call({ ...CALLERS_ENDPOINT, path: '/r/1', id: `r-${nextId++}` })) }, CALL_INTERVAL_MS)
  return {
    replicas,
    restarted: replicas[1] as Replica,
    register,
    close: async () => {
      clearInterval(caller)
      await Promise.all(statuses)
      await entry.stop()
      await keyValue.close()
      for (const replica of replicas) stop(replica)
      await store.close()
    }
  }
}

/** Waits until the replica gets a request after a time. */
async function isUsedAfter ({ arrivals }: Replica, sinceMs: number): Promise<boolean> {
  const isUsed = (): boolean => arrivals.some((atMs) => atMs > sinceMs)
  for (let waitedMs = 0; waitedMs < MAX_RETURN_MS && !isUsed(); waitedMs += CALL_INTERVAL_MS) await sleep(CALL_INTERVAL_MS)
  return isUsed()
}

test('a replica that restarts and asks for a pause before it registers gets nothing until the pause is over', async () => {
  const { close, register, restarted } = await startScene()
  try {
    await sleep(1_500)
    stop(restarted)
    await sleep(DOWN_MS)
    const born = Date.now()
    await start(restarted, ip(12))
    restarted.isBusy = true
    await sleep(FIRST_HEARTBEAT_MS)
    register(1, born)
    await sleep(RETRY_AFTER_S * 1_000)
    const { arrivals, backoffAtMs } = restarted
    if (backoffAtMs === undefined) throw new Error('nothing reached the replica after its restart')
    const late = arrivals.filter((atMs) => atMs > backoffAtMs + GRACE_MS && atMs < backoffAtMs + RETRY_AFTER_S * 1_000)
    assert.ok(late.length <= ALLOWED, `${late.length} requests reached it`)
    assert.ok(await isUsedAfter(restarted, backoffAtMs + RETRY_AFTER_S * 1_000), 'it is used afterwards')
  } finally {
    await close()
  }
})

test('a replica is used after its restart though its predecessor said that it leaves when its listener was closed', async () => {
  const { close, register, replicas, restarted } = await startScene()
  try {
    for (const replica of replicas) replica.workMs = LEAVING_WORK_MS
    await sleep(1_500)
    restarted.server.close()
    // Long enough that a call is refused before a response says that the process shuts down.
    await sleep(LEAVING_WORK_MS / 2)
    restarted.isLeaving = true
    await sleep(LEAVING_WORK_MS)
    stop(restarted)
    Object.assign(restarted, { isLeaving: false, workMs: WORK_MS[1] })
    const born = Date.now()
    await start(restarted, ip(12))
    await sleep(FIRST_HEARTBEAT_MS)
    register(1, born)
    assert.ok(await isUsedAfter(restarted, performance.now()), 'it is used')
  } finally {
    await close()
  }
})

test.run()
