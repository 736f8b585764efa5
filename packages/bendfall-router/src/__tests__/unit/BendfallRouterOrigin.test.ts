import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { digestSoftware } from '../../index.js'
import type { OriginOutcome, Replica, RouterEffect } from '../../index.js'
import { arrival, configOf, createSimulation, loadOf, only, replicaOf, summaryRoute, typesOf } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

const V1 = digestSoftware({ service: 'llm', softwareVersion: 'v1' })
const V2 = digestSoftware({ service: 'llm', softwareVersion: 'v2' })
const ROUTE = summaryRoute({ isResumable: true, maxAttempts: 4 })

/** Longer than a caller may resume a stream on the route. */
const WATCHED_MS = 40_000

const MIXED = [replicaOf('p1', 'prefill', { softwareVersion: 'v2' }), replicaOf('d1', 'decode'), replicaOf('d2', 'decode', { softwareVersion: 'v2' }), replicaOf('d3', 'decode', { softwareVersion: 'v2' })]

function createFleet (replicas: readonly Replica[] = MIXED): RouterSimulation {
  const simulation = createSimulation([ROUTE], replicas)
  for (const { replicaId, stage } of replicas) simulation.send({ type: 'load_learned', load: loadOf(replicaId, stage, 30_000) })
  return simulation
}

function resume (simulation: RouterSimulation, key: string, change: object = { resumedRequestId: 'first', lastEventId: '4' }): RouterEffect[] {
  const event = arrival(key)
  return simulation.send({ ...event, arrival: { ...(event as { arrival: object }).arrival, ...change } } as never)
}

function answerOrigin (simulation: RouterSimulation, key: string, outcome: OriginOutcome): RouterEffect[] {
  const { attempt } = only(resume(simulation, key), 'find_origin')
  return simulation.send({ type: 'origin_answered', key, attempt, outcome })
}

/** Answers the steps after a reservation up to the run. */
function runReserved (simulation: RouterSimulation, key: string, effects: RouterEffect[]): RouterEffect[] {
  const reserve = only(effects, 'reserve')
  const prefill = only(simulation.send({ type: 'reserve_answered', key, attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
  const confirm = only(simulation.send({ type: 'prefill_answered', key, attempt: prefill.attempt, outcome: { type: 'read', handle: 'h' } }), 'confirm')
  return simulation.send({ type: 'confirm_answered', key, attempt: confirm.attempt, outcome: 'free' })
}

/** Confirms the registrations in the usual interval for longer than a stream can last. */
function watch (simulation: RouterSimulation, forMs = WATCHED_MS): void {
  for (let ms = 0; ms < forMs; ms += 1_000) {
    simulation.wait(1_000)
    simulation.send({ type: 'config_proven', provenAtMs: simulation.nowMs() - 500 })
    simulation.send({ type: 'replicas_current' })
  }
}

test('a stream that is resumed runs only on the software that began it, from a prompt read by another one', () => {
  for (let i = 0; i < 20; i += 1) {
    const simulation = createFleet()
    const effects = answerOrigin(simulation, `k${i}`, { type: 'found', software: V1 })
    assert.is(only(effects, 'reserve').replicaId, 'd1')
    assert.is(only(runReserved(simulation, `k${i}`, effects), 'send_run').lastEventId, '4')
  }
})

test('a retry after the first event runs only on the software that made it', () => {
  const simulation = createFleet()
  const run = only(runReserved(simulation, '1', simulation.send(arrival('1'))), 'send_run')
  const isV1 = run.replicaId === 'd1'
  const started = simulation.send({ type: 'answer_started', key: '1', attempt: run.attempt })
  assert.equal(only(started, 'record_origin'), { type: 'record_origin', requestId: 'id-1', software: isV1 ? V1 : V2 })
  const failed = simulation.send({ type: 'run_failed', key: '1', attempt: run.attempt, failure: 'unknown', lastEventId: '2' })
  if (isV1) assert.ok(typesOf(failed).includes('cut'))
  else assert.is(only(failed, 'reserve').replicaId, run.replicaId === 'd2' ? 'd3' : 'd2')
})

test('a run that fails before its first event is retried on any software', () => {
  const simulation = createFleet([MIXED[0] as Replica, MIXED[1] as Replica, MIXED[2] as Replica])
  const run = only(runReserved(simulation, '1', simulation.send(arrival('1'))), 'send_run')
  const reserve = only(simulation.send({ type: 'run_failed', key: '1', attempt: run.attempt, failure: 'unknown' }), 'reserve')
  assert.is.not(reserve.replicaId, run.replicaId)
})

test('an entry that relayed the first event asks nobody', () => {
  const simulation = createFleet()
  const run = only(runReserved(simulation, '1', simulation.send(arrival('1'))), 'send_run')
  simulation.send({ type: 'answer_started', key: '1', attempt: run.attempt })
  assert.not(typesOf(resume(simulation, '2', { resumedRequestId: 'id-1', lastEventId: '1' })).includes('find_origin'))
  assert.is(simulation.state.requests.get('2')?.requiredSoftware, run.replicaId === 'd1' ? V1 : V2)
})

test('a stream that is resumed twice is recorded under the request of its first event', () => {
  const simulation = createFleet()
  const run = only(runReserved(simulation, '2', answerOrigin(simulation, '2', { type: 'found', software: V2 })), 'send_run')
  const { requestId, software } = only(simulation.send({ type: 'answer_started', key: '2', attempt: run.attempt }), 'record_origin')
  assert.equal({ requestId, software }, { requestId: 'first', software: V2 })
})

test('a stream of unknown origin is refused as not run, with a delay only while a holder is silent', () => {
  const refusals = [0, 1].map((silentHolders) => only(answerOrigin(createFleet(), '1', { type: 'unknown', silentHolders }), 'refuse'))
  assert.equal(refusals.map(({ reason, status }) => [status, reason]), [[503, 'origin_unknown'], [503, 'origin_unknown']])
  assert.is(refusals[0]?.retryAfterMs, undefined)
  assert.ok((refusals[1]?.retryAfterMs ?? Infinity) <= 500)
})

test('a stream whose software has left is refused at once, without a delay to return after', () => {
  const simulation = createFleet()
  simulation.send({ type: 'replicas_changed', present: [], gone: ['d1'] })
  const refuse = only(answerOrigin(simulation, '1', { type: 'found', software: V1 }), 'refuse')
  assert.equal([refuse.status, refuse.reason, refuse.retryAfterMs], [503, 'software_gone', undefined])
})

test('a draining replica does not continue a stream', () => {
  const simulation = createFleet()
  simulation.send({ type: 'replicas_changed', present: [replicaOf('d1', 'decode', { isDraining: true, revision: 2 })], gone: [] })
  assert.is(only(answerOrigin(simulation, '1', { type: 'found', software: V1 }), 'refuse').reason, 'software_gone')
})

test('a stream of unknown origin goes on where one version alone has served for longer than a stream lasts', () => {
  const simulation = createFleet([replicaOf('p1', 'prefill'), replicaOf('d1', 'decode'), replicaOf('d2', 'decode')])
  watch(simulation)
  assert.ok(typesOf(answerOrigin(simulation, '1', { type: 'unknown', silentHolders: 0 })).includes('refresh_replicas'))
  simulation.send({ type: 'config_proven', provenAtMs: simulation.nowMs() })
  simulation.send({ type: 'replicas_current' })
  assert.is(only(simulation.send({ type: 'replicas_refreshed' }), 'reserve').type, 'reserve')
})

// Guards against resumed streams that are refused at random: the read for an earlier one ended while theirs was under way.
test('a stream of unknown origin waits for a read of the registrations that was requested after it arrived', () => {
  const simulation = createFleet([replicaOf('p1', 'prefill'), replicaOf('d1', 'decode'), replicaOf('d2', 'decode')])
  watch(simulation)
  const requestedAtMs = simulation.nowMs()
  simulation.freeze(1)
  answerOrigin(simulation, '1', { type: 'unknown', silentHolders: 0 })
  simulation.send({ type: 'config_proven', provenAtMs: requestedAtMs })
  assert.equal(typesOf(simulation.send({ type: 'replicas_refreshed', requestedAtMs })), [])
  simulation.send({ type: 'config_proven', provenAtMs: simulation.nowMs() })
  assert.is(only(simulation.send({ type: 'replicas_refreshed', requestedAtMs: simulation.nowMs() }), 'reserve').type, 'reserve')
})

test('a stream of unknown origin is refused while the registrations cannot be read', () => {
  const simulation = createFleet([replicaOf('p1', 'prefill'), replicaOf('d1', 'decode')])
  watch(simulation)
  simulation.wait(2_000)
  answerOrigin(simulation, '1', { type: 'unknown', silentHolders: 0 })
  assert.is(only(simulation.send({ type: 'replicas_refreshed' }), 'refuse').reason, 'origin_unknown')
})

test('a stream of unknown origin is refused where another version has served lately', () => {
  const simulation = createFleet([replicaOf('p1', 'prefill'), replicaOf('d1', 'decode'), replicaOf('d9', 'decode', { softwareVersion: 'v0' })])
  watch(simulation)
  simulation.send({ type: 'replicas_changed', present: [], gone: ['d9'] })
  watch(simulation, WATCHED_MS / 4)
  assert.is(only(answerOrigin(simulation, '1', { type: 'unknown', silentHolders: 0 }), 'refuse').reason, 'origin_unknown')
})

test('a stream of unknown origin is refused after a time in which changes of registrations may have been missed', () => {
  const simulation = createFleet([replicaOf('p1', 'prefill'), replicaOf('d1', 'decode')])
  watch(simulation)
  simulation.wait(5_000)
  simulation.send({ type: 'replicas_current' })
  assert.is(only(answerOrigin(simulation, '1', { type: 'unknown', silentHolders: 0 }), 'refuse').reason, 'origin_unknown')
})

test('a stream of unknown origin is refused where the route led to another service lately', () => {
  const simulation = createFleet([replicaOf('p1', 'prefill'), replicaOf('d1', 'decode')])
  watch(simulation)
  simulation.send({ type: 'config_learned', config: configOf(2, [{ ...ROUTE, services: [{ service: 'app', weight: 1 }] }]) })
  simulation.send({ type: 'config_learned', config: configOf(3, [ROUTE]) })
  assert.is(only(answerOrigin(simulation, '1', { type: 'unknown', silentHolders: 0 }), 'refuse').reason, 'origin_unknown')
})

test('a stream whose caller names no first request goes on where one version alone has served for longer than a stream lasts', () => {
  const sole = createFleet([replicaOf('p1', 'prefill'), replicaOf('d1', 'decode')])
  watch(sole)
  assert.ok(typesOf(resume(sole, '1', { lastEventId: '4' })).includes('refresh_replicas'))
  sole.send({ type: 'config_proven', provenAtMs: sole.nowMs() })
  sole.send({ type: 'replicas_current' })
  assert.is(only(sole.send({ type: 'replicas_refreshed' }), 'reserve').replicaId, 'd1')
  assert.is(only(resume(createFleet(), '1', { lastEventId: '4' }), 'refuse').reason, 'origin_unknown')
})

// Guards against a stream that is joined from two versions. An entry that had just restarted knew one version alone, the
// new one, and took it for the one that had begun the stream.
test('a stream whose caller names no first request is refused by an entry that has just started', () => {
  const restarted = createFleet([replicaOf('p1', 'prefill', { softwareVersion: 'v2' }), replicaOf('d2', 'decode', { softwareVersion: 'v2' })])
  assert.is(only(resume(restarted, '1', { lastEventId: '4' }), 'refuse').reason, 'origin_unknown')
  watch(restarted, WATCHED_MS / 4)
  assert.is(only(resume(restarted, '2', { lastEventId: '4' }), 'refuse').reason, 'origin_unknown')
})

test('a resumed stream stays at the service that began it', () => {
  const services = [{ service: 'llm', weight: 1 }, { service: 'other', weight: 99 }]
  const config = configOf(1, [{ ...ROUTE, services }])
  for (let i = 0; i < 10; i += 1) {
    const simulation = createFleet()
    simulation.send({ type: 'config_learned', config: { ...config, version: 2, services: [...config.services, { name: 'other', maxConnections: 9 }] } })
    assert.is(only(answerOrigin(simulation, `k${i}`, { type: 'found', software: V1 }), 'reserve').replicaId, 'd1')
  }
})

test('a software version with few replicas is found in a large fleet', () => {
  const fleet = Array.from({ length: 12_000 }, (_, i) => replicaOf(`r${i}`, i % 4 === 0 ? 'prefill' : 'decode', { softwareVersion: i === 4_001 || i === 9_002 ? 'v1' : 'v2' }))
  const simulation = createSimulation([ROUTE], fleet)
  const effects = answerOrigin(simulation, '1', { type: 'found', software: V1 })
  assert.ok(['r4001', 'r9002'].includes(only(effects, 'reserve').replicaId))
  const startedMs = performance.now()
  for (let i = 0; i < 200; i += 1) answerOrigin(simulation, `k${i}`, { type: 'found', software: V1 })
  const meanMs = (performance.now() - startedMs) / 200
  assert.ok(meanMs < 1, `${meanMs.toFixed(3)} ms for a decision`)
})

test('a stream of an unnamed request goes on after a gap in the registrations, and not right after a start', () => {
  const simulation = createFleet([MIXED[0] as Replica, MIXED[2] as Replica, MIXED[3] as Replica])
  watch(simulation)
  simulation.wait(9_000)
  watch(simulation, 1_000)
  const resumeUnnamed = (key: string): RouterEffect[] => {
    const effects = resume(simulation, key, { lastEventId: '4' })
    if (!typesOf(effects).includes('refresh_replicas')) return effects
    return simulation.send({ type: 'config_proven', provenAtMs: simulation.nowMs() })
  }
  assert.not(typesOf(resumeUnnamed('1')).includes('refuse'))
  assert.is(only(answerOrigin(simulation, '2', { type: 'unknown', silentHolders: 0 }), 'refuse').reason, 'origin_unknown')
})

test.run()
