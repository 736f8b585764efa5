import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { startEntry } from 'bendfall-edge'
import type { Entry } from 'bendfall-edge'
import { createLogger } from 'bendfall-node'
import { createPlatformKeyValue, PLATFORM_DIALECT } from 'bendfall-platform-adapter'
import type { FleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import type { FleetProxy } from '../../fleet/soak/BendfallFakesFleetProxy.js'
import { startFleetProxy } from '../../fleet/soak/BendfallFakesFleetProxy.js'

const HOST = 'rates.example'
const SUBNETS = 250

/**
 * Loopback addresses of this process alone, so that tests may run side by side.
 *
 * @param last - last number of the address
 * @returns the address
 */
export function ip (last: number): string {
  const subnet = process.pid
  return `127.${1 + subnet % SUBNETS}.${1 + Math.floor(subnet / SUBNETS) % SUBNETS}.${last}`
}

/** Where the entry takes calls. */
export const CALLERS = { host: ip(2), port: 17_381 }
const READY = { host: ip(2), port: 17_382 }

const CALL_PAUSE_MS = 10

/** Slower than the replica that leaves, which is chosen as long as it counts. */
const STAYING_ANSWER_MS = 20

/** Enough that the slower replica is used too. */
const CALLERS_AT_ONCE = 16

const CONFIG = {
  version: 1,
  routes: [{ name: 'rate', host: HOST, 'path-prefix': '/r/', kind: 'idempotent', 'timeout-ms': 1200, 'target-latency-ms': 150, priority: 2, service: 'app', 'max-attempts': 2 }],
  services: [{ name: 'app', 'max-connections': 110 }],
  limits: { 'max-header-bytes': 4096, 'max-body-bytes': 100000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
}

/** An entry before two plain replicas, with a proxy before its store. */
export interface Scene {
  readonly store: FleetStore
  readonly storeProxy: FleetProxy
  readonly stays: FleetReplica
  readonly leaves: FleetReplica
  readonly entry: Entry
  readonly close: () => Promise<void>
}

/** Registration of a replica, changed as told. */
export const registrationOf = ({ address }: { readonly address: string }, change: object = {}): object =>
  ({ service: 'app', address, zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, seq: 1, ...change })

/** Plays in a scene that is closed whatever happens. */
export async function inScene (play: (scene: Scene) => Promise<void>): Promise<void> {
  const scene = await startScene()
  try {
    await play(scene)
  } finally {
    await scene.close()
  }
}

async function startScene (): Promise<Scene> {
  const store = await startFleetStore(ip(1))
  const storeProxy = await startFleetProxy(store.address)
  const stays = await startFleetReplica({ host: ip(11), replicaId: 'i-stays', answerMs: STAYING_ANSWER_MS })
  const leaves = await startFleetReplica({ host: ip(12), replicaId: 'i-leaves' })
  store.put('op/config', CONFIG)
  store.put('servers/i-stays', registrationOf(stays))
  store.put('servers/i-leaves', registrationOf(leaves))
  const keyValue = createPlatformKeyValue(storeProxy.address)
  const entry = await startEntry({
    settings: { instanceId: 'entry-1', availabilityZone: 'a', ip: CALLERS.host, callersListen: `${CALLERS.host}:${CALLERS.port}`, readyListen: `${READY.host}:${READY.port}`, peerPorts: [17_380, 17_389], keyValueAddress: storeProxy.address, stopGraceS: 1 },
    dialect: PLATFORM_DIALECT,
    keyValue,
    logger: createLogger({ level: 'error', write: () => {} })
  })
  for (let i = 0; i < 100 && await call({ ...READY, path: '/api/ready', id: 'ready' }) !== 200; i++) await sleep(20)
  return {
    store,
    storeProxy,
    stays,
    leaves,
    entry,
    close: async () => {
      await entry.stop()
      await keyValue.close()
      for (const one of [stays, leaves, storeProxy, store]) await one.close()
    }
  }
}

/** Calls once; returns the status, 0 for a broken call. */
export function call ({ host, id, path, port }: { readonly host: string, readonly port: number, readonly path: string, readonly id: string }): Promise<number> {
  return new Promise((resolve) => {
    const request = httpRequest({ host, port, path, agent: false, headers: { host: HOST, 'x-request-id': id, 'x-deadline-ms': '1000' } }, (response) => {
      response.resume()
      response.once('close', () => resolve(response.statusCode ?? 0))
    })
    request.once('error', () => resolve(0))
    request.end()
  })
}

let nextId = 1

/** Calls for some time; returns how many reached the replica that leaves, and how many were answered. */
export async function callFor ({ leaves }: Scene, ms: number): Promise<{ readonly atLeaving: number, readonly answered: number, readonly asked: number }> {
  const before = leaves.seen.length
  const endsAtMs = performance.now() + ms
  let asked = 0
  const answered = await Promise.all(Array.from({ length: CALLERS_AT_ONCE }, async () => {
    let count = 0
    while (performance.now() < endsAtMs) {
      asked += 1
      if (await call({ ...CALLERS, path: '/r/1', id: `r${nextId++}` }) === 200) count += 1
      await sleep(CALL_PAUSE_MS)
    }
    return count
  }))
  return { asked, atLeaving: leaves.seen.length - before, answered: answered.reduce((sum, count) => sum + count, 0) }
}
