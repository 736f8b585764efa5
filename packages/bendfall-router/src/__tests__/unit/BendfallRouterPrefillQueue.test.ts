import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { arrival, loadOf, createModelSimulation, only } from './RouterSimulation.js'

test('a request waits for a slot at a busy prefill replica before it books decode memory', () => {
  const simulation = createModelSimulation()
  simulation.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 9_000 } })
  const queue = only(simulation.send(arrival('1')), 'queue_prefill')
  assert.is(queue.replicaId, 'p1')
  const reserve = only(simulation.send({ type: 'prefill_queue_answered', key: '1', attempt: queue.attempt, outcome: { type: 'granted' } }), 'reserve')
  const announce = only(simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'announce_prefill')
  assert.is(announce.bookingId, queue.bookingId)
})

test('a request that no prefill replica can serve in time is refused with the retry delay', () => {
  const simulation = createModelSimulation()
  simulation.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 9_000 } })
  const queue = only(simulation.send(arrival('1')), 'queue_prefill')
  const refuse = only(simulation.send({ type: 'prefill_queue_answered', key: '1', attempt: queue.attempt, outcome: { type: 'refused', retryAfterMs: 2_000 } }), 'refuse')
  assert.equal([refuse.status, refuse.reason, refuse.retryAfterMs], [503, 'prefill_busy', 2_000])
})

test('a caller that disconnects releases its place in the prefill queue', () => {
  const simulation = createModelSimulation()
  simulation.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 9_000 } })
  const queue = only(simulation.send(arrival('1')), 'queue_prefill')
  assert.is(only(simulation.send({ type: 'caller_left', key: '1' }), 'release').bookingId, queue.bookingId)
})

test('a request that waited for a prefill slot is retried when the decode replica refuses the run', () => {
  const simulation = createModelSimulation()
  simulation.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 9_000 } })
  const queue = only(simulation.send(arrival('1')), 'queue_prefill')
  const reserve = only(simulation.send({ type: 'prefill_queue_answered', key: '1', attempt: queue.attempt, outcome: { type: 'granted' } }), 'reserve')
  const prefill = only(simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  const confirm = only(simulation.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'h' } }), 'confirm')
  const run = only(simulation.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' }), 'send_run')
  const again = only(simulation.send({ type: 'run_failed', key: '1', attempt: run.attempt, failure: 'not_run' }), 'reserve')
  assert.is(again.replicaId, 'd2')
})

test.run()
