import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { reduceRouter } from '../../index.js'
import type { Customer, Route, RouterEffect, RouterEvent } from '../../index.js'
import { arrival, configOf, createSimulation, loadOf, only, plainRoute, replicaOf, summaryRoute } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

/** By the default limits, known keys are accepted up to 4 s after the last verification, and unknown ones rejected as such up to 1.8 s. */
const MAX_KEY_AGE_MS = 4_000
const MAX_UNKNOWN_KEY_AGE_MS = 1_800

const ACME: Customer = { name: 'acme', keyDigests: ['k-acme', 'k-acme-2'], priority: 0 }
const BOLT: Customer = { name: 'bolt', keyDigests: ['k-bolt'] }

const ROUTES: readonly Route[] = [plainRoute(), plainRoute({ name: 'open', pathPrefix: '/open/', allowsAnonymous: true }), summaryRoute()]

function createCustomerSimulation (customers: readonly Customer[] = [ACME, BOLT]): RouterSimulation {
  const simulation = createSimulation([], [replicaOf('a1', 'plain'), replicaOf('p1', 'prefill'), replicaOf('d1', 'decode')])
  simulation.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  applyConfig(simulation, 2, customers)
  verifyConfig(simulation)
  return simulation
}

function applyConfig (simulation: RouterSimulation, version: number, customers: readonly Customer[]): void {
  simulation.send({ type: 'config_learned', config: { ...configOf(version, ROUTES), customers } })
}

function verifyConfig (simulation: RouterSimulation, ageMs = 0): void {
  simulation.send({ type: 'config_proven', provenAtMs: simulation.nowMs() - ageMs })
}

function sendRequest (simulation: RouterSimulation, key: string, keyDigest?: string, path = '/rates/1'): RouterEffect[] {
  const event = arrival(key, path)
  assert.is(event.type, 'request_arrived')
  return simulation.send(event.type === 'request_arrived' ? { ...event, arrival: { ...event.arrival, keyDigest } } : event)
}

test('the API key identifies the customer', () => {
  const simulation = createCustomerSimulation()
  assert.is(only(sendRequest(simulation, '1', 'k-acme-2'), 'send_run').customer, 'acme')
  assert.is(only(sendRequest(simulation, '2', 'k-bolt'), 'send_run').customer, 'bolt')
})

test('nothing is sent without an API key or with an unknown one', () => {
  const simulation = createCustomerSimulation()
  for (const [key, digest] of [['1', undefined], ['2', 'k-other']] as const) {
    const refusal = only(sendRequest(simulation, key, digest), 'refuse')
    assert.is(refusal.status, 401)
    assert.is(refusal.reason, 'unknown_key')
  }
  assert.is(simulation.state.requests.size, 0)
})

test('no API key is required without customers in the configuration', () => {
  const simulation = createSimulation(ROUTES, [replicaOf('a1', 'plain')])
  assert.is(only(sendRequest(simulation, '1', 'k-other'), 'send_run').customer, undefined)
})

test('all requests are rejected with an empty list of customers', () => {
  assert.is(only(sendRequest(createCustomerSimulation([]), '1', 'k-acme'), 'refuse').status, 401)
})

test('an anonymous route requires no API key, and a known key identifies the customer', () => {
  const simulation = createCustomerSimulation()
  assert.is(only(sendRequest(simulation, '1', undefined, '/open/1'), 'send_run').customer, undefined)
  assert.is(only(sendRequest(simulation, '2', 'k-other', '/open/1'), 'send_run').customer, undefined)
  assert.is(only(sendRequest(simulation, '3', 'k-acme', '/open/1'), 'send_run').customer, 'acme')
  simulation.wait(MAX_KEY_AGE_MS + 1)
  assert.is(only(sendRequest(simulation, '4', 'k-acme', '/open/1'), 'send_run').customer, undefined)
})

test('the priority of a customer overrides that of the route', () => {
  const simulation = createCustomerSimulation()
  assert.is(only(sendRequest(simulation, '1', 'k-acme', '/summaries/1'), 'reserve').priority, 0)
  assert.is(only(sendRequest(simulation, '2', 'k-bolt', '/summaries/1'), 'reserve').priority, 1)
})

test('the customer is sent with the prompt, the run and the run that resumes it', () => {
  const simulation = createCustomerSimulation()
  applyConfig(simulation, 3, [ACME])
  simulation.send({ type: 'config_learned', config: { ...configOf(4, [summaryRoute({ isResumable: true, maxAttempts: 2 })]), customers: [ACME] } })
  verifyConfig(simulation)
  for (let run = 0; run < 2; run++) {
    const effects = run === 0 ? sendRequest(simulation, '1', 'k-acme', '/summaries/1') : simulation.send({ type: 'run_failed', key: '1', attempt: simulation.state.requests.get('1')?.attempt ?? 0, failure: 'unknown', lastEventId: '4' })
    const reserve = only(effects, 'reserve')
    const prefill = only(simulation.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
    assert.is(prefill.customer, 'acme')
    const confirm = only(simulation.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: `h${run}` } }), 'confirm')
    const sent = only(simulation.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' }), 'send_run')
    assert.is(sent.customer, 'acme')
    simulation.send({ type: 'answer_started', key: '1', attempt: sent.attempt })
    simulation.send({ type: 'replicas_changed', present: [replicaOf('d2', 'decode')], gone: [] })
    simulation.send({ type: 'load_learned', load: loadOf('d2', 'decode', 30_000) })
  }
})

test('a revoked key is rejected, and a moved key identifies its new customer', () => {
  const simulation = createCustomerSimulation()
  applyConfig(simulation, 3, [{ ...ACME, keyDigests: ['k-acme-2'] }, { ...BOLT, keyDigests: ['k-bolt', 'k-acme'] }])
  assert.is(only(sendRequest(simulation, '1', 'k-acme'), 'send_run').customer, 'bolt')
  applyConfig(simulation, 4, [{ ...ACME, keyDigests: ['k-acme-2'] }, BOLT])
  assert.is(only(sendRequest(simulation, '2', 'k-acme'), 'refuse').status, 401)
})

test('a request is refused at once as not run when the keys were last verified too long ago', () => {
  const simulation = createCustomerSimulation()
  simulation.wait(MAX_KEY_AGE_MS)
  only(sendRequest(simulation, '1', 'k-acme'), 'send_run')
  simulation.wait(1)
  const refusal = only(sendRequest(simulation, '2', 'k-acme'), 'refuse')
  assert.is(refusal.status, 503)
  assert.is(refusal.reason, 'keys_unproven')
  assert.ok((refusal.retryAfterMs ?? Infinity) < 1_000)
  verifyConfig(simulation, 200)
  only(sendRequest(simulation, '3', 'k-acme'), 'send_run')
})

test('the age of the keys counts from the request for the configuration, not from its late response', () => {
  const simulation = createCustomerSimulation()
  simulation.wait(3_000)
  verifyConfig(simulation, 2_900)
  simulation.wait(MAX_KEY_AGE_MS - 2_900 + 1)
  assert.is(only(sendRequest(simulation, '1', 'k-acme'), 'refuse').reason, 'keys_unproven')
})

test('an older verification does not override a newer one', () => {
  const simulation = createCustomerSimulation()
  simulation.wait(3_000)
  verifyConfig(simulation)
  verifyConfig(simulation, 2_000)
  simulation.wait(MAX_KEY_AGE_MS - 100)
  only(sendRequest(simulation, '1', 'k-acme'), 'send_run')
})

test('a key that a newer configuration may contain is not rejected as unknown', () => {
  const simulation = createCustomerSimulation()
  simulation.wait(MAX_UNKNOWN_KEY_AGE_MS)
  assert.is(only(sendRequest(simulation, '1', 'k-new'), 'refuse').status, 401)
  simulation.wait(1)
  assert.is(only(sendRequest(simulation, '2', 'k-new'), 'refuse').status, 503)
  // A newer configuration makes no difference to a request without a key.
  assert.is(only(sendRequest(simulation, '3'), 'refuse').status, 401)
})

test('an entry with limits that are not strict accepts the keys it knows at any age', () => {
  const simulation = createCustomerSimulation()
  Object.assign(simulation.state, { credentialLimits: { ...simulation.state.credentialLimits, isStrict: false } })
  simulation.wait(60_000)
  only(sendRequest(simulation, '1', 'k-acme'), 'send_run')
})

/** Reduces an event after a suspension that the monotonic clock did not count. */
function afterSuspension (simulation: RouterSimulation, event: object, suspendedMs: number): RouterEffect[] {
  return reduceRouter(simulation.state, { ...event, atMs: simulation.nowMs(), suspendedMs } as RouterEvent).filter(({ type }) => type !== 'log')
}

for (const { suspendedMs, pausedMs, what } of [{ suspendedMs: 6_000, pausedMs: 0, what: 'a suspension of the machine' }, { suspendedMs: 0, pausedMs: 6_000, what: 'a process pause' }]) {
  test(`after ${what} a request waits for the current configuration, which then applies`, () => {
    const simulation = createCustomerSimulation()
    simulation.freeze(pausedMs)
    const event = arrival('1', '/rates/1')
    const keyedArrival = event.type === 'request_arrived' ? { ...event, arrival: { ...event.arrival, keyDigest: 'k-acme' } } : event
    only(afterSuspension(simulation, keyedArrival, suspendedMs), 'refresh_replicas')
    assert.is(simulation.state.heldArrivals.size, 1)
    applyConfig(simulation, 3, [BOLT])
    verifyConfig(simulation)
    assert.is(only(simulation.send({ type: 'replicas_refreshed' }), 'refuse').status, 401)
    assert.is(simulation.state.heldArrivals.size, 0)
  })

  test(`after ${what} a request is refused when the configuration could not be read`, () => {
    const simulation = createCustomerSimulation()
    simulation.freeze(pausedMs)
    const event = arrival('1', '/rates/1')
    const keyedArrival = event.type === 'request_arrived' ? { ...event, arrival: { ...event.arrival, keyDigest: 'k-acme' } } : event
    afterSuspension(simulation, keyedArrival, suspendedMs)
    assert.is(only(simulation.send({ type: 'replicas_refreshed' }), 'refuse').reason, 'keys_unproven')
  })
}

test('a waiting request is dropped when its caller leaves', () => {
  const simulation = createCustomerSimulation()
  simulation.freeze(6_000)
  sendRequest(simulation, '1', 'k-acme')
  only(simulation.send({ type: 'caller_left', key: '1' }), 'forget')
  assert.is(simulation.state.heldArrivals.size, 0)
})

test('crashes under the request of one customer do not affect the same request of another', () => {
  const simulation = createCustomerSimulation()
  simulation.send({ type: 'crash_report_learned', reporter: 'entry-2', report: { suspects: [{ fingerprint: '1/acme', processes: ['x/1', 'y/1', 'z/1'] }], cleared: [] } })
  assert.is(only(sendRequest(simulation, '1', 'k-acme'), 'refuse').reason, 'crashes_replicas')
  only(sendRequest(simulation, '1', 'k-bolt'), 'send_run')
})

test('random keys leave no state behind', () => {
  const simulation = createCustomerSimulation()
  for (let i = 0; i < 10_000; i++) assert.equal(sendRequest(simulation, `r${i}`, `random-${i}`).map(({ type }) => type), ['refuse', 'forget'])
  assert.is(simulation.state.customerIndex?.byKeyDigest.size, 3)
  assert.is(simulation.state.requests.size + simulation.state.heldArrivals.size, 0)
})

test.run()
