// Guards against a bundled process that stands still because of one response: Node.js words a failed assertion that
// has no message by parsing the line of its source over and over, and a line of the bundle has 246 KB.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createFleetConfig } from '../../fleet/BendfallFakesFleetConfig.js'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import type { FleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { createRandom } from '../../fleet/answers/BendfallFakesAnswersRandom.js'
import type { Random } from '../../fleet/answers/BendfallFakesAnswersRandom.js'
import { buildBundle, ip, send, startHeadProxy, withStatus } from './BundleHarness.js'
import type { Bundle, BundledProcess, HeadProxy, RequestOutcome } from './BundleHarness.js'

const HOST = 'odd.example'
const ENTRY_IP = ip(2)
const SIDECAR_IP = ip(3)
const CALLERS_PORT = 17_381
const READY_PORT = 17_382
const SIDECAR_METRICS_PORT = 9465

const ROUTE_TIMEOUT_MS = 600

/** Requests need their final response this long after the timeout of their route. */
const GRACE_MS = 500
const PROBE_TIMEOUT_MS = 1_000

/** A configuration is in force everywhere within this time. */
const CONFIG_APPLY_MS = 2_000

const INVALID_STATUSES = ['000', '001', '099', '100', '101', '600', '999']

/** Responses of the store and reports come several times a second. */
const MAX_SPOIL_MS = 3_000

const FUZZ_SEEDS = [1, 2, 3]
const RESPONSES_PER_SEED = 60

const config = (version: number, paths = 'rate'): object => {
  const created = createFleetConfig({ host: HOST, timeoutMs: ROUTE_TIMEOUT_MS, handleTtlS: 1, maxBodyBytes: 100_000 }) as { readonly routes: ReadonlyArray<{ readonly name: string, readonly 'path-prefix': string }> }
  return { ...created, version, routes: created.routes.map((route) => route.name === 'rate' ? { ...route, 'path-prefix': `/${paths}/` } : route) }
}

const COMMON = { availabilityZone: 'a', peerPorts: [17_380, 17_389], stopGraceS: 1 }

let bundle: Bundle
let store: FleetStore
let replica: FleetReplica
let storeProxy: HeadProxy
let replicaProxy: HeadProxy
let entry: BundledProcess
let nextId = 1

const call = (kind: string, method = 'POST'): Promise<RequestOutcome> => send({ host: ENTRY_IP, port: CALLERS_PORT, method, path: `/${kind}/1`, headers: { host: HOST, 'x-request-id': `odd-${nextId++}`, 'x-deadline-ms': '2500' }, timeoutMs: ROUTE_TIMEOUT_MS + GRACE_MS, ...(method === 'POST' && { body: 'booking' }) })
const probe = (): Promise<RequestOutcome> => send({ host: ENTRY_IP, port: READY_PORT, path: '/api/ready', timeoutMs: PROBE_TIMEOUT_MS })

async function waitUntil (isDone: () => boolean | Promise<boolean>, timeoutMs: number): Promise<boolean> {
  for (const endsAtMs = performance.now() + timeoutMs; performance.now() < endsAtMs; await sleep(20)) {
    if (await isDone()) return true
  }
  return false
}

async function startEntry (): Promise<void> {
  entry = await bundle.start('entry', { ...COMMON, instanceId: 'entry-1', ip: ENTRY_IP, callersListen: `${ENTRY_IP}:${CALLERS_PORT}`, readyListen: `${ENTRY_IP}:${READY_PORT}`, keyValueAddress: storeProxy.address })
  assert.ok(await waitUntil(async () => await call('booking') === 200, 5_000), entry.log())
}

async function assertServes (what: string): Promise<void> {
  assert.is(entry.hasEnded(), false, what)
  assert.is(await probe(), 200, `probe after ${what}`)
  assert.ok(await waitUntil(async () => await call('booking') === 200, 1_000), `request after ${what}`)
}

test.before(async () => {
  bundle = buildBundle()
  store = await startFleetStore(ip(1))
  storeProxy = await startHeadProxy(store.address)
  replica = await startFleetReplica({ host: ip(11), replicaId: 'i-app' })
  replicaProxy = await startHeadProxy(replica.address)
  store.put('op/config', config(1))
  store.put('servers/i-app', { service: 'app', address: replicaProxy.address, zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, seq: 1 })
})

test.before.each(async () => {
  await startEntry()
})

test.after.each(async () => {
  for (const proxy of [replicaProxy, storeProxy]) proxy.spoilWith(undefined)
  await entry.kill()
})

test.after(async () => {
  for (const { close } of [replicaProxy, storeProxy, replica, store]) await close()
  bundle.remove()
})

// Guards against an entry that stands still, and against callers that get a status that is none of HTTP.
for (const status of INVALID_STATUSES) {
  test(`a response of a replica with the status ${status} fails only its own request`, async () => {
    replicaProxy.spoilWith(withStatus(status))
    const startedAtMs = performance.now()
    assert.is(await call('booking'), 502)
    assert.ok(performance.now() - startedAtMs < ROUTE_TIMEOUT_MS, 'refused at once')
    replicaProxy.spoilWith(undefined)
    await assertServes(status)
  })
}

// Guards against an entry whose configuration is frozen by one response of the store.
for (const status of INVALID_STATUSES) {
  test(`a response of the store with the status ${status} fails only its own call`, async () => {
    const spoiledBefore = storeProxy.spoiledCount()
    storeProxy.spoilWith(withStatus(status))
    assert.ok(await waitUntil(() => storeProxy.spoiledCount() > spoiledBefore, MAX_SPOIL_MS), 'the store was not called')
    storeProxy.spoilWith(undefined)
    await assertServes(status)
    const paths = `rate${status}`
    store.put('op/config', config(Number(`2${status}`), paths))
    assert.ok(await waitUntil(async () => await call(paths, 'GET') === 200, CONFIG_APPLY_MS), entry.log())
  })
}

// Guards against a sidecar that stands still, so that its replica serves without a ledger.
for (const status of INVALID_STATUSES) {
  test(`a report with the status ${status} doesn't stop the sidecar`, async () => {
    const decode = await startFleetReplica({ host: SIDECAR_IP, replicaId: 'i-decode', stage: 'decode' })
    const reports = await startHeadProxy(decode.address)
    const sidecar = await bundle.start('sidecar', { ...COMMON, instanceId: 'sidecar-1', ip: SIDECAR_IP, replicaAddress: reports.address, keyValueAddress: storeProxy.address })
    try {
      reports.spoilWith(withStatus(status))
      assert.ok(await waitUntil(() => reports.spoiledCount() > 0, MAX_SPOIL_MS), 'no report was read')
      reports.spoilWith(undefined)
      assert.is(await send({ host: SIDECAR_IP, port: SIDECAR_METRICS_PORT, path: '/metrics', timeoutMs: PROBE_TIMEOUT_MS }), 200)
      assert.is(sidecar.hasEnded(), false)
    } finally {
      await sidecar.kill()
      reports.close()
      await decode.close()
    }
  })
}

/** Offset of the status in a response. */
const STATUS_AT = 'HTTP/1.1 '.length

/** Ways to damage the bytes of a head at an offset. */
const DAMAGES: ReadonlyArray<(bytes: Buffer, at: number, random: Random) => Buffer> = [
  (bytes, at, random) => Buffer.concat([bytes.subarray(0, at), Buffer.from([(bytes[at] ?? 0) ^ (1 << random.integer(8))]), bytes.subarray(at + 1)]),
  (bytes, at) => Buffer.concat([bytes.subarray(0, at), bytes.subarray(at + 1)]),
  (bytes, at, random) => Buffer.concat([bytes.subarray(0, at), Buffer.from([random.integer(256)]), bytes.subarray(at)]),
  (bytes, at) => Buffer.concat([bytes.subarray(0, at), bytes]),
  (bytes, at) => bytes.subarray(0, at),
  (bytes, _, random) => Buffer.concat([bytes.subarray(0, STATUS_AT), Buffer.from(String(random.integer(1_000)).padStart(3, '0')), bytes.subarray(STATUS_AT + 3)])
]

/** Damages a response within its status line or, less often, elsewhere in its head. */
function damage (bytes: Buffer, random: Random): Buffer {
  const headBytes = random.chance(0.6) ? bytes.indexOf('\r\n') : bytes.indexOf('\r\n\r\n')
  return random.pick(DAMAGES)(bytes, random.integer(Math.max(1, headBytes)), random)
}

// Guards against further responses that stop or end the process.
for (const seed of FUZZ_SEEDS) {
  test(`damaged response heads of seed ${seed} fail only their own requests`, async () => {
    const random = createRandom(seed)
    for (let i = 0; i < RESPONSES_PER_SEED; i++) {
      let sent = ''
      replicaProxy.spoilWith((bytes) => {
        const damaged = damage(bytes, random)
        sent = damaged.toString('latin1').slice(0, 80)
        return damaged
      })
      const outcome = await call('booking')
      assert.ok(typeof outcome === 'number' && outcome >= 200 && outcome <= 599, `${outcome} after ${JSON.stringify(sent)}`)
    }
    replicaProxy.spoilWith(undefined)
    await assertServes(`seed ${seed}`)
  })
}

test.run()
