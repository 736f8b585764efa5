import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLedgerState, reduceLedger } from '../../index.js'
import type { LedgerState, Replica, ReplicaStage, RouterEffect } from '../../index.js'
import { arrival, createWorld, loadOf, only, plainRoute, replicaOf, summaryRoute, typesOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

const FIRST_MS = 1_000
const SECOND_MS = 9_000

const startedAt = (replicaId: string, stage: ReplicaStage, startedAtMs: number, revision: number): Replica => replicaOf(replicaId, stage, { startedAtMs, revision })
const tell = (world: RouterWorld, ...present: readonly Replica[]): RouterEffect[] => world.send({ type: 'replicas_changed', present, gone: [] })

function plainWorld (): RouterWorld {
  return createWorld([plainRoute()], [startedAt('a', 'plain', FIRST_MS, 1)])
}

test('what was believed of a replica ends when it starts again', () => {
  const world = plainWorld()
  only(world.send(arrival('1', '/rates/1')), 'send_run')
  assert.is(world.state.replicas.get('a')?.inFlight, 1)
  tell(world, startedAt('a', 'plain', SECOND_MS, 2))
  assert.is(world.state.replicas.get('a')?.inFlight, 0)
  assert.is(world.state.replicas.get('a')?.latencyMs, 0)
})

test('a request at the process that ended fails, and its failure tells nothing of the new one', () => {
  const world = plainWorld()
  const sent = only(world.send(arrival('1', '/rates/1')), 'send_run')
  assert.equal(typesOf(tell(world, startedAt('a', 'plain', SECOND_MS, 2))), ['fail_send'])
  const next = world.send({ type: 'run_failed', key: '1', attempt: sent.attempt, failure: 'unknown' })
  assert.is(only(next, 'send_run').replicaId, 'a')
  assert.is(world.state.replicas.get('a')?.failureShare, 0)
})

test('a call that may not be repeated is not sent to the new process', () => {
  const world = createWorld([plainRoute({ kind: 'non_idempotent', maxAttempts: 1 })], [startedAt('a', 'plain', FIRST_MS, 1)])
  const sent = only(world.send(arrival('1', '/rates/1')), 'send_run')
  tell(world, startedAt('a', 'plain', SECOND_MS, 2))
  assert.is(only(world.send({ type: 'run_failed', key: '1', attempt: sent.attempt, failure: 'unknown' }), 'refuse').status, 502)
})

test('the same holds when the former registration was gone in between', () => {
  const world = plainWorld()
  only(world.send(arrival('1', '/rates/1')), 'send_run')
  world.send({ type: 'replicas_changed', present: [], gone: ['a'] })
  assert.equal(typesOf(tell(world, startedAt('a', 'plain', SECOND_MS, 2))), ['fail_send'])
})

test('a registration that lapsed in an outage and is back ends nothing', () => {
  const world = plainWorld()
  only(world.send(arrival('1', '/rates/1')), 'send_run')
  world.send({ type: 'replicas_changed', present: [], gone: ['a'] })
  assert.equal(tell(world, startedAt('a', 'plain', FIRST_MS, 2)), [])
})

test('a late word of the former process changes nothing', () => {
  const world = plainWorld()
  tell(world, startedAt('a', 'plain', SECOND_MS, 5))
  tell(world, { ...startedAt('a', 'plain', FIRST_MS, 6), isDraining: true })
  assert.is(world.state.replicas.get('a')?.replica.startedAtMs, SECOND_MS)
  assert.is(world.state.replicas.get('a')?.replica.isDraining, false)
})

test('an older write of a registration that is told late does not bring a draining replica back', () => {
  const world = plainWorld()
  tell(world, { ...startedAt('a', 'plain', FIRST_MS, 4), isDraining: true })
  tell(world, startedAt('a', 'plain', FIRST_MS, 3))
  assert.is(world.state.replicas.get('a')?.replica.isDraining, true)
})

test('a replica that drained and starts again is used', () => {
  const world = plainWorld()
  tell(world, { ...startedAt('a', 'plain', FIRST_MS, 4), isDraining: true })
  tell(world, startedAt('a', 'plain', SECOND_MS, 5))
  assert.is(only(world.send(arrival('1', '/rates/1')), 'send_run').replicaId, 'a')
})

test('of two processes at one address the one that started later counts, whichever registered first', () => {
  const world = createWorld([plainRoute()], [])
  tell(world, replicaOf('old', 'plain', { address: 'a:80', startedAtMs: FIRST_MS, registeredAtRevision: 8 }), replicaOf('new', 'plain', { address: 'a:80', startedAtMs: SECOND_MS, registeredAtRevision: 3 }))
  assert.equal([...world.state.replicas.keys()], ['new'])
})

test('without a start a registration made anew that counts from one again is another process', () => {
  const world = createWorld([plainRoute()], [replicaOf('a', 'plain', { heartbeats: 30 })])
  only(world.send(arrival('1', '/rates/1')), 'send_run')
  tell(world, replicaOf('a', 'plain', { heartbeats: 1, registeredAtRevision: 9, revision: 9 }))
  assert.is(world.state.replicas.get('a')?.inFlight, 0)
})

test('the result of a prefill ends with the process that holds it', () => {
  const world = createWorld([summaryRoute()], [startedAt('p1', 'prefill', FIRST_MS, 1), startedAt('d1', 'decode', FIRST_MS, 1)])
  world.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  const reserve = only(world.send(arrival('1')), 'reserve')
  const prefill = only(world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  const confirm = only(world.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'h' } }), 'confirm')
  tell(world, startedAt('p1', 'prefill', SECOND_MS, 2))
  const run = only(world.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' }), 'send_run')
  assert.is(run.source, undefined)
})

test('an entry of a service that the configuration does not have takes no replica\'s address', () => {
  const world = plainWorld()
  tell(world, replicaOf('x', 'plain', { service: 'other', address: 'a:80', registeredAtRevision: 9 }))
  assert.equal([...world.state.replicas.keys()], ['a'])
})

test('a model without a pool takes no replica\'s address', () => {
  const world = plainWorld()
  tell(world, replicaOf('x', 'plain', { service: 'llm', address: 'a:80', registeredAtRevision: 9 }))
  assert.equal([...world.state.replicas.keys()], ['a'])
})

function ledgerWithBooking (startedAtMs: number): LedgerState {
  const state = createLedgerState()
  report(state, startedAtMs, 1)
  reduceLedger(state, { type: 'memory_asked', atMs: 2, request: { bookingId: 'b/1', requestId: 'b', promptTokens: 100, hintTokens: 10, maxOutputTokens: 10, leadMs: 500, maxWaitMs: 100, priority: 1, targetMs: 500, readsInPlace: false } })
  assert.is(state.bookings.size, 1)
  return state
}

function report (state: LedgerState, startedAtMs: number, atMs: number): ReturnType<typeof reduceLedger> {
  return reduceLedger(state, { type: 'report_read', atMs, askedAtMs: atMs, report: { startedAtMs, stage: 'decode', usedTokens: 0, capacityTokens: 9_000, queued: 0, active: 0, isSwitching: false, runs: [] } })
}

test('bookings end with the process of the replica; those that wait to be confirmed are told', () => {
  const state = ledgerWithBooking(FIRST_MS)
  // Asked after the report, so that it still waits.
  reduceLedger(state, { type: 'confirm_asked', atMs: 20, bookingId: 'b/1', maxWaitMs: 400 })
  const effects = report(state, SECOND_MS, 10)
  assert.is(state.bookings.size, 0)
  assert.equal(effects.filter(({ type }) => type === 'confirmed'), [{ type: 'confirmed', bookingId: 'b/1', isFree: false }])
})

test('a late report of the former process changes nothing', () => {
  const state = ledgerWithBooking(SECOND_MS)
  report(state, FIRST_MS, 10)
  assert.is(state.bookings.size, 1)
  assert.is(state.report?.startedAtMs, SECOND_MS)
})

test.run()
