import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { arrival, createWorld, modelWorld, only, plainRoute, replicaOf, summaryRoute, typesOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

const FREEZES_MS = [1_100, 3_000, 10_000]

function plainWorld (): RouterWorld {
  return createWorld([plainRoute(), summaryRoute()], [replicaOf('a1', 'plain'), replicaOf('a2', 'plain')])
}

test('a process that stood still sends nothing before it has read the registrations again', () => {
  for (const freezeMs of FREEZES_MS) {
    const world = plainWorld()
    world.freeze(freezeMs)
    assert.equal(typesOf(world.send(arrival('1', '/rates/1'))), ['refresh_replicas', 'set_deadline'])
    world.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { isDraining: true, revision: 2 })], gone: [] })
    assert.is(only(world.send({ type: 'replicas_refreshed' }), 'send_run').replicaId, 'a2')
  }
})

test('a retry that is due after a standstill waits too, and goes to no replica that left meanwhile', () => {
  const world = plainWorld()
  const first = only(world.send(arrival('1', '/rates/1')), 'send_run')
  world.freeze(2_000)
  const effects = world.send({ type: 'try_timed_out', key: '1', attempt: first.attempt })
  assert.ok(!typesOf(effects).includes('send_run'), typesOf(effects).join(' '))
  const other = first.replicaId === 'a1' ? 'a2' : 'a1'
  world.send({ type: 'replicas_changed', present: [], gone: [other] })
  const after = world.send({ type: 'replicas_refreshed' })
  assert.ok(!after.some((effect) => effect.type === 'send_run' && effect.replicaId === other))
})

test('a prompt whose memory was granted before a standstill is not sent on old news', () => {
  const world = modelWorld()
  const reserve = only(world.send(arrival('1')), 'reserve')
  world.freeze(2_000)
  const effects = world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } })
  assert.ok(!typesOf(effects).includes('send_prefill'))
  assert.ok(typesOf(world.send({ type: 'replicas_refreshed' })).includes('send_prefill'))
})

test('an answer to a step before the standstill is dropped while the request waits', () => {
  const world = modelWorld()
  const reserve = only(world.send(arrival('1')), 'reserve')
  world.freeze(2_000)
  world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } })
  assert.equal(world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), [])
  assert.is(typesOf(world.send({ type: 'replicas_refreshed' })).filter((type) => type === 'send_prefill').length, 1)
})

test('a caller that leaves while its request waits is done with', () => {
  const world = plainWorld()
  world.freeze(2_000)
  world.send(arrival('1', '/rates/1'))
  world.send({ type: 'caller_left', key: '1' })
  assert.equal(world.send({ type: 'replicas_refreshed' }), [])
})

test('a process that is busy for some hundred milliseconds did not stand still', () => {
  const world = plainWorld()
  world.freeze(900)
  assert.ok(typesOf(world.send(arrival('1', '/rates/1'))).includes('send_run'))
  world.wait(60_000)
  assert.ok(typesOf(world.send(arrival('2', '/rates/1'))).includes('send_run'))
})

test('answers that are ready go to their callers at once, also after a standstill', () => {
  const world = plainWorld()
  const sent = only(world.send(arrival('1', '/rates/1')), 'send_run')
  world.freeze(2_000)
  assert.ok(typesOf(world.send({ type: 'answer_complete', key: '1', attempt: sent.attempt, status: 200, outputEvents: 0 })).includes('deliver'))
})

test.run()
