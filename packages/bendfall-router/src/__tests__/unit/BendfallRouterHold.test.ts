import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { HoldOutcome, RouterEffect, RouterEffectOf } from '../../index.js'
import { arrival, modelWorld, only, typesOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

/** A request whose ledger can't be reached, up to the hold that it asks for. */
function askHold (world: RouterWorld, key = '1'): RouterEffectOf<'take_hold'> {
  const reserve = only(world.send(arrival(key)), 'reserve')
  return only(world.send({ type: 'reserve_answered', key, attempt: reserve.attempt, outcome: { type: 'unreachable' } }), 'take_hold')
}

function answer (world: RouterWorld, { attempt, key }: RouterEffectOf<'take_hold'>, outcome: HoldOutcome): RouterEffect[] {
  return world.send({ type: 'hold_answered', key, attempt, outcome })
}

// Before, the entry went by its own bookings and had the prompt read at once.
test('without a ledger no prompt is read before the replica holds memory for it', () => {
  const world = modelWorld()
  const hold = askHold(world)
  assert.is(hold.replicaId, 'd1')
  assert.ok(hold.tokens >= 3_000)
  assert.ok(typesOf(answer(world, hold, { type: 'held', holdId: 'h1' })).includes('send_prefill'))
})

test('the run goes where memory is held, and takes it', () => {
  const world = modelWorld()
  const prefill = only(answer(world, askHold(world), { type: 'held', holdId: 'h1' }), 'send_prefill')
  const run = only(world.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'x' } }), 'send_run')
  assert.equal([run.replicaId, run.holdId], ['d1', 'h1'])
  assert.ok(!typesOf(world.send({ type: 'answer_complete', key: '1', attempt: run.attempt, status: 200, outputEvents: 1 })).includes('drop_hold'))
})

test('a ledger that is back while the prompt is read is not asked about memory that it did not book', () => {
  const world = modelWorld()
  const prefill = only(answer(world, askHold(world), { type: 'held', holdId: 'h1' }), 'send_prefill')
  world.wait(2_000)
  const effects = world.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'x' } })
  assert.is(only(effects, 'send_run').holdId, 'h1')
})

test('a replica without room is not asked again; when none has room the caller is refused at once', () => {
  const world = modelWorld()
  const first = askHold(world)
  const second = only(answer(world, first, { type: 'refused' }), 'reserve')
  assert.is.not(second.replicaId, first.replicaId)
  const hold = only(world.send({ type: 'reserve_answered', key: '1', attempt: second.attempt, outcome: { type: 'unreachable' } }), 'take_hold')
  const refuse = only(answer(world, hold, { type: 'refused' }), 'refuse')
  assert.equal([refuse.status, refuse.reason], [503, 'no_replica'])
})

test('a ledger that is known to be away is not asked for bookings', () => {
  const world = modelWorld()
  askHold(world)
  world.send({ type: 'ledger_lost', replicaId: 'd2' })
  assert.is(only(world.send(arrival('2')), 'take_hold').key, '2')
})

test('a caller that leaves gives the hold back', () => {
  const world = modelWorld()
  answer(world, askHold(world), { type: 'held', holdId: 'h1' })
  assert.is(only(world.send({ type: 'caller_left', key: '1' }), 'drop_hold').holdId, 'h1')
})

test('a replica that holds memory for nobody gets the request all the same', () => {
  const world = modelWorld()
  assert.ok(typesOf(answer(world, askHold(world), { type: 'not_offered' })).includes('send_prefill'))
})

test.run()
