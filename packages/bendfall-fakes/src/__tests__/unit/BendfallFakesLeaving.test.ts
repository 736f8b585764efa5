/*
 * Users saw requests reach a replica more than two seconds after it had said that it
 * leaves. Two orders of events lead there, each with the entry well by itself:
 *
 * 1. An entry was cut from the store for three seconds. Within the cut a replica left
 *    without a word: its registration was removed. The first full read after the cut
 *    showed that, but since registrations that lapsed in an outage come back, the entry
 *    dropped the removal, and the next read came four seconds later.
 *    Evidence: removals_held at the return, replica_gone 4.0 s later, sends in between.
 * 2. The connections to the store fell silent. A replica said that it drains; the watch
 *    that should have told was given up 3.2 s after its start.
 *    Evidence: sends with a newsAgeMs beyond 2,000 until directory_was_behind.
 *
 * Cause: nothing bounded the time for which an entry acts on what it last knew.
 */
import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
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
const CALLERS = { host: '127.0.8.2', port: 17_381 }
const READY = { host: '127.0.8.2', port: 17_382 }

/** Time that a replica which leaves is given to see its last new work. */
const DRAIN_MS = 2_000

/** After this long without a fault an entry is held to that time. */
const CALM_MS = 3_000

const CUT_MS = 3_000
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

interface Scene {
  readonly store: FleetStore
  readonly storeProxy: FleetProxy
  readonly stays: FleetReplica
  readonly leaves: FleetReplica
  readonly entry: Entry
  readonly close: () => Promise<void>
}

const registrationOf = ({ address }: FleetReplica, state: 'ready' | 'draining'): object =>
  ({ service: 'app', address, zone: 'a', version: 'v1', slots: 6, state, 'cold-remaining-ms': 0, seq: 1 })

async function inScene (play: (scene: Scene) => Promise<void>): Promise<void> {
  const scene = await startScene()
  try {
    await play(scene)
  } finally {
    await scene.close()
  }
}

async function startScene (): Promise<Scene> {
  const store = await startFleetStore('127.0.8.1')
  const storeProxy = await startFleetProxy(store.address)
  const stays = await startFleetReplica({ host: '127.0.8.11', replicaId: 'i-stays', answerMs: STAYING_ANSWER_MS })
  const leaves = await startFleetReplica({ host: '127.0.8.12', replicaId: 'i-leaves' })
  store.put('op/config', CONFIG)
  store.put('servers/i-stays', registrationOf(stays, 'ready'))
  store.put('servers/i-leaves', registrationOf(leaves, 'ready'))
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

function call ({ host, id, path, port }: { readonly host: string, readonly port: number, readonly path: string, readonly id: string }): Promise<number> {
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
async function callFor ({ leaves }: Scene, ms: number): Promise<{ readonly atLeaving: number, readonly answered: number }> {
  const before = leaves.seen.length
  const endsAtMs = performance.now() + ms
  const answered = await Promise.all(Array.from({ length: CALLERS_AT_ONCE }, async () => {
    let count = 0
    while (performance.now() < endsAtMs) {
      if (await call({ ...CALLERS, path: '/r/1', id: `r${nextId++}` }) === 200) count += 1
      await sleep(CALL_PAUSE_MS)
    }
    return count
  }))
  return { atLeaving: leaves.seen.length - before, answered: answered.reduce((sum, count) => sum + count, 0) }
}

/** Until latencies are known. */
const WARM_UP_MS = 300

test('a replica that left in a cut from the store gets no new work once the entry is calm', () => inScene(async (scene) => {
  assert.ok((await callFor(scene, WARM_UP_MS)).atLeaving > 0, 'both replicas are used')
  scene.storeProxy.harm('silent')
  await sleep(CUT_MS - 500)
  scene.store.remove('servers/i-leaves')
  await sleep(500)
  scene.storeProxy.harm(undefined)
  await sleep(CALM_MS)
  const { answered, atLeaving } = await callFor(scene, 1_500)
  assert.ok(answered > 20, `${answered} answered`)
  assert.is(atLeaving, 0)
}))

test('a replica that drains while the connections to the store are silent gets no new work after the drain time', () => inScene(async (scene) => {
  assert.ok((await callFor(scene, WARM_UP_MS)).atLeaving > 0, 'both replicas are used')
  // This ends the watch under way, so that the next one begins now.
  scene.store.put('servers/i-stays', registrationOf(scene.stays, 'ready'))
  await sleep(50)
  scene.storeProxy.silence()
  scene.store.put('servers/i-leaves', registrationOf(scene.leaves, 'draining'))
  await sleep(DRAIN_MS)
  const { answered, atLeaving } = await callFor(scene, 1_500)
  assert.ok(answered > 20, `${answered} answered`)
  assert.is(atLeaving, 0)
}))

test.run()
