import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { reduceRouter } from '../../index.js'
import type { ReplicaNotice, RouterEffect } from '../../index.js'
import { arrival, createSimulation, loadOf, createModelSimulation, only, plainRoute, replicaOf, summaryRoute, typesOf } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

const BACKS_OFF: ReplicaNotice = { isLeaving: false, backoffMs: 3_000 }
const LEAVES: ReplicaNotice = { isLeaving: true }

const PLAIN = ['a1', 'a2'].map((id) => replicaOf(id, 'plain', { startedAtMs: 1 }))

function createPlainSimulation (): RouterSimulation {
  return createSimulation([plainRoute()], PLAIN)
}

function sentTo (effects: readonly RouterEffect[]): string {
  return only(effects, 'send_run').replicaId
}

/** Sends a request up to the confirmation of its memory at `d1`, after the prefill, and returns the attempt. */
function sendUntilConfirm (simulation: RouterSimulation): number {
  const reserve = only(simulation.send(arrival('k1')), 'reserve')
  const prefill = only(simulation.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  return only(simulation.send({ type: 'prefill_answered', key: 'k1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'h1' } }), 'confirm').attempt
}

for (const [name, notice] of [['is shutting down', LEAVES], ['requests a backoff', BACKS_OFF]] as const) {
  test(`no call is sent to a replica that ${name}, although the others are no healthier`, () => {
    const simulation = createPlainSimulation()
    simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice })
    for (const key of ['k1', 'k2', 'k3', 'k4', 'k5']) assert.is(sentTo(simulation.send(arrival(key, '/rates/1'))), 'a2')
  })

  test(`no run is sent to a replica that ${name} after its memory was granted`, () => {
    const simulation = createModelSimulation()
    const attempt = sendUntilConfirm(simulation)
    simulation.send({ type: 'replica_spoke', replicaId: 'd1', notice })
    const effects = simulation.send({ type: 'confirm_answered', key: 'k1', attempt, outcome: 'free' })
    assert.not.ok(typesOf(effects).includes('send_run'))
    assert.is(only(effects, 'reserve').replicaId, 'd2')
  })

  test(`no prompt is sent to a replica that ${name} after memory was granted elsewhere`, () => {
    const simulation = createModelSimulation()
    const reserve = only(simulation.send(arrival('k1')), 'reserve')
    simulation.send({ type: 'replica_spoke', replicaId: 'p1', notice })
    const run = only(simulation.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_run')
    assert.is(run.source, undefined)
  })

  test(`no hold is requested from a replica that ${name}`, () => {
    const simulation = createModelSimulation()
    const reserve = only(simulation.send(arrival('k1')), 'reserve')
    simulation.send({ type: 'replica_spoke', replicaId: 'd1', notice })
    const effects = simulation.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'unreachable' } })
    assert.ok(effects.every((effect) => effect.type !== 'take_hold' || effect.replicaId !== 'd1'))
  })
}

test('a replica that reports its shutdown to its ledger gets no new requests', () => {
  const simulation = createModelSimulation()
  simulation.send({ type: 'load_learned', load: { ...loadOf('d1', 'decode', 30_000), isLeaving: true } })
  assert.is(only(simulation.send(arrival('k1')), 'reserve').replicaId, 'd2')
})

test('a parked run is not sent to a replica that has sent a notice in the meantime', () => {
  for (const notice of [LEAVES, BACKS_OFF]) {
    const simulation = createModelSimulation()
    const attempt = sendUntilConfirm(simulation)
    simulation.freeze(2_000)
    simulation.send({ type: 'confirm_answered', key: 'k1', attempt, outcome: 'free' })
    simulation.send({ type: 'replica_spoke', replicaId: 'd1', notice })
    const effects = simulation.send({ type: 'replicas_refreshed' })
    assert.ok(effects.every((effect) => effect.type !== 'send_run' || effect.replicaId !== 'd1'))
  }
})

test('a replica that is shutting down or requests a backoff is not ordered to change its stage', () => {
  for (const notice of [LEAVES, BACKS_OFF]) {
    const simulation = createSimulation([summaryRoute()], ['d1', 'd2', 'd3', 'd4', 'd5'].map((id) => replicaOf(id, 'decode')))
    simulation.state.poolIntent = { usualPrefillShare: 0.25, leastPrefillShare: 0.1, leastPrefillReplicas: 1, mostPrefillShare: 0.5 }
    for (const id of ['d1', 'd2', 'd3', 'd4', 'd5']) simulation.send({ type: 'load_learned', load: loadOf(id, 'decode', 37_000) })
    for (const id of ['d1', 'd2', 'd3']) simulation.send({ type: 'replica_spoke', replicaId: id, notice })
    const ordered = simulation.send({ type: 'balance_due', fence: 3 }).flatMap((effect) => effect.type === 'order_stage' ? [effect.replicaId] : [])
    assert.is(ordered.length, 1)
    assert.ok(['d4', 'd5'].includes(ordered[0] ?? ''), ordered.join(' '))
  }
})

test('while all replicas request a backoff a call is refused at once with the shortest remaining time', () => {
  const simulation = createPlainSimulation()
  simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice: BACKS_OFF })
  simulation.wait(1_000)
  simulation.send({ type: 'replica_spoke', replicaId: 'a2', notice: BACKS_OFF })
  const refusal = only(simulation.send(arrival('k1', '/rates/1')), 'refuse')
  assert.equal([refusal.status, refusal.reason, refusal.retryAfterMs], [503, 'replicas_back_off', 2_000])
  simulation.wait(2_000)
  assert.is(sentTo(simulation.send(arrival('k2', '/rates/1'))), 'a1')
})

test('no prompt is queued, booked or processed while all replicas that could run it request a backoff', () => {
  const simulation = createModelSimulation()
  for (const replicaId of ['d1', 'd2']) simulation.send({ type: 'replica_spoke', replicaId, notice: BACKS_OFF })
  const effects = simulation.send(arrival('k1'))
  assert.is(only(effects, 'refuse').retryAfterMs, 3_000)
  assert.not.ok(typesOf(effects).some((type) => ['queue_prefill', 'reserve', 'send_prefill', 'take_hold'].includes(type)))
})

test('a request refused by the only replica without a backoff gets the time until the next backoff ends', () => {
  const simulation = createPlainSimulation()
  simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice: BACKS_OFF })
  const { attempt } = only(simulation.send(arrival('k1', '/rates/1')), 'send_run')
  simulation.send({ type: 'replica_spoke', replicaId: 'a2', notice: { isLeaving: false, backoffMs: 5_000 } })
  const refusal = only(simulation.send({ type: 'run_failed', key: 'k1', attempt, failure: 'not_run' }), 'refuse')
  assert.equal([refusal.status, refusal.retryAfterMs], [503, 3_000])
})

test('a prefill handle, which expires anyway, is not released at a replica that requests a backoff', () => {
  const simulation = createModelSimulation()
  sendUntilConfirm(simulation)
  simulation.send({ type: 'replica_spoke', replicaId: 'p1', notice: BACKS_OFF })
  assert.not.ok(typesOf(simulation.send({ type: 'caller_left', key: 'k1' })).includes('free_handle'))
})

test('a later response does not shorten a backoff', () => {
  const simulation = createPlainSimulation()
  simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice: BACKS_OFF })
  simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice: { isLeaving: false, backoffMs: 500 } })
  simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice: { isLeaving: false } })
  simulation.wait(2_500)
  assert.is(sentTo(simulation.send(arrival('k1', '/rates/1'))), 'a2')
})

test('a replica that reported its shutdown is not used again when its expired registration is written again', () => {
  const simulation = createPlainSimulation()
  simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice: LEAVES })
  simulation.send({ type: 'replicas_changed', present: [], gone: ['a1'] })
  simulation.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { startedAtMs: 1, heartbeats: 9, revision: 9, registeredAtRevision: 9 })], gone: [] })
  for (const key of ['k1', 'k2', 'k3']) assert.is(sentTo(simulation.send(arrival(key, '/rates/1'))), 'a2')
})

test('a replica that restarts under its id is not bound by the notices of its previous process', () => {
  const simulation = createPlainSimulation()
  simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice: LEAVES })
  simulation.send({ type: 'replica_spoke', replicaId: 'a2', notice: LEAVES })
  simulation.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { startedAtMs: 2, revision: 9, registeredAtRevision: 9 })], gone: [] })
  assert.is(sentTo(simulation.send(arrival('k1', '/rates/1'))), 'a1')
})

test('a replica that restarts under its id is not bound by old notices where the platform reports no start times', () => {
  const simulation = createSimulation([plainRoute()], [replicaOf('a1', 'plain', { heartbeats: 5 })])
  simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice: LEAVES })
  simulation.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { heartbeats: 1, revision: 9, registeredAtRevision: 9 })], gone: [] })
  assert.is(sentTo(simulation.send(arrival('k1', '/rates/1'))), 'a1')
})

test('a decode replica that requests a backoff is not a serving member of its pool', () => {
  const simulation = createModelSimulation()
  simulation.send({ type: 'replica_spoke', replicaId: 'd1', notice: BACKS_OFF })
  simulation.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  assert.is(only(simulation.send(arrival('k1')), 'reserve').replicaId, 'd2')
})

test('a header that is not decoded is logged once per replica', () => {
  const simulation = createPlainSimulation()
  const notice: ReplicaNotice = { isLeaving: false, undecoded: ['server-mood'] }
  const logged = ['a1', 'a1', 'a2'].map((replicaId) => reduceRouter(simulation.state, { type: 'replica_spoke', atMs: simulation.nowMs(), replicaId, notice }))
  assert.equal(logged.map((effects) => effects.filter((effect) => effect.type === 'log' && effect.decision === 'answer_header_undecoded').length), [1, 0, 1])
})

test.run()
