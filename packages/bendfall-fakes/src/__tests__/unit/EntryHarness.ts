import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { createMetrics, startEntry } from 'bendfall-edge'
import type { Entry, Metrics } from 'bendfall-edge'
import { createLogger } from 'bendfall-node'
import { createPlatformKeyValue, PLATFORM_DIALECT } from 'bendfall-platform-adapter'
import type { FleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import type { FleetProxy } from '../../fleet/soak/BendfallFakesFleetProxy.js'
import { startFleetProxy } from '../../fleet/soak/BendfallFakesFleetProxy.js'

const HOST = 'rates.example'
const SUBNET_COUNT = 250

/**
 * Returns a loopback address that only this process uses, so that test files can run in parallel.
 *
 * @param last - last octet of the address
 * @returns the IPv4 address
 */
export function ip (last: number): string {
  const subnet = process.pid
  return `127.${1 + subnet % SUBNET_COUNT}.${1 + Math.floor(subnet / SUBNET_COUNT) % SUBNET_COUNT}.${last}`
}

/** Address and port on which the entry accepts requests. */
export const CALLERS_ENDPOINT = { host: ip(2), port: 17_381 }
const READY_ENDPOINT = { host: ip(2), port: 17_382 }

const CALL_INTERVAL_MS = 10

/** Makes the staying replica slower than the leaving one, so that the router prefers the latter while it is known. */
const STAYING_RESPONSE_DELAY_MS = 20

/** Enough concurrent callers that the slower replica gets requests too. */
const CONCURRENT_CALLERS = 16

const CONFIG = {
  version: 1,
  routes: [{ name: 'rate', host: HOST, 'path-prefix': '/r/', kind: 'idempotent', 'timeout-ms': 1200, 'target-latency-ms': 150, priority: 2, service: 'app', 'max-attempts': 2 }],
  services: [{ name: 'app', 'max-connections': 110 }],
  limits: { 'max-header-bytes': 4096, 'max-body-bytes': 100000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
}

/** An entry in front of two plain replicas, which reaches its store through a proxy that can inject faults. */
export interface EntryHarness {
  readonly store: FleetStore
  readonly storeProxy: FleetProxy
  readonly stayingReplica: FleetReplica
  readonly leavingReplica: FleetReplica
  readonly entry: Entry
  readonly metrics: Metrics
  readonly close: () => Promise<void>
}

/** Returns the registration of a replica with the given changes. */
export const registrationOf = ({ address }: { readonly address: string }, change: object = {}): object =>
  ({ service: 'app', address, zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, seq: 1, ...change })

/** Runs a test with a harness, which is closed in any case. */
export async function withEntryHarness (run: (harness: EntryHarness) => Promise<void>, stopGraceS = 1): Promise<void> {
  const harness = await startEntryHarness(stopGraceS)
  try {
    await run(harness)
  } finally {
    await harness.close()
  }
}

async function startEntryHarness (stopGraceS: number): Promise<EntryHarness> {
  const store = await startFleetStore(ip(1))
  const storeProxy = await startFleetProxy(store.address)
  const stayingReplica = await startFleetReplica({ host: ip(11), replicaId: 'i-stays', responseDelayMs: STAYING_RESPONSE_DELAY_MS })
  const leavingReplica = await startFleetReplica({ host: ip(12), replicaId: 'i-leaves' })
  store.put('op/config', CONFIG)
  store.put('servers/i-stays', registrationOf(stayingReplica))
  store.put('servers/i-leaves', registrationOf(leavingReplica))
  const keyValue = createPlatformKeyValue(storeProxy.address)
  const metrics = createMetrics()
  const entry = await startEntry({
    settings: { instanceId: 'entry-1', availabilityZone: 'a', ip: CALLERS_ENDPOINT.host, callersListen: `${CALLERS_ENDPOINT.host}:${CALLERS_ENDPOINT.port}`, readyListen: `${READY_ENDPOINT.host}:${READY_ENDPOINT.port}`, peerPorts: [17_380, 17_389], keyValueAddress: storeProxy.address, stopGraceS },
    dialect: PLATFORM_DIALECT,
    keyValue,
    metrics,
    logger: createLogger({ level: 'error', write: () => {} })
  })
  for (let i = 0; i < 100 && await call({ ...READY_ENDPOINT, path: '/api/ready', id: 'ready' }) !== 200; i++) await sleep(20)
  return {
    store,
    storeProxy,
    stayingReplica,
    leavingReplica,
    entry,
    metrics,
    close: async () => {
      await entry.stop()
      await keyValue.close()
      for (const one of [stayingReplica, leavingReplica, storeProxy, store]) await one.close()
    }
  }
}

/** Sends a request and returns the status, or 0 if the connection failed. */
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

/** Sends requests for some time; returns how many were sent, reached the leaving replica, and were answered with 200. */
export async function callFor ({ leavingReplica }: EntryHarness, durationMs: number): Promise<{ readonly atLeaving: number, readonly answered: number, readonly sent: number }> {
  const seenBefore = leavingReplica.seen.length
  const endsAtMs = performance.now() + durationMs
  let sent = 0
  const answered = await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, async () => {
    let count = 0
    while (performance.now() < endsAtMs) {
      sent += 1
      if (await call({ ...CALLERS_ENDPOINT, path: '/r/1', id: `r${nextId++}` }) === 200) count += 1
      await sleep(CALL_INTERVAL_MS)
    }
    return count
  }))
  return { sent, atLeaving: leavingReplica.seen.length - seenBefore, answered: answered.reduce((sum, count) => sum + count, 0) }
}
