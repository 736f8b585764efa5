import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createBudget } from '../../index.js'
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

// The result of a prefill lives 500 ms from when it was made. An entry that stood still between
// its end and the reading of its answer counted from the reading, and had a result fetched that
// was gone: the replica answers as if it had no memory, and the same result was tried again.
const PREFILL_HANDLE = { type: 'read' as const, handle: 'h' }

function readWorld (): { readonly world: RouterWorld, readonly attempt: number } {
  const world = modelWorld()
  const reserve = only(world.send(arrival('1')), 'reserve')
  const effects = world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } })
  return { world, attempt: only(effects, 'send_prefill').attempt }
}

test('a result that was made before a standstill lives from before it', () => {
  for (let frozenMs = 420; frozenMs <= 1_000; frozenMs += 20) {
    const { world, attempt } = readWorld()
    world.freeze(frozenMs)
    const confirm = world.send({ type: 'prefill_answered', key: '1', attempt, outcome: PREFILL_HANDLE })
    const sends = [...confirm, ...world.send({ type: 'confirm_answered', key: '1', attempt: attempt + 1, outcome: 'free' })]
    const run = sends.find((effect) => effect.type === 'send_run')
    assert.is(run === undefined, frozenMs >= 500, `sent after ${frozenMs} ms: ${typesOf(sends).join(' ')}`)
    assert.is(typesOf(sends).includes('send_prefill'), frozenMs >= 500, 'read anew')
  }
})

test('a result that lapsed while its request waited is read anew and counts against no replica', () => {
  const { world, attempt } = readWorld()
  const confirm = only(world.send({ type: 'prefill_answered', key: '1', attempt, outcome: PREFILL_HANDLE }), 'confirm')
  for (let waitedMs = 0; waitedMs < 600; waitedMs += 100) world.wait(100)
  const effects = world.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' })
  assert.equal(typesOf(effects).filter((type) => type.startsWith('send_')), ['send_prefill'])
  for (const belief of world.state.replicas.values()) assert.equal([belief.consecutiveFailures, belief.failureShare], [0, 0])
})

test('a result that lapsed and can not be paid for again is refused as not run', () => {
  const { world, attempt } = readWorld()
  const confirm = only(world.send({ type: 'prefill_answered', key: '1', attempt, outcome: PREFILL_HANDLE }), 'confirm')
  world.state.budgets.clear()
  world.wait(600)
  for (const [service, budget] of [['llm', createBudget(world.nowMs(), { ratio: 0, reserve: 0, windowMs: 10_000 })]] as const) world.state.budgets.set(service, budget)
  const refuse = only(world.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' }), 'refuse')
  assert.is(refuse.status, 503)
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

test('a process that was suspended sends nothing before it has read the registrations again', () => {
  for (const suspendedMs of FREEZES_MS) {
    const world = plainWorld()
    const event = { ...arrival('1', '/rates/1'), suspendedMs }
    assert.equal(typesOf(world.send(event)), ['refresh_replicas', 'set_deadline'])
    world.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { isDraining: true, revision: 2 })], gone: [] })
    assert.is(only(world.send({ type: 'replicas_refreshed' }), 'send_run').replicaId, 'a2')
  }
})

test('loads that were known before a suspension decide nothing after it', () => {
  const world = modelWorld()
  world.send({ type: 'time_passed', suspendedMs: 2_000 })
  world.send({ type: 'replicas_refreshed' })
  assert.ok(only(world.reduce(arrival('1')), 'ask_loads').replicaIds.includes('d1'))
})

test.run()
