import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { RouterEffectOf } from '../../index.js'
import { arrival, createSimulation, loadOf, only, replicaOf, summaryRoute, typesOf } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

function createPoolSimulation (prefills: number, decodes: number): RouterSimulation {
  const replicas = [
    ...Array.from({ length: prefills }, (_, i) => replicaOf(`p${i}`, 'prefill')),
    ...Array.from({ length: decodes }, (_, i) => replicaOf(`d${i}`, 'decode'))
  ]
  return createSimulation([summaryRoute()], replicas)
}

function queryLoads (simulation: RouterSimulation, key: string): RouterEffectOf<'ask_loads'> {
  return only(simulation.reduce(arrival(key)), 'ask_loads')
}

function answerLoads (simulation: RouterSimulation, { replicaIds, request }: RouterEffectOf<'ask_loads'>, room = 30_000): string[] {
  for (const id of replicaIds) simulation.reduce({ type: 'load_learned', load: loadOf(id, id.startsWith('p') ? 'prefill' : 'decode', room) })
  return typesOf(simulation.reduce({ type: 'loads_answered', key: request?.key ?? '', attempt: request?.attempt ?? 0 }))
}

// Previously each entry polled the loads of 24 replicas, which cost 215 calls a second for one stream a second.
test('a request queries at most seven ledgers, however large the fleet is', () => {
  for (const size of [6, 84, 600]) {
    const { replicaIds } = queryLoads(createPoolSimulation(size / 3, size - size / 3), '1')
    assert.ok(replicaIds.length <= 7, `${replicaIds.length} of ${size}`)
    assert.is(new Set(replicaIds).size, replicaIds.length)
  }
})

test('an entry without requests queries no ledger', () => {
  const simulation = createPoolSimulation(20, 60)
  for (let tick = 0; tick < 100; tick++) {
    simulation.wait(500)
    assert.equal(simulation.reduce({ type: 'balance_due' }), [])
  }
})

test('a request continues when the loads are known, and books memory at a replica that reported its load', () => {
  const simulation = createPoolSimulation(20, 60)
  const query = queryLoads(simulation, '1')
  for (const id of query.replicaIds) simulation.reduce({ type: 'load_learned', load: loadOf(id, id.startsWith('p') ? 'prefill' : 'decode', 30_000) })
  const effects = simulation.reduce({ type: 'loads_answered', key: '1', attempt: query.request?.attempt ?? 0 })
  assert.ok(query.replicaIds.includes(only(effects, 'reserve').replicaId))
})

test('a request continues when no ledger answers in time', () => {
  const simulation = createPoolSimulation(2, 4)
  const query = queryLoads(simulation, '1')
  assert.equal(typesOf(simulation.reduce({ type: 'loads_answered', key: '1', attempt: query.request?.attempt ?? 0 })), ['reserve'])
})

test('loads that were just queried for another request are not queried again', () => {
  const simulation = createPoolSimulation(2, 3)
  answerLoads(simulation, queryLoads(simulation, '1'))
  assert.equal(typesOf(simulation.reduce(arrival('2'))), ['set_deadline', 'reserve'])
  simulation.wait(100)
  assert.is(queryLoads(simulation, '3').replicaIds.length, 5)
})

test('an old load is ignored while a more recent one is known', () => {
  const simulation = createPoolSimulation(1, 2)
  simulation.reduce({ type: 'load_learned', load: loadOf('d0', 'decode', 37_000) })
  simulation.wait(1_000)
  const query = queryLoads(simulation, '1')
  for (const id of ['p0', 'd1']) simulation.reduce({ type: 'load_learned', load: loadOf(id, id === 'p0' ? 'prefill' : 'decode', 9_000) })
  const effects = simulation.reduce({ type: 'loads_answered', key: '1', attempt: query.request?.attempt ?? 0 })
  assert.is(only(effects, 'reserve').replicaId, 'd1')
})

test('a ledger that does not answer is queried at increasing intervals, and at once again after it answered', () => {
  const simulation = createPoolSimulation(0, 1)
  const gapsMs: number[] = []
  let sinceMs = 0
  for (let i = 0; i < 400; i++) {
    simulation.wait(100)
    sinceMs += 100
    if (!simulation.reduce(arrival(`${i}`)).some(({ type }) => type === 'ask_loads')) continue
    gapsMs.push(sinceMs)
    sinceMs = 0
    simulation.reduce({ type: 'ledger_lost', replicaId: 'd0' })
  }
  assert.equal(gapsMs.slice(0, 5), [100, 1_000, 2_000, 4_000, 8_000])
  simulation.reduce({ type: 'load_learned', load: loadOf('d0', 'decode', 30_000) })
  simulation.wait(100)
  assert.equal(queryLoads(simulation, 'again').replicaIds, ['d0'])
})

test('a replica that its ledger reported as unhealthy is queried again after a second', () => {
  const simulation = createPoolSimulation(0, 2)
  simulation.reduce({ type: 'load_learned', load: { ...loadOf('d0', 'decode', 0), isHealthy: false } })
  assert.equal(queryLoads(simulation, '1').replicaIds, ['d1'])
  simulation.wait(1_100)
  assert.ok(queryLoads(simulation, '2').replicaIds.includes('d0'))
})

test('a load from before a change of pool does not hide the change', () => {
  const simulation = createPoolSimulation(0, 2)
  simulation.reduce({ type: 'load_learned', load: loadOf('d0', 'decode', 30_000) })
  simulation.reduce({ type: 'replicas_changed', present: [replicaOf('d0', 'prefill', { revision: 2 })], gone: [] })
  simulation.wait(100)
  const query = queryLoads(simulation, '1')
  assert.equal([...query.replicaIds].sort(), ['d0', 'd1'])
  assert.is(simulation.state.replicas.get('d0')?.load, undefined)
})

test.run()
