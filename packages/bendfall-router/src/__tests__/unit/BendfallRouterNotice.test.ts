import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { reduceRouter } from '../../index.js'
import type { ReplicaNotice, RouterEffect } from '../../index.js'
import { arrival, createWorld, loadOf, modelWorld, only, plainRoute, replicaOf, summaryRoute, typesOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

const BACKS_OFF: ReplicaNotice = { isLeaving: false, backoffMs: 3_000 }
const LEAVES: ReplicaNotice = { isLeaving: true }

const PLAIN = ['a1', 'a2'].map((id) => replicaOf(id, 'plain', { startedAtMs: 1 }))

function plainWorld (): RouterWorld {
  return createWorld([plainRoute()], PLAIN)
}

function sentTo (effects: readonly RouterEffect[]): string {
  return only(effects, 'send_run').replicaId
}

/** A request whose prompt is read and whose memory at `d1` is about to be confirmed. */
function confirming (world: RouterWorld): number {
  const reserve = only(world.send(arrival('k1')), 'reserve')
  const read = only(world.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  return only(world.send({ type: 'prefill_answered', key: 'k1', attempt: read.attempt, outcome: { type: 'read', handle: 'h1' } }), 'confirm').attempt
}

for (const [name, notice] of [['leaves', LEAVES], ['backs off', BACKS_OFF]] as const) {
  test(`no call goes to a replica that ${name}, though no other was trusted more`, () => {
    const world = plainWorld()
    world.send({ type: 'replica_spoke', replicaId: 'a1', notice })
    for (const key of ['k1', 'k2', 'k3', 'k4', 'k5']) assert.is(sentTo(world.send(arrival(key, '/rates/1'))), 'a2')
  })

  test(`no run goes to a replica that ${name} after its memory was granted`, () => {
    const world = modelWorld()
    const attempt = confirming(world)
    world.send({ type: 'replica_spoke', replicaId: 'd1', notice })
    const effects = world.send({ type: 'confirm_answered', key: 'k1', attempt, outcome: 'free' })
    assert.not.ok(typesOf(effects).includes('send_run'))
    assert.is(only(effects, 'reserve').replicaId, 'd2')
  })

  test(`no prompt goes to a replica that ${name} after memory was granted elsewhere`, () => {
    const world = modelWorld()
    const reserve = only(world.send(arrival('k1')), 'reserve')
    world.send({ type: 'replica_spoke', replicaId: 'p1', notice })
    const run = only(world.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_run')
    assert.is(run.source, undefined)
  })

  test(`a replica that ${name} is asked to hold no memory`, () => {
    const world = modelWorld()
    const reserve = only(world.send(arrival('k1')), 'reserve')
    world.send({ type: 'replica_spoke', replicaId: 'd1', notice })
    const effects = world.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'unreachable' } })
    assert.ok(effects.every((effect) => effect.type !== 'take_hold' || effect.replicaId !== 'd1'))
  })
}

test('a replica that tells its ledger that it leaves gets no new work', () => {
  const world = modelWorld()
  world.send({ type: 'load_learned', load: { ...loadOf('d1', 'decode', 30_000), isLeaving: true } })
  assert.is(only(world.send(arrival('k1')), 'reserve').replicaId, 'd2')
})

test('a run that was parked goes to no replica that spoke meanwhile', () => {
  for (const notice of [LEAVES, BACKS_OFF]) {
    const world = modelWorld()
    const attempt = confirming(world)
    world.freeze(2_000)
    world.send({ type: 'confirm_answered', key: 'k1', attempt, outcome: 'free' })
    world.send({ type: 'replica_spoke', replicaId: 'd1', notice })
    const effects = world.send({ type: 'replicas_refreshed' })
    assert.ok(effects.every((effect) => effect.type !== 'send_run' || effect.replicaId !== 'd1'))
  }
})

test('a replica that leaves or backs off gets no order', () => {
  for (const notice of [LEAVES, BACKS_OFF]) {
    const world = createWorld([summaryRoute()], ['d1', 'd2', 'd3', 'd4', 'd5'].map((id) => replicaOf(id, 'decode')))
    world.state.poolIntent = { usualPrefillShare: 0.25, leastPrefillShare: 0.1, leastPrefillReplicas: 1, mostPrefillShare: 0.5 }
    for (const id of ['d1', 'd2', 'd3', 'd4', 'd5']) world.send({ type: 'load_learned', load: loadOf(id, 'decode', 37_000) })
    for (const id of ['d1', 'd2', 'd3']) world.send({ type: 'replica_spoke', replicaId: id, notice })
    const ordered = world.send({ type: 'balance_due', fence: 3 }).flatMap((effect) => effect.type === 'order_stage' ? [effect.replicaId] : [])
    assert.is(ordered.length, 1)
    assert.ok(['d4', 'd5'].includes(ordered[0] ?? ''), ordered.join(' '))
  }
})

test('when all replicas back off a call is refused at once with the shortest time left', () => {
  const world = plainWorld()
  world.send({ type: 'replica_spoke', replicaId: 'a1', notice: BACKS_OFF })
  world.wait(1_000)
  world.send({ type: 'replica_spoke', replicaId: 'a2', notice: BACKS_OFF })
  const refusal = only(world.send(arrival('k1', '/rates/1')), 'refuse')
  assert.equal([refusal.status, refusal.reason, refusal.retryAfterMs], [503, 'replicas_back_off', 2_000])
  world.wait(2_000)
  assert.is(sentTo(world.send(arrival('k2', '/rates/1'))), 'a1')
})

test('no prompt is queued, booked or read while all replicas that could run it back off', () => {
  const world = modelWorld()
  for (const replicaId of ['d1', 'd2']) world.send({ type: 'replica_spoke', replicaId, notice: BACKS_OFF })
  const effects = world.send(arrival('k1'))
  assert.is(only(effects, 'refuse').retryAfterMs, 3_000)
  assert.not.ok(typesOf(effects).some((type) => ['queue_prefill', 'reserve', 'send_prefill', 'take_hold'].includes(type)))
})

test('a request that the only awake replica has refused is told when the next one is awake', () => {
  const world = plainWorld()
  world.send({ type: 'replica_spoke', replicaId: 'a1', notice: BACKS_OFF })
  const { attempt } = only(world.send(arrival('k1', '/rates/1')), 'send_run')
  world.send({ type: 'replica_spoke', replicaId: 'a2', notice: { isLeaving: false, backoffMs: 5_000 } })
  const refusal = only(world.send({ type: 'run_failed', key: 'k1', attempt, failure: 'not_run' }), 'refuse')
  assert.equal([refusal.status, refusal.retryAfterMs], [503, 3_000])
})

test('what lapses by itself is not given back to a replica that backs off', () => {
  const world = modelWorld()
  confirming(world)
  world.send({ type: 'replica_spoke', replicaId: 'p1', notice: BACKS_OFF })
  assert.not.ok(typesOf(world.send({ type: 'caller_left', key: 'k1' })).includes('free_handle'))
})

test('a later answer does not shorten a backoff', () => {
  const world = plainWorld()
  world.send({ type: 'replica_spoke', replicaId: 'a1', notice: BACKS_OFF })
  world.send({ type: 'replica_spoke', replicaId: 'a1', notice: { isLeaving: false, backoffMs: 500 } })
  world.send({ type: 'replica_spoke', replicaId: 'a1', notice: { isLeaving: false } })
  world.wait(2_500)
  assert.is(sentTo(world.send(arrival('k1', '/rates/1'))), 'a2')
})

test('a replica that said it leaves does not come back by a registration that lapsed and was written again', () => {
  const world = plainWorld()
  world.send({ type: 'replica_spoke', replicaId: 'a1', notice: LEAVES })
  world.send({ type: 'replicas_changed', present: [], gone: ['a1'] })
  world.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { startedAtMs: 1, heartbeats: 9, revision: 9, registeredAtRevision: 9 })], gone: [] })
  for (const key of ['k1', 'k2', 'k3']) assert.is(sentTo(world.send(arrival(key, '/rates/1'))), 'a2')
})

test('a replica that starts again under its id is not bound by what its former process said', () => {
  const world = plainWorld()
  world.send({ type: 'replica_spoke', replicaId: 'a1', notice: LEAVES })
  world.send({ type: 'replica_spoke', replicaId: 'a2', notice: LEAVES })
  world.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { startedAtMs: 2, revision: 9, registeredAtRevision: 9 })], gone: [] })
  assert.is(sentTo(world.send(arrival('k1', '/rates/1'))), 'a1')
})

test('a replica that starts again under its id is not bound where the platform tells no starts', () => {
  const world = createWorld([plainRoute()], [replicaOf('a1', 'plain', { heartbeats: 5 })])
  world.send({ type: 'replica_spoke', replicaId: 'a1', notice: LEAVES })
  world.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { heartbeats: 1, revision: 9, registeredAtRevision: 9 })], gone: [] })
  assert.is(sentTo(world.send(arrival('k1', '/rates/1'))), 'a1')
})

test('a decode replica that backs off is no member of its pool that serves', () => {
  const world = modelWorld()
  world.send({ type: 'replica_spoke', replicaId: 'd1', notice: BACKS_OFF })
  world.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  assert.is(only(world.send(arrival('k1')), 'reserve').replicaId, 'd2')
})

test('a header that nobody decodes is logged once for each replica', () => {
  const world = plainWorld()
  const notice: ReplicaNotice = { isLeaving: false, undecoded: ['server-mood'] }
  const logged = ['a1', 'a1', 'a2'].map((replicaId) => reduceRouter(world.state, { type: 'replica_spoke', atMs: world.nowMs(), replicaId, notice }))
  assert.equal(logged.map((effects) => effects.filter((effect) => effect.type === 'log' && effect.decision === 'answer_header_undecoded').length), [1, 0, 1])
})

test.run()
