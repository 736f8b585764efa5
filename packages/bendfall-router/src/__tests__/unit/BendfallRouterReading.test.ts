import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { arrival, createWorld, loadOf, modelWorld, only, replicaOf, summaryRoute } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

function busyPrefill (change: Parameters<typeof modelWorld>[0] = {}): RouterWorld {
  const world = modelWorld(change)
  world.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 16_000 } })
  return world
}

test('a decode replica reads the prompt itself where that is sooner', () => {
  const world = busyPrefill()
  const reserve = only(world.send(arrival('1')), 'reserve')
  assert.equal([reserve.replicaId, reserve.readsInPlace, reserve.maxWaitMs, reserve.leadMs], ['d1', true, 0, 0])
  const run = only(world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_run')
  assert.equal([run.replicaId, run.source], ['d1', undefined])
})

test('an idle prefill replica reads the prompt', () => {
  const reserve = only(modelWorld().send(arrival('1')), 'reserve')
  assert.is(reserve.readsInPlace, false)
})

test('one decode replica reads one prompt at a time', () => {
  const world = busyPrefill()
  world.send(arrival('1'))
  assert.is(only(world.send(arrival('2')), 'reserve').replicaId, 'd2')
  assert.is(only(world.send(arrival('3')), 'queue_prefill').replicaId, 'p1')
})

test('a prompt that a decode replica does not take at once waits for a prefill replica', () => {
  const world = busyPrefill()
  const reserve = only(world.send(arrival('1')), 'reserve')
  const queue = only(world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'refused', retryAfterMs: 500 } }), 'queue_prefill')
  assert.is(queue.replicaId, 'p1')
})

test('without a prefill replica prompts are read in place, after a wait for memory too', () => {
  const world = createWorld([summaryRoute()], [replicaOf('d1', 'decode')])
  world.send({ type: 'load_learned', load: { ...loadOf('d1', 'decode', 0), roomTokens: [0, 0, 30_000, 30_000, 30_000, 30_000, 30_000, 30_000, 30_000, 30_000] } })
  const reserve = only(world.send(arrival('1')), 'reserve')
  assert.is(reserve.readsInPlace, true)
  assert.ok(reserve.maxWaitMs > 1_000)
})

test('the speed of reading in place is learned', () => {
  const world = busyPrefill()
  const before = world.state.inPlaceMsPerToken
  const reserve = only(world.send(arrival('1')), 'reserve')
  const run = only(world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_run')
  world.wait(2_000)
  world.send({ type: 'answer_started', key: '1', attempt: run.attempt })
  assert.ok(world.state.inPlaceMsPerToken > before)
})

test('a resumable stream whose prompt is read in place is given up later than one that is only run', () => {
  const world = busyPrefill({ isResumable: true, maxAttempts: 2 })
  const reserve = only(world.send(arrival('1')), 'reserve')
  const run = only(world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_run')
  assert.ok((run.tryTimeoutMs ?? 0) > 1_000)
})

test('a request whose decode replica is lost asks another one', () => {
  const world = modelWorld()
  const reserve = only(world.send(arrival('1')), 'reserve')
  const effects = world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'replica_lost' } })
  assert.is(only(effects, 'reserve').replicaId, 'd2')
})

test('a prompt whose prefill replica is lost is read elsewhere', () => {
  const world = modelWorld()
  world.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 9_000 } })
  const queue = only(world.send(arrival('1')), 'queue_prefill')
  const effects = world.send({ type: 'prefill_queue_answered', key: '1', attempt: queue.attempt, outcome: { type: 'replica_lost' } })
  assert.is(only(effects, 'reserve').readsInPlace, true)
})

test.run()
