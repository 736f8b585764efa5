import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { arrival, loadOf, modelWorld, only } from './RouterWorld.js'

test('a request waits at a busy prefill replica before it books memory', () => {
  const world = modelWorld()
  world.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 9_000 } })
  const queue = only(world.send(arrival('1')), 'queue_prefill')
  assert.is(queue.replicaId, 'p1')
  const reserve = only(world.send({ type: 'prefill_queue_answered', key: '1', attempt: queue.attempt, outcome: { type: 'granted' } }), 'reserve')
  const announce = only(world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'announce_prefill')
  assert.is(announce.bookingId, queue.bookingId)
})

test('a request for which no prefill replica has time is refused with the wait', () => {
  const world = modelWorld()
  world.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 9_000 } })
  const queue = only(world.send(arrival('1')), 'queue_prefill')
  const refuse = only(world.send({ type: 'prefill_queue_answered', key: '1', attempt: queue.attempt, outcome: { type: 'refused', retryAfterMs: 2_000 } }), 'refuse')
  assert.equal([refuse.status, refuse.reason, refuse.retryAfterMs], [503, 'prefill_busy', 2_000])
})

test('a caller that leaves gives up its place at a prefill replica', () => {
  const world = modelWorld()
  world.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 9_000 } })
  const queue = only(world.send(arrival('1')), 'queue_prefill')
  assert.is(only(world.send({ type: 'caller_left', key: '1' }), 'release').bookingId, queue.bookingId)
})

test('a request that waited for a slot is sent again when its replica refuses it', () => {
  const world = modelWorld()
  world.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 9_000 } })
  const queue = only(world.send(arrival('1')), 'queue_prefill')
  const reserve = only(world.send({ type: 'prefill_queue_answered', key: '1', attempt: queue.attempt, outcome: { type: 'granted' } }), 'reserve')
  const prefill = only(world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  const confirm = only(world.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'h' } }), 'confirm')
  const run = only(world.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' }), 'send_run')
  const again = only(world.send({ type: 'run_failed', key: '1', attempt: run.attempt, failure: 'not_run' }), 'reserve')
  assert.is(again.replicaId, 'd2')
})

test.run()
