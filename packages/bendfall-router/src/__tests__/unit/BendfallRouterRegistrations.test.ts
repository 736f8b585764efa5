import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { arrival, createWorld, loadOf, only, plainRoute, replicaOf, summaryRoute, typesOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

const FORMER = replicaOf('a5', 'plain', { address: 'a:80', registeredAtRevision: 3 })
const SUCCESSORS = [replicaOf('a9', 'plain', { address: 'a:80', registeredAtRevision: 8 }), replicaOf('a1', 'plain', { address: 'a:80', registeredAtRevision: 8 })]
for (const successor of SUCCESSORS) {
  for (const present of [[FORMER, successor], [successor, FORMER]]) {
    test(`of two registrations at one address the later counts: ${present.map(({ replicaId }) => replicaId).join(', ')}`, () => {
      const world = createWorld([plainRoute()], [])
      world.send({ type: 'replicas_changed', present, gone: [] })
      world.send({ type: 'replicas_changed', present: [FORMER], gone: [] })
      assert.equal([...world.state.replicas.keys()], [successor.replicaId])
    })
  }
}

test('a replica counts again when the later registration at its address is gone', () => {
  const world = createWorld([plainRoute()], [])
  world.send({ type: 'replicas_changed', present: [FORMER, ...SUCCESSORS.slice(1)], gone: [] })
  world.send({ type: 'replicas_changed', present: [FORMER], gone: ['a1'] })
  assert.equal([...world.state.replicas.keys()], ['a5'])
})

const FOUR = ['a', 'b', 'c', 'd'].map((replicaId) => replicaOf(replicaId, 'plain'))

function sentTo (world: RouterWorld, calls: number): ReadonlySet<string> {
  const keys = Array.from({ length: calls }, (_, index) => `call-${index}`)
  return new Set(keys.map((key) => only(world.send(arrival(key, '/rates/1')), 'send_run').replicaId))
}

test('a replica whose registration is missing after an outage gets no new work', () => {
  const world = createWorld([plainRoute()], FOUR)
  world.send({ type: 'replicas_missing', replicaIds: ['a', 'b'] })
  assert.equal([...sentTo(world, 40)].sort(), ['c', 'd'])
})

test('replicas are used on when most registrations lapsed in an outage', () => {
  const world = createWorld([plainRoute()], FOUR)
  world.send({ type: 'replicas_missing', replicaIds: ['a', 'b', 'c'] })
  assert.is(sentTo(world, 40).size, 4)
})

test('the only prefill replica that is missing after an outage reads no prompt', () => {
  const world = createWorld([summaryRoute()], [replicaOf('p1', 'prefill'), replicaOf('d1', 'decode'), replicaOf('d2', 'decode')])
  world.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  world.send({ type: 'replicas_missing', replicaIds: ['p1'] })
  const reserve = only(world.send(arrival('1')), 'reserve')
  const next = world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } })
  assert.equal(typesOf(next), ['send_run'])
})

test('a replica that is registered again gets work', () => {
  const world = createWorld([plainRoute()], FOUR)
  world.send({ type: 'replicas_missing', replicaIds: ['a'] })
  world.send({ type: 'replicas_changed', present: [replicaOf('a', 'plain', { registeredAtRevision: 9 })], gone: [] })
  assert.is(sentTo(world, 40).size, 4)
})

test('a request whose chosen replica goes missing is not sent there', () => {
  const world = createWorld([summaryRoute()], [replicaOf('p1', 'prefill'), ...['d1', 'd2', 'd3'].map((id) => replicaOf(id, 'decode'))])
  world.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  for (const id of ['d2', 'd3']) world.send({ type: 'load_learned', load: loadOf(id, 'decode', 10_000) })
  const reserve = only(world.send(arrival('1')), 'reserve')
  assert.is(reserve.replicaId, 'd1')
  const prefill = only(world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  const confirm = only(world.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'h' } }), 'confirm')
  world.send({ type: 'replicas_missing', replicaIds: ['d1'] })
  const next = world.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' })
  assert.is.not(only(next, 'reserve').replicaId, 'd1')
})

test.run()
