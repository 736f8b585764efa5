import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpInstanceList, createHttpKeyValue } from 'bendfall-platform'
import type { InstanceListPort, KeyValuePort } from 'bendfall-platform'
import { createInstanceListStandIn, createKeyValueStandIn, createWeightStoreStandIn } from '../../index.js'
import type { FaultMode, InstanceListOptions, InstanceListStandIn, KeyValueOptions, KeyValueStandIn } from '../../index.js'
import { eventually } from './BendfallFakesHarness.js'

const TIMEOUT_MS = 250
const WRITE = { key: 'config/current', expectedRevision: 0, value: 'one', leaseId: '' }
const INSTANCE = { instanceId: 'i1', availabilityZone: 'levis', address: '127.0.0.1:1', kind: 'upstream', pool: 'p', state: 'live' } as const

async function withKeyValue (options: KeyValueOptions, run: (port: KeyValuePort, standIn: KeyValueStandIn) => Promise<void>, timeoutMs = 2_000): Promise<void> {
  const standIn = await createKeyValueStandIn(options)
  const port = createHttpKeyValue({ origin: standIn.url, timeoutMs })
  try {
    await run(port, standIn)
  } finally {
    await port.close()
    await standIn.close()
  }
}

async function withInstanceList (options: InstanceListOptions, run: (port: InstanceListPort, standIn: InstanceListStandIn) => Promise<void>): Promise<void> {
  const standIn = await createInstanceListStandIn(options)
  const port = createHttpInstanceList({ origin: standIn.url })
  try {
    await run(port, standIn)
  } finally {
    await port.close()
    await standIn.close()
  }
}

test('a write is applied only at the expected revision', () => withKeyValue({}, async (port, standIn) => {
  assert.equal(await port.get('config/current'), { type: 'missing', storeRevision: 0 })
  assert.equal(await port.compareAndSwap(WRITE), { type: 'applied', revision: 1 })
  assert.equal(await port.compareAndSwap(WRITE), { type: 'conflict', currentRevision: 1 })
  const entry = { key: 'config/current', value: 'one', revision: 1, leaseId: '' }
  assert.equal(await port.get('config/current'), { type: 'found', entry })
  assert.equal(await port.list('config/'), { type: 'listed', entries: [entry], storeRevision: 1 })
  assert.is(standIn.calls().compare_and_swap, 2)
}))

test('a key is deleted when its lease expires, and a watch reports the deletion', () => withKeyValue({}, async (port) => {
  const lease = await port.grantLease(300)
  if (lease.type !== 'granted') throw new Error(lease.type)
  await port.compareAndSwap({ ...WRITE, key: 'home/a', leaseId: lease.leaseId })
  assert.equal(await port.watch('home/', 1, 5_000), { type: 'changed', entries: [], deletedKeys: ['home/a'], storeRevision: 2 })
  assert.equal(await port.renewLease(lease.leaseId), { type: 'lapsed' })
  assert.equal(await port.compareAndSwap({ ...WRITE, key: 'home/a', leaseId: lease.leaseId }), { type: 'unavailable', detail: 'lease lapsed' })
}))

test('renewing a lease returns the granted lease, and revoking it deletes its keys', () => withKeyValue({}, async (port) => {
  const lease = await port.grantLease(60_000)
  if (lease.type !== 'granted') throw new Error(lease.type)
  await port.compareAndSwap({ ...WRITE, leaseId: lease.leaseId })
  assert.equal(await port.renewLease(lease.leaseId), lease)
  assert.equal(await port.revokeLease(lease.leaseId), { type: 'lapsed' })
  assert.equal(await port.get(WRITE.key), { type: 'missing', storeRevision: 2 })
}))

test('a watch without a change returns unchanged and counts as one call', () => withKeyValue({}, async (port, standIn) => {
  assert.equal(await port.watch('config/', 0, 5), { type: 'unchanged', storeRevision: 0 })
  assert.is(standIn.calls().watch, 1)
}))

test('a pending watch ends when its port closes', () => withKeyValue({}, async (port, standIn) => {
  const watch = port.watch('config/', 0, 60_000)
  await eventually(() => standIn.calls().watch === 1)
  await port.close()
  assert.is((await watch).type, 'unavailable')
}))

test('calls above the rate limit return unavailable', () => withKeyValue({ readsPerSecond: 1, writesPerSecond: 0 }, async (port, standIn) => {
  assert.is((await port.get('a')).type, 'missing')
  assert.equal(await port.get('a'), { type: 'unavailable', detail: 'rate limit' })
  assert.equal(await port.compareAndSwap(WRITE), { type: 'unavailable', detail: 'rate limit' })
  assert.is(standIn.calls().refused, 2)
}))

const LOST_WRITES: readonly FaultMode[] = ['garbage', 'half_answer', 'lose_answer_after_write']

for (const mode of LOST_WRITES) {
  test(`a write under the fault ${mode} returns unknown and is applied once`, () => withKeyValue({}, async (port, standIn) => {
    standIn.injectFault({ mode, count: 1 })
    assert.is((await port.compareAndSwap(WRITE)).type, 'unknown')
    const read = await port.get(WRITE.key)
    assert.is(read.type === 'found' && read.entry.revision, 1)
    assert.is(standIn.calls().compare_and_swap, 1)
  }))
}

test('a write that times out returns unknown, a read that times out returns unavailable', () => withKeyValue({}, async (port, standIn) => {
  standIn.injectFault({ mode: 'slow', delayMs: 10 * TIMEOUT_MS })
  assert.is((await port.compareAndSwap(WRITE)).type, 'unknown')
  assert.is((await port.get(WRITE.key)).type, 'unavailable')
}, TIMEOUT_MS))

test('every call returns unavailable during an outage, and none is executed', () => withKeyValue({}, async (port, standIn) => {
  standIn.injectFault({ mode: 'outage' })
  const outcomes = await Promise.all([port.get('a'), port.list(''), port.watch('', 0, 1), port.compareAndSwap(WRITE), port.grantLease(1), port.renewLease('x')])
  assert.ok(outcomes.every((outcome) => outcome.type === 'unavailable'))
  standIn.reset()
  assert.equal(await port.get(WRITE.key), { type: 'missing', storeRevision: 0 })
}))

test('a refused connection returns unavailable, also for writes', () => withKeyValue({}, async (port, standIn) => {
  await standIn.close()
  assert.is((await port.compareAndSwap(WRITE)).type, 'unavailable')
  assert.is((await port.get(WRITE.key)).type, 'unavailable')
}))

test('faults are injected and cleared over HTTP', () => withKeyValue({}, async (port, standIn) => {
  await fetch(`${standIn.url}/control/fail`, { method: 'POST', body: '{"mode":"outage"}' })
  assert.is((await port.get('a')).type, 'unavailable')
  await fetch(`${standIn.url}/control/reset`, { method: 'POST' })
  assert.is((await port.get('a')).type, 'missing')
}))

test('the instance list shows changes only after its lag and returns unavailable for an invalid response', () => withInstanceList({ instances: [INSTANCE], lagMs: 60_000 }, async (port, standIn) => {
  standIn.setInstances([])
  assert.equal(await port.list(), { type: 'listed', instances: [INSTANCE] })
  standIn.injectFault({ mode: 'garbage', count: 1 })
  assert.is((await port.list()).type, 'unavailable')
}))

test('the instance list is parsed again only after a change, and is compressed for clients that accept it', () => withInstanceList({ instances: [INSTANCE] }, async (port, standIn) => {
  const instancesOf = async (): Promise<unknown> => { const outcome = await port.list(); return outcome.type === 'listed' && outcome.instances }
  const first = await instancesOf()
  assert.is(await instancesOf(), first, 'an unchanged list must be the same array')
  standIn.injectFault({ mode: 'garbage', count: 1 })
  assert.is(await instancesOf(), false)
  assert.is(await instancesOf(), first)
  standIn.setInstances([])
  assert.equal(await instancesOf(), [])
  const answer = await fetch(`${standIn.url}/instances`, { headers: { 'accept-encoding': 'gzip' } })
  assert.is(answer.headers.get('content-encoding'), 'gzip')
}))

test('an instance list served without entity tags and compression is read', () => withInstanceList({ instances: [INSTANCE], isConditional: false }, async (port, standIn) => {
  assert.equal(await port.list(), { type: 'listed', instances: [INSTANCE] })
  standIn.setInstances([])
  assert.equal(await port.list(), { type: 'listed', instances: [] })
}))

test('an instance with an unknown state makes the list unavailable', () => withInstanceList({ instances: [{ ...INSTANCE, state: 'odd' as 'live' }] }, async (port) => {
  assert.is((await port.list()).type, 'unavailable')
}))

test('the weight store refuses loads above its concurrency limit', async () => {
  const store = await createWeightStoreStandIn({ bytesPerSecond: 1_000, maxLoads: 1, retryAfterMs: 9 })
  const answers = await Promise.all([1, 2].map(() => fetch(`${store.url}/weights/m?bytes=200`)))
  assert.equal(answers.map((answer) => answer.status).sort(), [200, 429])
  assert.equal(store.loads(), { done: 1, refused: 1 })
  await store.close()
})

test.run()
