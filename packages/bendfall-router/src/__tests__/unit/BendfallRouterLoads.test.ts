import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { RouterEffectOf } from '../../index.js'
import { arrival, createWorld, loadOf, only, replicaOf, summaryRoute, typesOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

function worldOf (prefills: number, decodes: number): RouterWorld {
  const replicas = [
    ...Array.from({ length: prefills }, (_, i) => replicaOf(`p${i}`, 'prefill')),
    ...Array.from({ length: decodes }, (_, i) => replicaOf(`d${i}`, 'decode'))
  ]
  return createWorld([summaryRoute()], replicas)
}

function asked (world: RouterWorld, key: string): RouterEffectOf<'ask_loads'> {
  return only(world.reduce(arrival(key)), 'ask_loads')
}

function answer (world: RouterWorld, { replicaIds, request }: RouterEffectOf<'ask_loads'>, room = 30_000): string[] {
  for (const id of replicaIds) world.reduce({ type: 'load_learned', load: loadOf(id, id.startsWith('p') ? 'prefill' : 'decode', room) })
  return typesOf(world.reduce({ type: 'loads_answered', key: request?.key ?? '', attempt: request?.attempt ?? 0 }))
}

// What it cost before: 24 replicas followed by each entry, 215 calls a second for one stream a second.
test('a request asks seven ledgers at the most, however large the fleet is', () => {
  for (const size of [6, 84, 600]) {
    const { replicaIds } = asked(worldOf(size / 3, size - size / 3), '1')
    assert.ok(replicaIds.length <= 7, `${replicaIds.length} of ${size}`)
    assert.is(new Set(replicaIds).size, replicaIds.length)
  }
})

test('an entry without requests asks no ledger', () => {
  const world = worldOf(20, 60)
  for (let tick = 0; tick < 100; tick++) {
    world.wait(500)
    assert.equal(world.reduce({ type: 'balance_due' }), [])
  }
})

test('a request goes on when the loads are known, and asks one of the replicas that told theirs', () => {
  const world = worldOf(20, 60)
  const ask = asked(world, '1')
  for (const id of ask.replicaIds) world.reduce({ type: 'load_learned', load: loadOf(id, id.startsWith('p') ? 'prefill' : 'decode', 30_000) })
  const effects = world.reduce({ type: 'loads_answered', key: '1', attempt: ask.request?.attempt ?? 0 })
  assert.ok(ask.replicaIds.includes(only(effects, 'reserve').replicaId))
})

test('a request goes on when no ledger answers in time', () => {
  const world = worldOf(2, 4)
  const ask = asked(world, '1')
  assert.equal(typesOf(world.reduce({ type: 'loads_answered', key: '1', attempt: ask.request?.attempt ?? 0 })), ['reserve'])
})

test('loads that another request has just learned are not asked for again', () => {
  const world = worldOf(2, 3)
  answer(world, asked(world, '1'))
  assert.equal(typesOf(world.reduce(arrival('2'))), ['set_deadline', 'reserve'])
  world.wait(100)
  assert.is(asked(world, '3').replicaIds.length, 5)
})

test('a load that is old decides nothing while a younger one is known', () => {
  const world = worldOf(1, 2)
  world.reduce({ type: 'load_learned', load: loadOf('d0', 'decode', 37_000) })
  world.wait(1_000)
  const ask = asked(world, '1')
  for (const id of ['p0', 'd1']) world.reduce({ type: 'load_learned', load: loadOf(id, id === 'p0' ? 'prefill' : 'decode', 9_000) })
  const effects = world.reduce({ type: 'loads_answered', key: '1', attempt: ask.request?.attempt ?? 0 })
  assert.is(only(effects, 'reserve').replicaId, 'd1')
})

test('a ledger that does not answer is asked less and less, and at once again when it answered', () => {
  const world = worldOf(0, 1)
  const gapsMs: number[] = []
  let sinceMs = 0
  for (let i = 0; i < 400; i++) {
    world.wait(100)
    sinceMs += 100
    if (!world.reduce(arrival(`${i}`)).some(({ type }) => type === 'ask_loads')) continue
    gapsMs.push(sinceMs)
    sinceMs = 0
    world.reduce({ type: 'ledger_lost', replicaId: 'd0' })
  }
  assert.equal(gapsMs.slice(0, 5), [100, 1_000, 2_000, 4_000, 8_000])
  world.reduce({ type: 'load_learned', load: loadOf('d0', 'decode', 30_000) })
  world.wait(100)
  assert.equal(asked(world, 'again').replicaIds, ['d0'])
})

test('a replica that its ledger called sick is asked again after a second', () => {
  const world = worldOf(0, 2)
  world.reduce({ type: 'load_learned', load: { ...loadOf('d0', 'decode', 0), isHealthy: false } })
  assert.equal(asked(world, '1').replicaIds, ['d1'])
  world.wait(1_100)
  assert.ok(asked(world, '2').replicaIds.includes('d0'))
})

test('a load from before a change of the pool does not hide the change', () => {
  const world = worldOf(0, 2)
  world.reduce({ type: 'load_learned', load: loadOf('d0', 'decode', 30_000) })
  world.reduce({ type: 'replicas_changed', present: [replicaOf('d0', 'prefill', { revision: 2 })], gone: [] })
  world.wait(100)
  const ask = asked(world, '1')
  assert.equal([...ask.replicaIds].sort(), ['d0', 'd1'])
  assert.is(world.state.replicas.get('d0')?.load, undefined)
})

test.run()
