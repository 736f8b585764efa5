import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetProxy } from '../../fleet/soak/BendfallFakesFleetProxy.js'
import { call, CALLERS_ENDPOINT, withEntryHarness, ip, registrationOf } from './EntryHarness.js'

/** Time after which the entry has received a write: for writes in a row at most 0.35 of the 2 s within which a change must be known. */
const WATCH_DELAY_MS = 800

/** The same for a single write. */
const SINGLE_WATCH_DELAY_MS = 100

/** Values that another writer may store in place of a registration; `valid` is a valid one. */
const FOREIGN_VALUES: ReadonlyArray<readonly [string, (valid: object) => unknown]> = [
  ['text', () => 'no registration'],
  ['a list', () => [1, 2]],
  ['nothing', () => null],
  ['no address', (valid) => ({ ...valid, address: undefined })],
  ['an invalid address', (valid) => ({ ...valid, address: 'not an address' })],
  ['an empty address', (valid) => ({ ...valid, address: '' })],
  ['a port out of range', (valid) => ({ ...valid, address: '127.0.8.12:99999' })],
  ['a path after the port', (valid) => ({ ...valid, address: '127.0.8.12:80/x' })],
  ['an unknown state', (valid) => ({ ...valid, state: 'asleep' })],
  ['an unknown stage', (valid) => ({ ...valid, stage: 'both' })],
  ['an unknown service', (valid) => ({ ...valid, service: 'other' })],
  ['slots given as text', (valid) => ({ ...valid, slots: 'many' })],
  ['a start time that is not an integer', (valid) => ({ ...valid, born: 0.5 })]
]

/** Makes calls one after the other and returns their statuses. */
async function statusesOf (calls: number): Promise<number[]> {
  const statuses: number[] = []
  for (let i = 0; i < calls; i++) statuses.push(await call({ ...CALLERS_ENDPOINT, path: '/r/1', id: `call-${i}` }))
  return statuses
}

test('a value of another writer adds no replica, and the registered ones stay in use', () => withEntryHarness(async (scene) => {
  for (const [what, createValue] of FOREIGN_VALUES) {
    scene.store.put('servers/i-foreign', createValue(registrationOf(scene.leavingReplica)))
    await sleep(WATCH_DELAY_MS)
    assert.is(scene.entry.state().replicas.has('i-foreign'), false, what)
    assert.equal([...scene.entry.state().replicas.keys()].sort(), ['i-leaves', 'i-stays'], what)
    assert.equal(await statusesOf(8), Array.from({ length: 8 }, () => 200), what)
  }
}))

test('a replica is removed when its registration becomes unreadable', () => withEntryHarness(async (scene) => {
  for (const [what, createValue] of FOREIGN_VALUES) {
    scene.store.put('servers/i-leaves', registrationOf(scene.leavingReplica))
    await sleep(WATCH_DELAY_MS)
    assert.is(scene.entry.state().replicas.has('i-leaves'), true, what)
    scene.store.put('servers/i-leaves', createValue(registrationOf(scene.leavingReplica)))
    await sleep(WATCH_DELAY_MS)
    assert.is(scene.entry.state().replicas.has('i-leaves'), false, what)
  }
}))

test('a call that hangs at a replica that restarts under the same id is served by the new process', () => withEntryHarness(async (scene) => {
  const hidden = await startFleetProxy(scene.leavingReplica.address)
  scene.store.put('servers/i-leaves', registrationOf(hidden, { born: 1_000 }))
  scene.store.remove('servers/i-stays')
  await sleep(SINGLE_WATCH_DELAY_MS)
  hidden.injectFault('silent')
  const response = call({ ...CALLERS_ENDPOINT, path: '/r/1', id: 'hangs' })
  await sleep(SINGLE_WATCH_DELAY_MS)
  const successor = await startFleetReplica({ host: ip(13), replicaId: 'i-leaves' })
  scene.store.put('servers/i-leaves', registrationOf(successor, { born: 2_000 }))
  const startedMs = performance.now()
  assert.is(await response, 200)
  // Well before the timeout of an attempt.
  assert.ok(performance.now() - startedMs < 100, `${performance.now() - startedMs} ms`)
  await hidden.close()
  await successor.close()
}))

test.run()
