import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { LimitNotice, PermitOutcome, RouterEffect } from '../../index.js'
import { arrival, createWorld, loadOf, modelWorld, only, plainRoute, replicaOf, summaryRoute, typesOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

const PLAIN = ['a1', 'a2'].map((id) => replicaOf(id, 'plain', { startedAtMs: 1 }))
const PATH = '/rates/1'

function named (perS: number): LimitNotice {
  return { type: 'named', perS }
}

function plainWorld (): RouterWorld {
  return createWorld([plainRoute()], PLAIN)
}

/** A replica answers something that was asked just now, or so long ago. */
function speak (world: RouterWorld, replicaId: string, limit: LimitNotice, sentAgoMs = 0): RouterEffect[] {
  return world.send({ type: 'replica_spoke', replicaId, notice: { isLeaving: false, limit }, sentAtMs: world.nowMs() - sentAgoMs })
}

function leased (permits: number, change: Partial<Extract<PermitOutcome, { type: 'leased' }>> = {}): PermitOutcome {
  return { type: 'leased', permits, perS: 5, heardAgoMs: 0, nextInMs: permits > 0 ? 0 : 200, entries: 1, ...change }
}

/** The keeper answers the ask among the effects. */
function answer (world: RouterWorld, effects: readonly RouterEffect[], outcome: PermitOutcome): RouterEffect[] {
  const { ask, replicaId } = only(effects, 'ask_permits')
  return world.send({ type: 'permits_answered', replicaId, ask, outcome })
}

/** Both replicas name a limit, and the keeper has given no permits. */
function limitedWorld (): RouterWorld {
  const world = plainWorld()
  for (const replicaId of ['a1', 'a2']) answer(world, speak(world, replicaId, named(5)), leased(0))
  return world
}

test('a replica that names a limit gets no call without a permit while another one is open', () => {
  const world = plainWorld()
  speak(world, 'a1', named(5))
  for (const key of ['k1', 'k2', 'k3', 'k4']) assert.is(only(world.send(arrival(key, PATH)), 'send_run').replicaId, 'a2')
})

test('each permit lets one call through', () => {
  const world = plainWorld()
  answer(world, speak(world, 'a1', named(5)), leased(2))
  const sentTo = ['k1', 'k2', 'k3'].map((key) => only(world.send(arrival(key, PATH)), 'send_run').replicaId)
  assert.equal(sentTo, ['a1', 'a1', 'a2'])
})

test('a permit lapses, and is given back with the next ask', () => {
  const world = plainWorld()
  answer(world, speak(world, 'a1', named(5)), leased(2))
  world.wait(400)
  const effects = world.send(arrival('k1', PATH))
  assert.is(only(effects, 'send_run').replicaId, 'a2')
  assert.is(only(effects, 'ask_permits').ask.returned, 2)
})

test('the first ask tells what was sent in the last second', () => {
  const world = plainWorld()
  world.wait(2_000)
  const sends = ['k1', 'k2', 'k3', 'k4'].map((key) => only(world.send(arrival(key, PATH)), 'send_run').replicaId)
  assert.is(only(speak(world, 'a1', named(5)), 'ask_permits').ask.sentBefore, sends.filter((replicaId) => replicaId === 'a1').length)
})

test('a call waits for the permit that is asked for when all replicas name limits', () => {
  const world = limitedWorld()
  world.wait(250)
  const asked = world.send(arrival('k1', PATH))
  assert.not.ok(typesOf(asked).includes('send_run'))
  const [first] = asked.filter((effect) => effect.type === 'ask_permits')
  assert.is(only(answer(world, [first as RouterEffect], leased(1)), 'send_run').key, 'k1')
})

test('a call is refused at once when no permit is free within its wait, with the time of the next one', () => {
  const world = limitedWorld()
  const refused = only(world.send(arrival('k1', PATH)), 'refuse')
  assert.is(refused.status, 503)
  assert.is(refused.reason, 'replicas_limited')
  assert.ok((refused.retryAfterMs ?? 0) >= 200 && (refused.retryAfterMs ?? 0) <= 240, String(refused.retryAfterMs))
})

test('callers that are refused are told to return one after the other', () => {
  const world = limitedWorld()
  const told = ['k1', 'k2', 'k3'].map((key) => only(world.send(arrival(key, PATH)), 'refuse').retryAfterMs ?? 0)
  assert.ok((told[2] ?? 0) > (told[1] ?? 0) && (told[1] ?? 0) > (told[0] ?? 0), told.join(' '))
})

test('without an answer of the keeper nothing is sent to a replica that names a limit', () => {
  const world = plainWorld()
  for (const replicaId of ['a1', 'a2']) answer(world, speak(world, replicaId, named(5)), { type: 'unreachable' })
  const effects = world.send(arrival('k1', PATH))
  assert.is(only(effects, 'refuse').reason, 'replicas_limited')
})

test('an answer to an earlier request lifts no limit, one to a later request does, and the keeper is told', () => {
  const world = plainWorld()
  world.wait(1_000)
  speak(world, 'a1', named(5))
  assert.equal(speak(world, 'a1', { type: 'none' }, 500), [])
  world.wait(10)
  const lifted = only(speak(world, 'a1', { type: 'none' }), 'ask_permits').ask
  assert.is(lifted.perS, undefined)
  assert.is(world.state.limits.size, 0)
})

test('an answer to an earlier request lowers a limit and does not raise it', () => {
  const world = plainWorld()
  world.wait(1_000)
  speak(world, 'a1', named(5))
  speak(world, 'a1', named(50), 500)
  assert.is([...world.state.limits.values()][0]?.perS, 5)
  speak(world, 'a1', named(2), 500)
  assert.is([...world.state.limits.values()][0]?.perS, 2)
  world.wait(10)
  speak(world, 'a1', named(50))
  assert.is([...world.state.limits.values()][0]?.perS, 50)
})

test('a limit that can\'t be read changes nothing', () => {
  const world = plainWorld()
  speak(world, 'a1', named(5))
  world.wait(10)
  speak(world, 'a1', { type: 'unreadable', text: 'some' })
  assert.is([...world.state.limits.values()][0]?.perS, 5)
})

test('a process that starts again is not bound by the limit of the former one', () => {
  const world = plainWorld()
  speak(world, 'a1', named(0))
  world.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { startedAtMs: 2, revision: 2 })], gone: ['a2'] })
  assert.is(only(world.send(arrival('k1', PATH)), 'send_run').replicaId, 'a1')
})

test('a limit that the keeper knows to be lifted is forgotten', () => {
  const world = plainWorld()
  const asked = speak(world, 'a1', named(5))
  world.wait(100)
  answer(world, asked, leased(0, { perS: undefined, heardAgoMs: 10 }))
  assert.is(world.state.limits.size, 0)
})

test('limits that other entries heard of bind at once, those of other processes don\'t', () => {
  const world = plainWorld()
  world.send({ type: 'limits_learned', limits: [{ processName: 'a1/1', perS: 5 }, { processName: 'a2/7', perS: 5 }] })
  assert.is(only(world.send(arrival('k1', PATH)), 'send_run').replicaId, 'a2')
})

test('a call that waits for a permit goes on when its replica is gone meanwhile', () => {
  const world = createWorld([plainRoute()], [PLAIN[0] as (typeof PLAIN)[number]])
  answer(world, speak(world, 'a1', named(5)), leased(0))
  world.wait(250)
  const asked = world.send(arrival('k1', PATH))
  world.send({ type: 'replicas_changed', present: [], gone: ['a1'] })
  assert.is(only(answer(world, asked, leased(0)), 'refuse').reason, 'no_replica')
})

test('a run whose permit is too old to be used takes another one', () => {
  const world = modelWorld()
  answer(world, speak(world, 'd1', named(5)), leased(1))
  const reserve = only(world.send(arrival('k1')), 'reserve')
  world.wait(2_200)
  const read = only(world.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  const confirm = only(world.send({ type: 'prefill_answered', key: 'k1', attempt: read.attempt, outcome: { type: 'read', handle: 'h1' } }), 'confirm')
  const effects = world.send({ type: 'confirm_answered', key: 'k1', attempt: confirm.attempt, outcome: 'free' })
  assert.is(only(effects, 'reserve').replicaId, 'd2')
  assert.is(only(effects, 'ask_permits').ask.returned, 1)
})

test('a limit that a replica names to its ledger binds before the first answer to this entry', () => {
  const world = modelWorld()
  world.send({ type: 'load_learned', load: { ...loadOf('d1', 'decode', 30_000), limitPerS: 5 } })
  assert.is(only(world.send(arrival('k1')), 'reserve').replicaId, 'd2')
})

test('a suspended process drops its permits', () => {
  const world = plainWorld()
  answer(world, speak(world, 'a1', named(5)), leased(2))
  world.send({ type: 'time_passed', suspendedMs: 5_000 })
  world.send({ type: 'replicas_refreshed' })
  assert.is(only(world.send(arrival('k1', PATH)), 'send_run').replicaId, 'a2')
})

test('a failed answer is passed on where no other replica has a permit', () => {
  const world = plainWorld()
  answer(world, speak(world, 'a2', named(5)), leased(0))
  const sent = only(world.send(arrival('k1', PATH)), 'send_run')
  const effects = world.send({ type: 'answer_complete', key: 'k1', attempt: sent.attempt, status: 500, outputEvents: 0 })
  assert.ok(typesOf(effects).includes('deliver'))
  assert.not.ok(typesOf(effects).includes('refuse'))
})

test('the permit of a run is taken with its reservation and used by the run, however long its prompt takes', () => {
  const world = modelWorld()
  answer(world, speak(world, 'd1', named(5)), leased(1))
  const reserve = only(world.send(arrival('k1')), 'reserve')
  assert.is(reserve.replicaId, 'd1')
  assert.is(only(world.send(arrival('k2')), 'reserve').replicaId, 'd2')
  world.wait(1_200)
  const read = only(world.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  const confirm = only(world.send({ type: 'prefill_answered', key: 'k1', attempt: read.attempt, outcome: { type: 'read', handle: 'h1' } }), 'confirm')
  const effects = world.send({ type: 'confirm_answered', key: 'k1', attempt: confirm.attempt, outcome: 'free' })
  assert.is(only(effects, 'send_run').replicaId, 'd1')
})

test('a prompt is read elsewhere when its prefill replica has no permit', () => {
  const world = modelWorld()
  answer(world, speak(world, 'p1', named(5)), leased(0))
  const reserve = only(world.send(arrival('k1')), 'reserve')
  const run = only(world.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_run')
  assert.is(run.source, undefined)
})

test('a result is freed at a replica that names a limit only with a permit', () => {
  for (const permits of [0, 1]) {
    const world = modelWorld()
    const reserve = only(world.send(arrival('k1')), 'reserve')
    const read = only(world.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
    answer(world, speak(world, read.replicaId, named(5)), leased(permits))
    world.send({ type: 'prefill_answered', key: 'k1', attempt: read.attempt, outcome: { type: 'read', handle: 'h1' } })
    const effects = world.send({ type: 'caller_left', key: 'k1' })
    assert.is(typesOf(effects).includes('free_handle'), permits > 0)
  }
})

test('a replica without a permit gets no order and holds no memory', () => {
  const world = createWorld([summaryRoute()], ['d1', 'd2', 'd3', 'd4', 'd5'].map((id) => replicaOf(id, 'decode')))
  for (const id of ['d1', 'd2', 'd3', 'd4', 'd5']) {
    world.send({ type: 'load_learned', load: loadOf(id, 'decode', 30_000) })
    answer(world, speak(world, id, named(5)), leased(0))
  }
  world.state.poolIntent = { usualPrefillShare: 0.5, leastPrefillShare: 0.1, leastPrefillReplicas: 1, mostPrefillShare: 0.5 }
  const effects = [...world.send({ type: 'balance_due', fence: 1 }), ...world.send(arrival('k1'))]
  assert.not.ok(typesOf(effects).some((type) => type === 'order_stage' || type === 'take_hold'))
})

test.run()
