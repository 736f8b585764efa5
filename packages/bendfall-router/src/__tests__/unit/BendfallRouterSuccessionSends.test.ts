import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { digestSoftware, UNKNOWN_SOFTWARE } from '../../index.js'
import type { Replica, RouterEffect, SoftwareDigest } from '../../index.js'
import { arrival, createSimulation, loadOf, only, plainRoute, replicaOf, summaryRoute, typesOf } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

// Guards against sends to a restarted process that count as sends to its registered predecessor: they were failed when
// its registration arrived, and its streams went on at the predecessor's software version.

const FIRST_START_MS = 1_000
const SECOND_START_MS = 9_000
const V1 = digestSoftware({ service: 'llm', softwareVersion: 'v1' })
const V2 = digestSoftware({ service: 'llm', softwareVersion: 'v2' })
const ROUTE = summaryRoute({ isResumable: true, maxAttempts: 4 })

/** The replica that restarts. */
const FIRST = replicaOf('d1', 'decode', { startedAtMs: FIRST_START_MS, address: 'd1:80' })
const SECOND: Replica = { ...FIRST, startedAtMs: SECOND_START_MS, softwareVersion: 'v2', revision: 9 }
const OTHER = replicaOf('d2', 'decode', { startedAtMs: FIRST_START_MS, address: 'd2:80' })

function createFleet (): RouterSimulation {
  const replicas = [replicaOf('p1', 'prefill'), FIRST, OTHER]
  const simulation = createSimulation([ROUTE], replicas)
  for (const { replicaId, stage } of replicas) simulation.send({ type: 'load_learned', load: loadOf(replicaId, stage, 30_000) })
  return simulation
}

const refuseConnection = (simulation: RouterSimulation): RouterEffect[] => simulation.send({ type: 'connection_refused', address: 'd1:80' })
const register = (simulation: RouterSimulation, replica: Replica): RouterEffect[] => simulation.send({ type: 'replicas_changed', present: [replica], gone: [] })

/** Sends a stream to the replica that restarts. */
function startStream (simulation: RouterSimulation): number {
  simulation.send({ type: 'load_learned', load: loadOf('d2', 'decode', 0) })
  const reserve = only(simulation.send(arrival('1')), 'reserve')
  const prefill = only(simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  const confirm = only(simulation.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: 'h' } }), 'confirm')
  const run = only(simulation.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' }), 'send_run')
  assert.is(run.replicaId, 'd1')
  simulation.send({ type: 'load_learned', load: loadOf('d2', 'decode', 30_000) })
  return run.attempt
}

const startAnswer = (simulation: RouterSimulation, attempt: number): RouterEffect[] => simulation.send({ type: 'answer_started', key: '1', attempt })
const failRun = (simulation: RouterSimulation, attempt: number): RouterEffect[] => simulation.send({ type: 'run_failed', key: '1', attempt, failure: 'unknown', lastEventId: '2' })

function resume (simulation: RouterSimulation, key: string, software: SoftwareDigest): RouterEffect[] {
  const event = arrival(key) as { readonly arrival: object }
  const { attempt } = only(simulation.send({ ...event, arrival: { ...event.arrival, resumedRequestId: 'first', lastEventId: '4' } } as never), 'find_origin')
  return simulation.send({ type: 'origin_answered', key, attempt, outcome: { type: 'found', software } })
}

test('a call that a process got before its registration goes on', () => {
  const replica = replicaOf('a', 'plain', { startedAtMs: FIRST_START_MS, address: 'd1:80' })
  const simulation = createSimulation([plainRoute()], [replica])
  only(simulation.send(arrival('0', '/rates/1')), 'send_run')
  simulation.wait(1)
  refuseConnection(simulation)
  only(simulation.send(arrival('1', '/rates/1')), 'send_run')
  const effects = register(simulation, { ...replica, startedAtMs: SECOND_START_MS, revision: 9 })
  assert.equal(effects.filter(({ type }) => type === 'fail_send').map((effect) => (effect as { key: string }).key), ['0'])
  assert.is(simulation.state.replicas.get('a')?.inFlight, 1)
})

test('a stream that a process begins before its registration goes on, at the version that it registers', () => {
  const simulation = createFleet()
  refuseConnection(simulation)
  const attempt = startStream(simulation)
  assert.is(only(startAnswer(simulation, attempt), 'record_origin').software, UNKNOWN_SOFTWARE)
  const registered = register(simulation, SECOND)
  assert.not(typesOf(registered).includes('fail_send'))
  assert.is(only(registered, 'record_origin').software, V2)
  assert.ok(typesOf(failRun(simulation, attempt)).includes('cut'))
})

test('a stream whose response begins after the process was seen to have ended is bound to no version', () => {
  const simulation = createFleet()
  const attempt = startStream(simulation)
  simulation.wait(1)
  refuseConnection(simulation)
  assert.is(only(startAnswer(simulation, attempt), 'record_origin').software, UNKNOWN_SOFTWARE)
})

test('a stream whose response begins at a process that has stopped listening goes on at the version of that process', () => {
  const simulation = createFleet()
  const attempt = startStream(simulation)
  simulation.wait(1)
  refuseConnection(simulation)
  const started = simulation.send({ type: 'answer_started', key: '1', attempt, isFormerProcess: true })
  assert.is(only(started, 'record_origin').software, V1)
  assert.is(only(failRun(simulation, attempt), 'reserve').replicaId, 'd2')
})

test('a stream that a process began before its registration is cut when that process is lost', () => {
  const simulation = createFleet()
  refuseConnection(simulation)
  const attempt = startStream(simulation)
  startAnswer(simulation, attempt)
  assert.ok(typesOf(failRun(simulation, attempt)).includes('cut'))
})

test('without a refused connection, a stream at a process that registers another version goes on and is not resumed elsewhere', () => {
  const simulation = createFleet()
  const attempt = startStream(simulation)
  startAnswer(simulation, attempt)
  const registered = register(simulation, SECOND)
  assert.not(typesOf(registered).includes('fail_send'))
  assert.is(only(registered, 'record_origin').software, UNKNOWN_SOFTWARE)
  assert.ok(typesOf(failRun(simulation, attempt)).includes('cut'))
})

test('without a refused connection, a stream at a process that registers the same version is resumed elsewhere', () => {
  const simulation = createFleet()
  const attempt = startStream(simulation)
  startAnswer(simulation, attempt)
  assert.ok(typesOf(register(simulation, { ...SECOND, softwareVersion: 'v1' })).includes('fail_send'))
  assert.is(only(failRun(simulation, attempt), 'reserve').replicaId, 'd2')
})

test('a resumed stream is not sent to a process that has not registered', () => {
  for (let i = 0; i < 20; i += 1) {
    const simulation = createFleet()
    refuseConnection(simulation)
    assert.is(only(resume(simulation, `k${i}`, V1), 'reserve').replicaId, 'd2')
  }
})

test('a stream of a process that has not registered is resumed once it has', () => {
  const simulation = createFleet()
  refuseConnection(simulation)
  const refused = only(resume(simulation, '1', UNKNOWN_SOFTWARE), 'refuse')
  assert.equal([refused.reason, refused.status], ['origin_unknown', 503])
  assert.ok((refused.retryAfterMs ?? 0) > 0)
  register(simulation, SECOND)
  assert.is(only(resume(simulation, '2', V2), 'reserve').replicaId, 'd1')
})

test('a process that goes on renewing its registration has not ended', () => {
  const simulation = createFleet()
  refuseConnection(simulation)
  const attempt = startStream(simulation)
  startAnswer(simulation, attempt)
  const renewals = [1, 2, 3, 4, 5, 6].map((heartbeats) => {
    simulation.wait(1_200)
    return register(simulation, { ...FIRST, heartbeats: FIRST.heartbeats + heartbeats, revision: 9 + heartbeats })
  })
  const published = renewals.flat().filter(({ type }) => type === 'record_origin')
  assert.equal(published.map((effect) => (effect as { software: SoftwareDigest }).software), [V1])
  assert.is(simulation.state.replicas.get('d1')?.endedAtMs, undefined)
  assert.is(only(failRun(simulation, attempt), 'reserve').replicaId, 'd2')
  refuseConnection(simulation)
  assert.is(simulation.state.replicas.get('d1')?.endedAtMs, undefined)
})

test('one late renewal does not show that the process lives', () => {
  const simulation = createFleet()
  refuseConnection(simulation)
  simulation.wait(6_000)
  register(simulation, { ...FIRST, heartbeats: FIRST.heartbeats + 1, revision: 8 })
  assert.is.not(simulation.state.replicas.get('d1')?.endedAtMs, undefined)
})

test.run()
