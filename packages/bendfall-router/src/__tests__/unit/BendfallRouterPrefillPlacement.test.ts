import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { arrival, createSimulation, loadOf, createModelSimulation, only, replicaOf, summaryRoute } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

function createBusyPrefillSimulation (change: Parameters<typeof createModelSimulation>[0] = {}): RouterSimulation {
  const simulation = createModelSimulation(change)
  simulation.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 16_000 } })
  return simulation
}

test('a prompt is processed on the decode replica where that is sooner', () => {
  const simulation = createBusyPrefillSimulation()
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  assert.equal([reserve.replicaId, reserve.readsInPlace, reserve.maxWaitMs, reserve.leadMs], ['d1', true, 0, 0])
  const run = only(simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_run')
  assert.equal([run.replicaId, run.source], ['d1', undefined])
})

test('a prompt is processed on an idle prefill replica', () => {
  const reserve = only(createModelSimulation().send(arrival('1')), 'reserve')
  assert.is(reserve.readsInPlace, false)
})

test('a decode replica processes one prompt at a time', () => {
  const simulation = createBusyPrefillSimulation()
  simulation.send(arrival('1'))
  assert.is(only(simulation.send(arrival('2')), 'reserve').replicaId, 'd2')
  assert.is(only(simulation.send(arrival('3')), 'queue_prefill').replicaId, 'p1')
})

test('a prompt that a decode replica refuses waits for a prefill replica', () => {
  const simulation = createBusyPrefillSimulation()
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  const queue = only(simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'refused', retryAfterMs: 500 } }), 'queue_prefill')
  assert.is(queue.replicaId, 'p1')
})

test('without a prefill replica prompts are processed on the decode replica, also after a wait for memory', () => {
  const simulation = createSimulation([summaryRoute()], [replicaOf('d1', 'decode')])
  simulation.send({ type: 'load_learned', load: { ...loadOf('d1', 'decode', 0), roomTokens: [0, 0, 30_000, 30_000, 30_000, 30_000, 30_000, 30_000, 30_000, 30_000] } })
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  assert.is(reserve.readsInPlace, true)
  assert.ok(reserve.maxWaitMs > 1_000)
})

test('the speed of prefill on decode replicas is learned', () => {
  const simulation = createBusyPrefillSimulation()
  const before = simulation.state.inPlaceMsPerToken
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  const run = only(simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_run')
  simulation.wait(2_000)
  simulation.send({ type: 'answer_started', key: '1', attempt: run.attempt })
  assert.ok(simulation.state.inPlaceMsPerToken > before)
})

test('a resumable stream whose prompt is processed on the decode replica gets a longer attempt timeout than one that only runs', () => {
  const simulation = createBusyPrefillSimulation({ isResumable: true, maxAttempts: 2 })
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  const run = only(simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_run')
  assert.ok((run.tryTimeoutMs ?? 0) > 1_000)
})

test('a request reserves another decode replica when its replica is lost', () => {
  const simulation = createModelSimulation()
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  const effects = simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'replica_lost' } })
  assert.is(only(effects, 'reserve').replicaId, 'd2')
})

test('a prompt is processed on the decode replica when its prefill replica is lost', () => {
  const simulation = createModelSimulation()
  simulation.send({ type: 'load_learned', load: { ...loadOf('p1', 'prefill', 0), backlogTokens: 9_000 } })
  const queue = only(simulation.send(arrival('1')), 'queue_prefill')
  const effects = simulation.send({ type: 'prefill_queue_answered', key: '1', attempt: queue.attempt, outcome: { type: 'replica_lost' } })
  assert.is(only(effects, 'reserve').readsInPlace, true)
})

test.run()
