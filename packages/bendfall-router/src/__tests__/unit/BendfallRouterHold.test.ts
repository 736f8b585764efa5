import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { HoldOutcome, RouterEffect, RouterEffectOf } from '../../index.js'
import { arrival, createModelSimulation, only, typesOf } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

/** Sends a request whose ledger is unreachable, and returns the hold that it requests. */
function requestHold (simulation: RouterSimulation, key = '1'): RouterEffectOf<'take_hold'> {
  const reserve = only(simulation.send(arrival(key)), 'reserve')
  return only(simulation.send({ type: 'reserve_answered', key, attempt: reserve.attempt, outcome: { type: 'unreachable' } }), 'take_hold')
}

function answerHold (simulation: RouterSimulation, { attempt, key }: RouterEffectOf<'take_hold'>, outcome: HoldOutcome): RouterEffect[] {
  return simulation.send({ type: 'hold_answered', key, attempt, outcome })
}

// Previously the entry relied on its own bookings and had the prompt processed at once.
test('without a ledger no prompt is processed before the replica holds memory for it', () => {
  const simulation = createModelSimulation()
  const hold = requestHold(simulation)
  assert.is(hold.replicaId, 'd1')
  assert.ok(hold.tokens >= 3_000)
  assert.ok(typesOf(answerHold(simulation, hold, { type: 'held', holdId: 'h1' })).includes('send_prefill'))
})

test('the run is sent to the replica that holds memory for it, and uses the hold', () => {
  const simulation = createModelSimulation()
  const prefill = only(answerHold(simulation, requestHold(simulation), { type: 'held', holdId: 'h1' }), 'send_prefill')
  const run = only(simulation.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'x' } }), 'send_run')
  assert.equal([run.replicaId, run.holdId], ['d1', 'h1'])
  assert.ok(!typesOf(simulation.send({ type: 'answer_complete', key: '1', attempt: run.attempt, status: 200, outputEvents: 1 })).includes('drop_hold'))
})

test('a ledger that is reachable again during prefill is not asked to confirm memory that it did not book', () => {
  const simulation = createModelSimulation()
  const prefill = only(answerHold(simulation, requestHold(simulation), { type: 'held', holdId: 'h1' }), 'send_prefill')
  simulation.wait(2_000)
  const effects = simulation.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'x' } })
  assert.is(only(effects, 'send_run').holdId, 'h1')
})

test('a replica without free memory is not asked again, and the caller is refused at once when no replica has any', () => {
  const simulation = createModelSimulation()
  const first = requestHold(simulation)
  const second = only(answerHold(simulation, first, { type: 'refused' }), 'reserve')
  assert.is.not(second.replicaId, first.replicaId)
  const hold = only(simulation.send({ type: 'reserve_answered', key: '1', attempt: second.attempt, outcome: { type: 'unreachable' } }), 'take_hold')
  const refuse = only(answerHold(simulation, hold, { type: 'refused' }), 'refuse')
  assert.equal([refuse.status, refuse.reason], [503, 'no_replica'])
})

test('a ledger that is known to be unreachable is not asked for bookings', () => {
  const simulation = createModelSimulation()
  requestHold(simulation)
  simulation.send({ type: 'ledger_lost', replicaId: 'd2' })
  assert.is(only(simulation.send(arrival('2')), 'take_hold').key, '2')
})

test('the hold is released when the caller leaves', () => {
  const simulation = createModelSimulation()
  answerHold(simulation, requestHold(simulation), { type: 'held', holdId: 'h1' })
  assert.is(only(simulation.send({ type: 'caller_left', key: '1' }), 'drop_hold').holdId, 'h1')
})

test('a request is sent to a replica that does not support holds', () => {
  const simulation = createModelSimulation()
  assert.ok(typesOf(answerHold(simulation, requestHold(simulation), { type: 'not_offered' })).includes('send_prefill'))
})

test.run()
