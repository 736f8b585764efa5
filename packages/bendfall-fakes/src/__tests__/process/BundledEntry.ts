import { setTimeout as sleep } from 'node:timers/promises'
import * as assert from 'uvu/assert'
import { createFleetConfig } from '../../fleet/BendfallFakesFleetConfig.js'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { answersIp } from '../../fleet/answers/BendfallFakesAnswersEntry.js'
import { buildBundle, send } from './BundleHarness.js'
import type { Bundle, BundledProcess, RequestOutcome } from './BundleHarness.js'
import { startHeadProxy } from './HeadProxy.js'
import type { HeadProxy } from './HeadProxy.js'

const HOST = 'odd.example'
const ENTRY_IP = answersIp(2)
const CALLERS_PORT = 17_381
const READY_PORT = 17_382

/** Timeout of the routes. */
export const ROUTE_TIMEOUT_MS = 1_200

/** Requests need their final response this long after the timeout of their route. */
const GRACE_MS = 500

/** A process that is ready accepts connections within this time. */
export const CONTACT_MS = 3_000

const START_TIMEOUT_MS = 10_000

/** Settings that the roles share. */
export const COMMON_SETTINGS = { availabilityZone: 'a', peerPorts: [17_380, 17_389], stopGraceS: 1 }

/** The bundle, with proxies in front of a store and a plain replica that are sound. */
export interface BundleFleet {
  readonly bundle: Bundle
  readonly storeProxy: HeadProxy
  readonly replicaProxy: HeadProxy
  /** Puts a configuration whose lookups have this first segment of the path. */
  readonly putConfig: (version: number, lookups: string) => void
  readonly startEntry: () => Promise<BundledEntry>
  readonly close: () => Promise<void>
}

/** A running entry of the bundle. */
export interface BundledEntry extends BundledProcess {
  /** Sends a booking, which is not idempotent. */
  readonly book: () => Promise<RequestOutcome>
  /** Sends a lookup, which is idempotent. */
  readonly lookUp: (lookups: string) => Promise<RequestOutcome>
  /** Fails unless the process is ready and serves. */
  readonly assertServes: (message: string) => Promise<void>
}

/** Waits until a condition holds; returns false if it didn't within the time. */
export async function waitUntil (isDone: () => boolean | Promise<boolean>, timeoutMs: number): Promise<boolean> {
  for (const endsAtMs = performance.now() + timeoutMs; performance.now() < endsAtMs; await sleep(20)) {
    if (await isDone()) return true
  }
  return false
}

/** Builds the bundle and starts the store and the replica. */
export async function startBundleFleet (): Promise<BundleFleet> {
  const bundle = buildBundle()
  const store = await startFleetStore(answersIp(1))
  const storeProxy = await startHeadProxy(store.address)
  const replica = await startFleetReplica({ host: answersIp(11), replicaId: 'i-app' })
  const replicaProxy = await startHeadProxy(replica.address)
  const putConfig = (version: number, lookups: string): void => store.put('op/config', createConfig(version, lookups))
  putConfig(1, 'rate')
  store.put('servers/i-app', { service: 'app', address: replicaProxy.address, zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, seq: 1 })
  return {
    bundle,
    storeProxy,
    replicaProxy,
    putConfig,
    startEntry: () => startBundledEntry(bundle, storeProxy.address),
    close: async () => {
      for (const { close } of [replicaProxy, storeProxy, replica, store]) await close()
      bundle.remove()
    }
  }
}

function createConfig (version: number, lookups: string): object {
  const config = createFleetConfig({ host: HOST, timeoutMs: ROUTE_TIMEOUT_MS, handleTtlS: 1, maxBodyBytes: 100_000 }) as { readonly routes: ReadonlyArray<{ readonly name: string }> }
  return { ...config, version, routes: config.routes.map((route) => route.name === 'rate' ? { ...route, 'path-prefix': `/${lookups}/` } : route) }
}

let nextId = 1

async function startBundledEntry (bundle: Bundle, keyValueAddress: string): Promise<BundledEntry> {
  const entry = await bundle.start('entry', { ...COMMON_SETTINGS, instanceId: 'entry-1', ip: ENTRY_IP, callersListen: `${ENTRY_IP}:${CALLERS_PORT}`, readyListen: `${ENTRY_IP}:${READY_PORT}`, keyValueAddress })
  const call = (path: string, body?: string): Promise<RequestOutcome> => send({
    host: ENTRY_IP,
    port: CALLERS_PORT,
    path,
    headers: { host: HOST, 'x-request-id': `odd-${nextId++}`, 'x-deadline-ms': '2500' },
    timeoutMs: ROUTE_TIMEOUT_MS + GRACE_MS,
    ...(body !== undefined && { method: 'POST', body })
  })
  const book = (): Promise<RequestOutcome> => call('/booking/1', 'booking')
  const isServing = async (): Promise<boolean> => await book() === 200
  if (!await waitUntil(isServing, START_TIMEOUT_MS)) {
    await entry.kill()
    throw new Error(`the entry did not serve: ${entry.log()}`)
  }
  return {
    ...entry,
    book,
    lookUp: (lookups) => call(`/${lookups}/1`),
    assertServes: async (message) => {
      assert.is(entry.hasEnded(), false, message)
      assert.is(await send({ host: ENTRY_IP, port: READY_PORT, path: '/api/ready', timeoutMs: CONTACT_MS }), 200, `probe after ${message}`)
      assert.ok(await waitUntil(isServing, CONTACT_MS), `request after ${message}`)
    }
  }
}
