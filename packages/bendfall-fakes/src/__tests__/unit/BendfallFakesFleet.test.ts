import { request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EdgeSettings, Entry, Sidecar } from 'bendfall-edge'
import { startEntry, startSidecar } from 'bendfall-edge'
import { createLogger } from 'bendfall-node'
import type { Logger } from 'bendfall-node'
import { createPlatformKeyValue, PLATFORM_DIALECT } from 'bendfall-platform-adapter'
import type { FleetReplica, FleetReplicaFault } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { ip } from './EntryHarness.js'

const HOST = 'quotes.example'
const PEER_PORT = 17_380
const CALLERS_PORT = 17_381
const READY_PORT = 17_382

const CONFIG = {
  version: 3,
  routes: [
    { name: 'summary', host: HOST, 'path-prefix': '/s/', kind: 'streaming', 'timeout-ms': 5000, 'target-latency-ms': 900, priority: 1, service: 'llm', 'max-attempts': 1, sticky: true, resumable: false, 'target-gap-ms': 300 },
    { name: 'brief', host: HOST, 'path-prefix': '/b/', kind: 'streaming', 'timeout-ms': 5000, 'target-latency-ms': 900, priority: 1, service: 'llm', 'max-attempts': 2, sticky: true, resumable: true, 'target-gap-ms': 300 },
    { name: 'rate', host: HOST, 'path-prefix': '/r/', kind: 'idempotent', 'timeout-ms': 1200, 'target-latency-ms': 150, priority: 2, service: 'app', 'max-attempts': 2 },
    { name: 'booking', host: HOST, 'path-prefix': '/k/', kind: 'non_idempotent', 'timeout-ms': 1200, 'target-latency-ms': 150, priority: 2, service: 'app', 'max-attempts': 1 }
  ],
  services: [{ name: 'llm', 'max-connections': 370, engine: { slots: 64, 'kv-tokens': 20000, 'handle-ttl-s': 0.5, 'switch-s': 1 } }, { name: 'app', 'max-connections': 110 }],
  limits: { 'max-header-bytes': 4096, 'max-body-bytes': 100000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
}

interface Fleet {
  readonly store: FleetStore
  readonly models: Readonly<Record<'prefill' | 'decodeA' | 'decodeB', FleetReplica>>
  readonly plain: readonly FleetReplica[]
  readonly entry: Entry
  readonly close: () => Promise<void>
}

const SILENT: Logger = createLogger({ level: 'error', write: () => {} })

function settingsOf (ip: string, store: FleetStore, change: Partial<EdgeSettings>): EdgeSettings {
  return { instanceId: `node-${ip}`, availabilityZone: 'a', ip, peerPorts: [PEER_PORT, PEER_PORT + 9], keyValueAddress: store.address, stopGraceS: 2, ...change }
}

async function startFleet (): Promise<Fleet> {
  const store = await startFleetStore(ip(1))
  const models = {
    prefill: await startFleetReplica({ host: ip(11), replicaId: 'i-p', stage: 'prefill' }),
    decodeA: await startFleetReplica({ host: ip(12), replicaId: 'i-a', stage: 'decode' }),
    decodeB: await startFleetReplica({ host: ip(13), replicaId: 'i-b', stage: 'decode' })
  }
  const plain = [await startFleetReplica({ host: ip(14), replicaId: 'i-x' }), await startFleetReplica({ host: ip(15), replicaId: 'i-y' })]
  const register = (replicaId: string, { address, stage }: FleetReplica): void =>
    store.put(`servers/${replicaId}`, { service: stage() === undefined ? 'app' : 'llm', address, zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, stage: stage(), seq: 1 })
  register('i-p', models.prefill)
  register('i-a', models.decodeA)
  register('i-b', models.decodeB)
  plain.forEach((replica, index) => register(index === 0 ? 'i-x' : 'i-y', replica))
  store.put('op/config', CONFIG)
  const sidecars: Sidecar[] = []
  for (const { address } of Object.values(models)) {
    const ip = address.split(':')[0] as string
    sidecars.push(await startSidecar({ settings: settingsOf(ip, store, { replicaAddress: address }), dialect: PLATFORM_DIALECT, logger: SILENT }))
  }
  const keyValue = createPlatformKeyValue(store.address)
  const entry = await startEntry({
    settings: settingsOf(ip(2), store, { callersListen: `${ip(2)}:${CALLERS_PORT}`, readyListen: `${ip(2)}:${READY_PORT}` }),
    dialect: PLATFORM_DIALECT,
    keyValue,
    logger: SILENT
  })
  const all = [store, ...Object.values(models), ...plain]
  for (let i = 0; i < 100 && (await callEntry({ port: READY_PORT, path: '/api/ready' })).status !== 200; i++) await sleep(20)
  await sleep(300)
  return {
    store,
    models,
    plain,
    entry,
    close: async () => {
      await entry.stop()
      await keyValue.close()
      for (const sidecar of sidecars) await sidecar.stop()
      for (const one of all) await one.close()
    }
  }
}

interface CallerResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, unknown>>
  readonly body: string
  /** Whether the response arrived completely. */
  readonly isComplete: boolean
}

interface CallerRequest {
  readonly path: string
  readonly port?: number
  readonly method?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  /** Whether the caller disconnects after the first bytes. */
  readonly leaves?: boolean
}

let nextId = 1

function callEntry ({ body, headers = {}, leaves = false, method = 'GET', path, port = CALLERS_PORT }: CallerRequest): Promise<CallerResponse> {
  return new Promise((resolve) => {
    let status = 0
    let text = ''
    let responseHeaders: Readonly<Record<string, unknown>> = {}
    const finish = (isComplete: boolean): void => resolve({ status, headers: responseHeaders, body: text, isComplete })
    const request = httpRequest({ host: ip(2), port, path, method, agent: false, headers: { host: HOST, 'x-request-id': `r${nextId++}`, ...headers } }, (response) => {
      status = response.statusCode ?? 0
      responseHeaders = response.headers
      response.on('data', (chunk: Buffer) => {
        text += chunk.toString()
        if (leaves) request.destroy()
      })
      response.once('end', () => finish(response.complete))
      response.once('error', () => finish(false))
    })
    request.once('error', () => finish(false))
    request.end(body)
  })
}

const PROMPT = { 'x-token-counts': '3000,2000', 'x-deadline-ms': '5000', 'x-length-hint': '200' }

const fleet = await startFleet()
const decodes = [fleet.models.decodeA, fleet.models.decodeB]
const countRuns = (requestId: unknown): number => [...decodes, ...fleet.plain].flatMap(({ seen }) => seen).filter((one) => one.kind === 'run' && one.requestId === requestId).length
const failAll = (replicas: readonly FleetReplica[], fault: FleetReplicaFault): void => replicas.forEach((replica) => replica.failNext(fault))

test.before.each(() => {
  for (const replica of [...Object.values(fleet.models), ...fleet.plain]) replica.clearFaults()
})

test('a prompt is processed by a prefill replica and answered by a decode replica', async () => {
  const response = await callEntry({ path: '/s/1?x=1', method: 'POST', body: 'document', headers: PROMPT })
  assert.is(response.status, 200)
  assert.is(response.isComplete, true)
  assert.is(response.body.match(/^id: /gm)?.length, 6)
  const run = decodes.flatMap(({ seen }) => seen).find(({ requestId }) => requestId === response.headers['x-request-id'])
  assert.match(String(run?.headers['x-kv-source']), /^127\.\d+\.\d+\.11:\d+\/i-p-/)
  assert.is(run?.body, 'document')
  assert.is(run?.path, '/s/1?x=1')
  assert.ok(Number(run?.headers['x-deadline-ms']) < 5_000)
})

for (const name of ['x-serving-stage', 'x-kv-source', 'x-expect-instance']) {
  test(`a ${name} header from a caller has no effect`, async () => {
    assert.is((await callEntry({ path: '/s/1', method: 'POST', headers: { ...PROMPT, [name]: 'prefill' } })).status, 200)
  })
}

test('a refused run goes to the other decode replica', async () => {
  fleet.models.decodeA.failNext('not_run')
  const responses = await Promise.all([1, 2].map(() => callEntry({ path: '/s/1', method: 'POST', headers: PROMPT })))
  assert.equal(responses.map(({ status }) => status), [200, 200])
})

test('a stream that breaks is aborted if it is not resumable', async () => {
  failAll(decodes, 'break_off')
  const response = await callEntry({ path: '/s/1', method: 'POST', headers: PROMPT })
  assert.is(response.isComplete, false)
  await callEntry({ path: '/s/1', method: 'POST', headers: PROMPT })
})

test('a resumable stream resumes at another replica and delivers each chunk once', async () => {
  fleet.models.decodeA.failNext('break_off')
  fleet.models.decodeB.failNext('break_off')
  const response = await callEntry({ path: '/b/1', method: 'POST', headers: PROMPT })
  assert.is(response.body, [1, 2, 3, 4, 5, 6].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('').slice(0, response.body.length))
  await callEntry({ path: '/b/1', method: 'POST', headers: PROMPT })
})

test('a disconnect of the caller aborts the run at the replica', async () => {
  const before = decodes.flatMap(({ seen }) => seen).length
  await callEntry({ path: '/s/1', method: 'POST', headers: PROMPT, leaves: true })
  await sleep(100)
  const runs = decodes.flatMap(({ seen }) => seen).slice(0)
  assert.ok(runs.length > before)
  assert.ok(runs.some(({ isAborted }) => isAborted))
})

for (const fault of ['reset', 'garbled', 'other_request', 'unsigned'] as const) {
  test(`an idempotent call is retried at another replica after the response fault ${fault}`, async () => {
    fleet.plain[0]?.failNext(fault)
    const statuses: number[] = []
    for (let i = 0; i < 6; i++) statuses.push((await callEntry({ path: '/r/1' })).status)
    assert.equal(statuses, [200, 200, 200, 200, 200, 200])
  })

  test(`a non-idempotent call runs once and fails with 502 after the response fault ${fault}`, async () => {
    failAll(fleet.plain, fault)
    const requestId = `once-${fault}`
    const response = await callEntry({ path: '/k/1', method: 'POST', body: 'x', headers: { 'x-request-id': requestId } })
    assert.is(response.status, 502)
    assert.is(countRuns(requestId), 1)
    await callEntry({ path: '/r/1' })
    await callEntry({ path: '/r/1' })
  })
}

test('a call that was not run goes to another replica even if it is not idempotent', async () => {
  fleet.plain[0]?.failNext('not_run')
  assert.is((await callEntry({ path: '/k/1', method: 'POST' })).status, 200)
  assert.is((await callEntry({ path: '/k/1', method: 'POST' })).status, 200)
})

// A faulty replica may send a duplicate response on the connection of a later request.
test('a run uses the KV memory of its own prompt when replicas send duplicate responses', async () => {
  const { prefill } = fleet.models
  prefill.duplicateResponses()
  const requestIds = Array.from({ length: 8 }, (_, index) => `twice-${index}`)
  for (const id of requestIds) await callEntry({ path: '/s/1', method: 'POST', body: 'document', headers: { ...PROMPT, 'x-request-id': id } })
  const owners = new Map(prefill.seen.map(({ handle, requestId }) => [handle, requestId]))
  const runs = decodes.flatMap(({ seen }) => seen).filter(({ requestId }) => requestIds.includes(requestId))
  assert.ok(runs.length >= requestIds.length)
  for (const { headers, requestId } of runs) {
    const handle = String(headers['x-kv-source'] ?? '').split('/')[1]
    if (handle !== undefined) assert.is(owners.get(handle), requestId)
  }
})

test('a caller gets its own response or none when replicas send duplicate responses', async () => {
  for (const replica of fleet.plain) replica.duplicateResponses()
  for (let i = 0; i < 12; i++) {
    const id = `stutter-${i}`
    const response = await callEntry({ path: '/k/1', method: 'POST', body: 'x', headers: { 'x-request-id': id } })
    assert.ok(response.status === 502 || (response.status === 200 && response.body === `answer to ${id}`), `${response.status} ${response.body}`)
    assert.is(countRuns(id), 1)
  }
})

test('a duplicate refusal does not apply to the next request', async () => {
  for (const replica of fleet.plain) replica.duplicateResponses()
  for (let i = 0; i < 12; i++) {
    fleet.plain[i % 2]?.failNext('not_run')
    const id = `refused-${i}`
    const response = await callEntry({ path: '/k/1', method: 'POST', body: 'x', headers: { 'x-request-id': id } })
    const refusals = fleet.plain.flatMap(({ seen }) => seen).filter(({ isRefused, requestId }) => isRefused && requestId === id).length
    assert.ok(countRuns(id) - refusals <= 1)
    if (response.status === 503) assert.is(countRuns(id), refusals)
  }
})

const REJECTED_REQUESTS: ReadonlyArray<readonly [string, CallerRequest, number]> = [
  ['a path without a route', { path: '/none/' }, 404],
  ['a deadline that is not a number', { path: '/r/1', headers: { 'x-deadline-ms': 'soon' } }, 400],
  ['a deadline of 0', { path: '/r/1', headers: { 'x-deadline-ms': '0' } }, 503],
  ['a malformed prompt prefix', { path: '/s/1', headers: { ...PROMPT, 'x-prompt-prefix': 'zz' } }, 400],
  ['a body over the limit', { path: '/k/1', method: 'POST', body: 'x'.repeat(100_001) }, 413],
  ['headers over the limit', { path: '/r/1', headers: { 'x-long': 'x'.repeat(5_000) } }, 431]
]
for (const [what, request, status] of REJECTED_REQUESTS) {
  test(`${what} is answered with ${status}`, async () => {
    assert.is((await callEntry(request)).status, status)
  })
}

test('a request smuggled in a body is not run', async () => {
  const socket = connect(CALLERS_PORT, ip(2))
  const inner = `GET /r/2 HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: smuggled\r\n\r\n`
  socket.write(`POST /k/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: outer\r\nContent-Length: ${inner.length}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${inner}`)
  socket.on('error', () => {})
  await sleep(150)
  socket.destroy()
  assert.is(countRuns('smuggled'), 0)
})

test('a request with an incomplete body is not forwarded', async () => {
  const socket = connect(CALLERS_PORT, ip(2))
  socket.write(`POST /k/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: half\r\nContent-Length: 100\r\n\r\nhalf`)
  await sleep(100)
  socket.destroy()
  await sleep(50)
  assert.is(countRuns('half'), 0)
})

test('a configuration takes effect soon after it is written, even after the watch history was lost', async () => {
  fleet.store.compact()
  fleet.store.put('op/config', { ...CONFIG, version: 9, routes: [...CONFIG.routes, { ...CONFIG.routes[2], name: 'new', 'path-prefix': '/new/' }] })
  for (let i = 0; i < 60 && (await callEntry({ path: '/new/1' })).status !== 200; i++) await sleep(20)
  assert.is((await callEntry({ path: '/new/1' })).status, 200)
})

test('an older configuration is ignored', async () => {
  fleet.store.put('op/config', { ...CONFIG, version: 4, routes: [] })
  await sleep(100)
  assert.is((await callEntry({ path: '/r/1' })).status, 200)
})

test('requests are served during an outage of the store', async () => {
  fleet.store.fail(503)
  await sleep(300)
  assert.is((await callEntry({ path: '/s/1', method: 'POST', headers: PROMPT })).status, 200)
  fleet.store.fail(undefined)
})

test('a draining replica gets no more requests', async () => {
  fleet.store.put('servers/i-x', { service: 'app', address: fleet.plain[0]?.address, zone: 'a', slots: 6, state: 'draining', seq: 2 })
  await sleep(700)
  const before = fleet.plain[0]?.seen.length
  for (let i = 0; i < 10; i++) await callEntry({ path: '/r/1' })
  assert.is(fleet.plain[0]?.seen.length, before)
})

test('a process that shuts down reports that it is not ready and completes running requests', async () => {
  const running = callEntry({ path: '/s/1', method: 'POST', headers: PROMPT })
  await sleep(20)
  const closed = fleet.close()
  assert.is((await callEntry({ port: READY_PORT, path: '/api/ready' })).status, 503)
  assert.is((await running).isComplete, true)
  await closed
})

test.run()
