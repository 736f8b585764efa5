import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { arrival, createSimulation, loadOf, only, plainRoute, replicaOf, summaryRoute, typesOf } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

const PREVIOUS = replicaOf('a5', 'plain', { address: 'a:80', registeredAtRevision: 3 })
const SUCCESSORS = [replicaOf('a9', 'plain', { address: 'a:80', registeredAtRevision: 8 }), replicaOf('a1', 'plain', { address: 'a:80', registeredAtRevision: 8 })]
for (const successor of SUCCESSORS) {
  for (const present of [[PREVIOUS, successor], [successor, PREVIOUS]]) {
    test(`the later of two registrations at one address is used: ${present.map(({ replicaId }) => replicaId).join(', ')}`, () => {
      const simulation = createSimulation([plainRoute()], [])
      simulation.send({ type: 'replicas_changed', present, gone: [] })
      simulation.send({ type: 'replicas_changed', present: [PREVIOUS], gone: [] })
      assert.equal([...simulation.state.replicas.keys()], [successor.replicaId])
    })
  }
}

test('a replica is used again when the later registration at its address is deleted', () => {
  const simulation = createSimulation([plainRoute()], [])
  simulation.send({ type: 'replicas_changed', present: [PREVIOUS, ...SUCCESSORS.slice(1)], gone: [] })
  simulation.send({ type: 'replicas_changed', present: [PREVIOUS], gone: ['a1'] })
  assert.equal([...simulation.state.replicas.keys()], ['a5'])
})

const REPLICAS = ['a', 'b', 'c', 'd'].map((replicaId) => replicaOf(replicaId, 'plain'))

function sentTo (simulation: RouterSimulation, calls: number): ReadonlySet<string> {
  const keys = Array.from({ length: calls }, (_, index) => `call-${index}`)
  return new Set(keys.map((key) => only(simulation.send(arrival(key, '/rates/1')), 'send_run').replicaId))
}

test('a replica whose registration is missing after a store outage gets no new work', () => {
  const simulation = createSimulation([plainRoute()], REPLICAS)
  simulation.send({ type: 'replicas_missing', replicaIds: ['a', 'b'] })
  assert.equal([...sentTo(simulation, 40)].sort(), ['c', 'd'])
})

test('replicas remain in use when most registrations expired during a store outage', () => {
  const simulation = createSimulation([plainRoute()], REPLICAS)
  simulation.send({ type: 'replicas_missing', replicaIds: ['a', 'b', 'c'] })
  assert.is(sentTo(simulation, 40).size, 4)
})

test('the only prefill replica processes no prompt when its registration is missing after a store outage', () => {
  const simulation = createSimulation([summaryRoute()], [replicaOf('p1', 'prefill'), replicaOf('d1', 'decode'), replicaOf('d2', 'decode')])
  simulation.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  simulation.send({ type: 'replicas_missing', replicaIds: ['p1'] })
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  const next = simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } })
  assert.equal(typesOf(next), ['send_run'])
})

test('a replica that registers again gets work', () => {
  const simulation = createSimulation([plainRoute()], REPLICAS)
  simulation.send({ type: 'replicas_missing', replicaIds: ['a'] })
  simulation.send({ type: 'replicas_changed', present: [replicaOf('a', 'plain', { registeredAtRevision: 9 })], gone: [] })
  assert.is(sentTo(simulation, 40).size, 4)
})

test('a request is not sent to its reserved replica when the registration goes missing', () => {
  const simulation = createSimulation([summaryRoute()], [replicaOf('p1', 'prefill'), ...['d1', 'd2', 'd3'].map((id) => replicaOf(id, 'decode'))])
  simulation.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  for (const id of ['d2', 'd3']) simulation.send({ type: 'load_learned', load: loadOf(id, 'decode', 10_000) })
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  assert.is(reserve.replicaId, 'd1')
  const prefill = only(simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  const confirm = only(simulation.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'h' } }), 'confirm')
  simulation.send({ type: 'replicas_missing', replicaIds: ['d1'] })
  const next = simulation.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' })
  assert.is.not(only(next, 'reserve').replicaId, 'd1')
})

test.run()
