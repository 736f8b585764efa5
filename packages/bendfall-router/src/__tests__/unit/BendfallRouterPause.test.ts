import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createBudget } from '../../index.js'
import { arrival, createSimulation, createModelSimulation, only, plainRoute, replicaOf, summaryRoute, typesOf } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

const PAUSES_MS = [1_100, 3_000, 10_000]

function createPlainSimulation (): RouterSimulation {
  return createSimulation([plainRoute(), summaryRoute()], [replicaOf('a1', 'plain'), replicaOf('a2', 'plain')])
}

test('a process sends nothing after a pause until it has read the registrations again', () => {
  for (const pauseMs of PAUSES_MS) {
    const simulation = createPlainSimulation()
    simulation.freeze(pauseMs)
    assert.equal(typesOf(simulation.send(arrival('1', '/rates/1'))), ['refresh_replicas', 'set_deadline'])
    simulation.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { isDraining: true, revision: 2 })], gone: [] })
    assert.is(only(simulation.send({ type: 'replicas_refreshed' }), 'send_run').replicaId, 'a2')
  }
})

test('a retry after a pause waits too, and is not sent to a replica that was removed meanwhile', () => {
  const simulation = createPlainSimulation()
  const first = only(simulation.send(arrival('1', '/rates/1')), 'send_run')
  simulation.freeze(2_000)
  const effects = simulation.send({ type: 'try_timed_out', key: '1', attempt: first.attempt })
  assert.ok(!typesOf(effects).includes('send_run'), typesOf(effects).join(' '))
  const other = first.replicaId === 'a1' ? 'a2' : 'a1'
  simulation.send({ type: 'replicas_changed', present: [], gone: [other] })
  const after = simulation.send({ type: 'replicas_refreshed' })
  assert.ok(!after.some((effect) => effect.type === 'send_run' && effect.replicaId === other))
})

test('a prompt whose memory was granted before a pause is not sent until the registrations are read', () => {
  const simulation = createModelSimulation()
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  simulation.freeze(2_000)
  const effects = simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } })
  assert.ok(!typesOf(effects).includes('send_prefill'))
  assert.ok(typesOf(simulation.send({ type: 'replicas_refreshed' })).includes('send_prefill'))
})

test('a repeated response to a step from before the pause is dropped while the request is parked', () => {
  const simulation = createModelSimulation()
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  simulation.freeze(2_000)
  simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } })
  assert.equal(simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), [])
  assert.is(typesOf(simulation.send({ type: 'replicas_refreshed' })).filter((type) => type === 'send_prefill').length, 1)
})

// Guards against the use of expired prefill results. A result is kept for 500 ms after its creation,
// but an entry that was paused before it read the response counted from the time of reading. It then
// had an expired result fetched, to which the replica responds as if it had no memory, and the same
// result was tried again.
const PREFILL_HANDLE = { type: 'read' as const, handle: 'h' }

function createPrefillSimulation (): { readonly simulation: RouterSimulation, readonly attempt: number } {
  const simulation = createModelSimulation()
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  const effects = simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } })
  return { simulation, attempt: only(effects, 'send_prefill').attempt }
}

test('the lifetime of a prefill result includes a pause after its creation', () => {
  for (let pausedMs = 420; pausedMs <= 1_000; pausedMs += 20) {
    const { simulation, attempt } = createPrefillSimulation()
    simulation.freeze(pausedMs)
    const confirm = simulation.send({ type: 'prefill_answered', key: '1', attempt, outcome: PREFILL_HANDLE })
    const sends = [...confirm, ...simulation.send({ type: 'confirm_answered', key: '1', attempt: attempt + 1, outcome: 'free' })]
    const run = sends.find((effect) => effect.type === 'send_run')
    assert.is(run === undefined, pausedMs >= 500, `sent after ${pausedMs} ms: ${typesOf(sends).join(' ')}`)
    assert.is(typesOf(sends).includes('send_prefill'), pausedMs >= 500, 'prefilled again')
  }
})

test('a result that expired while its request waited is computed again and counts against no replica', () => {
  const { simulation, attempt } = createPrefillSimulation()
  const confirm = only(simulation.send({ type: 'prefill_answered', key: '1', attempt, outcome: PREFILL_HANDLE }), 'confirm')
  for (let waitedMs = 0; waitedMs < 600; waitedMs += 100) simulation.wait(100)
  const effects = simulation.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' })
  assert.equal(typesOf(effects).filter((type) => type.startsWith('send_')), ['send_prefill'])
  for (const view of simulation.state.replicas.values()) assert.equal([view.consecutiveFailures, view.failureShare], [0, 0])
})

test('a request whose result expired is refused as not run when the retry budget is spent', () => {
  const { simulation, attempt } = createPrefillSimulation()
  const confirm = only(simulation.send({ type: 'prefill_answered', key: '1', attempt, outcome: PREFILL_HANDLE }), 'confirm')
  simulation.state.budgets.clear()
  simulation.wait(600)
  for (const [service, budget] of [['llm', createBudget(simulation.nowMs(), { ratio: 0, reserve: 0, windowMs: 10_000 })]] as const) simulation.state.budgets.set(service, budget)
  const refuse = only(simulation.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' }), 'refuse')
  assert.is(refuse.status, 503)
})

test('the request of a caller that disconnects while it is parked is dropped', () => {
  const simulation = createPlainSimulation()
  simulation.freeze(2_000)
  simulation.send(arrival('1', '/rates/1'))
  simulation.send({ type: 'caller_left', key: '1' })
  assert.equal(simulation.send({ type: 'replicas_refreshed' }), [])
})

test('a delay of some hundred milliseconds in a busy process is not a pause', () => {
  const simulation = createPlainSimulation()
  simulation.freeze(900)
  assert.ok(typesOf(simulation.send(arrival('1', '/rates/1'))).includes('send_run'))
  simulation.wait(60_000)
  assert.ok(typesOf(simulation.send(arrival('2', '/rates/1'))).includes('send_run'))
})

test('complete responses are delivered immediately, also after a pause', () => {
  const simulation = createPlainSimulation()
  const sent = only(simulation.send(arrival('1', '/rates/1')), 'send_run')
  simulation.freeze(2_000)
  assert.ok(typesOf(simulation.send({ type: 'answer_complete', key: '1', attempt: sent.attempt, status: 200, outputEvents: 0 })).includes('deliver'))
})

test('a process sends nothing after a suspension until it has read the registrations again', () => {
  for (const suspendedMs of PAUSES_MS) {
    const simulation = createPlainSimulation()
    const event = { ...arrival('1', '/rates/1'), suspendedMs }
    assert.equal(typesOf(simulation.send(event)), ['refresh_replicas', 'set_deadline'])
    simulation.send({ type: 'replicas_changed', present: [replicaOf('a1', 'plain', { isDraining: true, revision: 2 })], gone: [] })
    assert.is(only(simulation.send({ type: 'replicas_refreshed' }), 'send_run').replicaId, 'a2')
  }
})

test('loads from before a suspension are not used after it', () => {
  const simulation = createModelSimulation()
  simulation.send({ type: 'time_passed', suspendedMs: 2_000 })
  simulation.send({ type: 'replicas_refreshed' })
  assert.ok(only(simulation.reduce(arrival('1')), 'ask_loads').replicaIds.includes('d1'))
})

test.run()
