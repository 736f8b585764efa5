// Customers' keys on sockets: entries, a store that each reaches through a proxy of its own, and
// replicas that keep what they saw.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callEntry, inCustomerScene, REVOKED_WITHIN_MS, withKey } from './CustomerScene.js'
import type { CustomerAnswer, CustomerCall, CustomerEntry, CustomerScene } from './CustomerScene.js'

const ACME = { name: 'acme', 'api-keys': ['secret-of-acme', 'second-of-acme'] }
const BOLT = { name: 'bolt', 'api-keys': ['secret-of-bolt'] }

/** From the word of the store until an entry that reaches it acts by it, on a machine with other work. */
const APPLIED_MS = 2_000

const CALL_PAUSE_MS = 25

function customersSeen ({ replicas }: CustomerScene, id: string): Array<string | undefined> {
  return replicas.flatMap(({ seen }) => seen.filter(({ requestId }) => requestId === id).map(({ headers }) => headers['x-tenant'] as string | undefined))
}

async function callAll (entries: readonly CustomerEntry[], call: CustomerCall): Promise<CustomerAnswer[]> {
  return await Promise.all(entries.map((entry) => callEntry(entry, call)))
}

test('replicas get the customer of the key with each send, and no key', async () => {
  await inCustomerScene(1, [ACME, BOLT], async (scene) => {
    const [entry] = scene.entries as [CustomerEntry]
    for (const path of ['/r/1', '/s/1', '/open/1']) {
      const { id, status } = await callEntry(entry, { path, headers: [['X-Tenant', 'bolt'], ['X-Api-Key', 'secret-of-acme']] })
      assert.is(status, 200, path)
      const customers = customersSeen(scene, id)
      assert.ok(customers.length > 0)
      assert.equal(new Set(customers), new Set(['acme']), path)
    }
    for (const replica of scene.plain) replica.failNext('not_run')
    const retried = await callEntry(entry, { path: '/r/2', headers: withKey('secret-of-bolt') })
    assert.equal(customersSeen(scene, retried.id), ['bolt', 'bolt'])
    for (const replica of scene.decoders) replica.failNext('break_off')
    const resumed = await callEntry(entry, { path: '/s/2', headers: withKey('secret-of-bolt') })
    assert.ok(customersSeen(scene, resumed.id).length > 2)
    assert.equal(new Set(customersSeen(scene, resumed.id)), new Set(['bolt']))
  })
})

const REFUSED: ReadonlyArray<readonly [string, CustomerCall['headers']]> = [
  ['no key', []],
  ['an unknown key', withKey('of-nobody')],
  ['an empty key', withKey('')],
  ['the claim of a customer', [['X-Tenant', 'acme']]],
  ['the name of a customer', withKey('acme')],
  ['a key twice', [['X-Api-Key', 'secret-of-acme'], ['X-Api-Key', 'secret-of-acme']]],
  ['keys in a list', withKey('secret-of-acme, secret-of-bolt')],
  ['a key in another case', withKey('SECRET-OF-ACME')],
  ['a key of 10 KB', withKey('k'.repeat(10_240))],
  ['a key of odd bytes', withKey('secret-of-acme\u00ff')]
]

test('what is no key of a customer is refused, and an open route asks for none', async () => {
  await inCustomerScene(1, [ACME, BOLT], async (scene) => {
    const [entry] = scene.entries as [CustomerEntry]
    for (const [what, headers] of REFUSED) {
      assert.is((await callEntry(entry, { path: '/r/1', headers })).status, 401, what)
      assert.is((await callEntry(entry, { path: '/s/1', headers })).status, 401, what)
      const open = await callEntry(entry, { path: '/open/1', headers })
      assert.is(open.status, 200, what)
      assert.equal(customersSeen(scene, open.id), [undefined], what)
    }
    assert.equal(scene.replicas.flatMap(({ seen }) => seen).filter(({ path }) => path !== '/open/1'), [])
  })
})

test('random keys cost the store no calls', async () => {
  await inCustomerScene(1, [ACME], async (scene) => {
    const [entry] = scene.entries as [CustomerEntry]
    await sleep(500)
    const countCalls = (): number => scene.store.calls()
    const idleBefore = countCalls()
    await sleep(1_500)
    const idle = countCalls() - idleBefore
    const before = countCalls()
    const endsAtMs = performance.now() + 1_500
    let asked = 0
    while (performance.now() < endsAtMs) {
      asked += 20
      const answers = await Promise.all(Array.from({ length: 20 }, (_, i) => callEntry(entry, { path: '/r/1', headers: withKey(`random-${asked}-${i}`) })))
      assert.equal(new Set(answers.map(({ status }) => status)), new Set([401]))
    }
    assert.ok(countCalls() - before <= idle + 2, `${countCalls() - before} calls for ${asked} keys, ${idle} while idle`)
  })
})

const CUTS: ReadonlyArray<readonly [string, (entry: CustomerEntry) => void]> = [
  ['whose connections fall silent', ({ proxy }) => proxy.harm('silent')],
  ['that hears nothing, though it is heard', ({ proxy }) => proxy.harm('one_way')]
]

for (const [what, cut] of CUTS) {
  test(`a key that was taken away opens nothing in time, also at an entry ${what}`, async () => {
    await inCustomerScene(3, [ACME, BOLT], async (scene) => {
      const [, , lost] = scene.entries as [CustomerEntry, CustomerEntry, CustomerEntry]
      const runsOf = (key: string): Promise<CustomerAnswer[]> => callAll(scene.entries, { path: '/r/1', headers: withKey(key) })
      assert.equal((await runsOf('secret-of-acme')).map(({ status }) => status), [200, 200, 200])
      cut(lost)
      await sleep(100)
      scene.configure(2, [{ ...ACME, 'api-keys': ['second-of-acme'] }, BOLT])
      const takenAtMs = performance.now()
      const late: string[] = []
      const served = { lost: 0, others: 0, open: 0 }
      while (performance.now() - takenAtMs < REVOKED_WITHIN_MS + 1_500) {
        const sentMs = performance.now() - takenAtMs
        const [first, second, third] = await runsOf('secret-of-acme') as [CustomerAnswer, CustomerAnswer, CustomerAnswer]
        if (sentMs > APPLIED_MS && (first.status !== 401 || second.status !== 401)) late.push(`in touch: ${first.status}, ${second.status} at ${sentMs}`)
        if (sentMs > REVOKED_WITHIN_MS && third.status === 200) late.push(`cut off: at ${sentMs}`)
        const other = await runsOf('secret-of-bolt') as [CustomerAnswer, CustomerAnswer, CustomerAnswer]
        if (other[0].status === 200) served.others += 1
        if (other[2].status === 200) served.lost += 1
        else assert.ok((other[2].retryAfterS ?? Infinity) < 1 && other[2].status === 503, `${other[2].status} ${other[2].body}`)
        if ((await callEntry(lost, { path: '/open/1' })).status === 200) served.open += 1
        await sleep(CALL_PAUSE_MS)
      }
      assert.equal(late, [])
      assert.ok(served.lost > 5 && served.lost < served.others, JSON.stringify(served))
      assert.is(served.open, served.others)
      lost.proxy.harm(undefined)
      await sleep(3_000)
      assert.equal((await runsOf('secret-of-bolt')).map(({ status }) => status), [200, 200, 200])
      assert.equal((await runsOf('secret-of-acme')).map(({ status }) => status), [401, 401, 401])
    })
  })
}

test('keys are in no line, metric, document or answer', async () => {
  await inCustomerScene(2, [ACME, BOLT], async (scene) => {
    for (let version = 2; version < 6; version++) {
      scene.configure(version, version % 2 === 0 ? [{ ...ACME, 'api-keys': ['second-of-acme'] }, { ...BOLT, 'api-keys': ['secret-of-bolt', 'secret-of-acme'] }] : [ACME, BOLT])
      scene.plain[0]?.failNext('garbled')
      for (const key of ['secret-of-acme', 'second-of-acme', 'secret-of-bolt', 'secret-of-nobody']) {
        for (const path of ['/r/1', '/s/1', '/none/1']) await callAll(scene.entries, { path, headers: withKey(key) })
      }
    }
    scene.store.put('op/config', { version: 9, tenants: [{ name: 'acme', 'api-keys': ['secret-of-acme', 5] }] })
    await sleep(1_500)
    const written = scene.entries.flatMap(({ lines, metrics }) => [...lines, metrics.text()])
    const sent = scene.replicas.flatMap(({ seen }) => seen.map((one) => JSON.stringify(one)))
    const stored = scene.store.documents().filter(({ key }) => key !== 'op/config').map(({ value }) => value)
    assert.ok(written.some((line) => line.includes('config_unreadable')))
    assert.ok(written.length > 100 && sent.length > 20)
    assert.equal([...written, ...sent, ...stored].filter((text) => /secret-of|second-of/.test(text)), [])
  })
})

test.run()
