import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { reduceRouter } from '../../index.js'
import type { Customer, Route, RouterEffect, RouterEvent } from '../../index.js'
import { arrival, configOf, createWorld, loadOf, only, plainRoute, replicaOf, summaryRoute } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

/** Keys are believed for 4 s by the default limits, and called unknown for 1.8 s. */
const TRUSTED_MS = 4_000
const UNKNOWN_MS = 1_800

const ACME: Customer = { name: 'acme', keyDigests: ['k-acme', 'k-acme-2'], priority: 0 }
const BOLT: Customer = { name: 'bolt', keyDigests: ['k-bolt'] }

const ROUTES: readonly Route[] = [plainRoute(), plainRoute({ name: 'open', pathPrefix: '/open/', allowsAnonymous: true }), summaryRoute()]

function customerWorld (customers: readonly Customer[] = [ACME, BOLT]): RouterWorld {
  const world = createWorld([], [replicaOf('a1', 'plain'), replicaOf('p1', 'prefill'), replicaOf('d1', 'decode')])
  world.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  learn(world, 2, customers)
  prove(world)
  return world
}

function learn (world: RouterWorld, version: number, customers: readonly Customer[]): void {
  world.send({ type: 'config_learned', config: { ...configOf(version, ROUTES), customers } })
}

function prove (world: RouterWorld, agoMs = 0): void {
  world.send({ type: 'config_proven', provenAtMs: world.nowMs() - agoMs })
}

function ask (world: RouterWorld, key: string, keyDigest?: string, path = '/rates/1'): RouterEffect[] {
  const event = arrival(key, path)
  assert.is(event.type, 'request_arrived')
  return world.send(event.type === 'request_arrived' ? { ...event, arrival: { ...event.arrival, keyDigest } } : event)
}

test('the customer is the one who has the key', () => {
  const world = customerWorld()
  assert.is(only(ask(world, '1', 'k-acme-2'), 'send_run').customer, 'acme')
  assert.is(only(ask(world, '2', 'k-bolt'), 'send_run').customer, 'bolt')
})

test('without a key and with an unknown one nothing is sent', () => {
  const world = customerWorld()
  for (const [key, digest] of [['1', undefined], ['2', 'k-other']] as const) {
    const refusal = only(ask(world, key, digest), 'refuse')
    assert.is(refusal.status, 401)
    assert.is(refusal.reason, 'unknown_key')
  }
  assert.is(world.state.requests.size, 0)
})

test('without customers in the configuration no key is asked for', () => {
  const world = createWorld(ROUTES, [replicaOf('a1', 'plain')])
  assert.is(only(ask(world, '1', 'k-other'), 'send_run').customer, undefined)
})

test('with an empty list of customers nobody is served', () => {
  assert.is(only(ask(customerWorld([]), '1', 'k-acme'), 'refuse').status, 401)
})

test('an open route asks for no key, and a known one tells its customer', () => {
  const world = customerWorld()
  assert.is(only(ask(world, '1', undefined, '/open/1'), 'send_run').customer, undefined)
  assert.is(only(ask(world, '2', 'k-other', '/open/1'), 'send_run').customer, undefined)
  assert.is(only(ask(world, '3', 'k-acme', '/open/1'), 'send_run').customer, 'acme')
  world.wait(TRUSTED_MS + 1)
  assert.is(only(ask(world, '4', 'k-acme', '/open/1'), 'send_run').customer, undefined)
})

test('the priority of a customer goes before that of the route', () => {
  const world = customerWorld()
  assert.is(only(ask(world, '1', 'k-acme', '/summaries/1'), 'reserve').priority, 0)
  assert.is(only(ask(world, '2', 'k-bolt', '/summaries/1'), 'reserve').priority, 1)
})

test('the customer goes with the prompt, the run and the run that resumes it', () => {
  const world = customerWorld()
  learn(world, 3, [ACME])
  world.send({ type: 'config_learned', config: { ...configOf(4, [summaryRoute({ isResumable: true, maxAttempts: 2 })]), customers: [ACME] } })
  prove(world)
  for (let run = 0; run < 2; run++) {
    const effects = run === 0 ? ask(world, '1', 'k-acme', '/summaries/1') : world.send({ type: 'run_failed', key: '1', attempt: world.state.requests.get('1')?.attempt ?? 0, failure: 'unknown', lastEventId: '4' })
    const reserve = only(effects, 'reserve')
    const prefill = only(world.send({ type: 'reserve_answered', key: '1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
    assert.is(prefill.customer, 'acme')
    const confirm = only(world.send({ type: 'prefill_answered', key: '1', attempt: prefill.attempt, outcome: { type: 'read', handle: `h${run}` } }), 'confirm')
    const sent = only(world.send({ type: 'confirm_answered', key: '1', attempt: confirm.attempt, outcome: 'free' }), 'send_run')
    assert.is(sent.customer, 'acme')
    world.send({ type: 'answer_started', key: '1', attempt: sent.attempt })
    world.send({ type: 'replicas_changed', present: [replicaOf('d2', 'decode')], gone: [] })
    world.send({ type: 'load_learned', load: loadOf('d2', 'decode', 30_000) })
  }
})

test('a key that was taken away opens nothing, one that moved opens for its new customer', () => {
  const world = customerWorld()
  learn(world, 3, [{ ...ACME, keyDigests: ['k-acme-2'] }, { ...BOLT, keyDigests: ['k-bolt', 'k-acme'] }])
  assert.is(only(ask(world, '1', 'k-acme'), 'send_run').customer, 'bolt')
  learn(world, 4, [{ ...ACME, keyDigests: ['k-acme-2'] }, BOLT])
  assert.is(only(ask(world, '2', 'k-acme'), 'refuse').status, 401)
})

test('when the last word on keys is too old a request is refused at once as not run', () => {
  const world = customerWorld()
  world.wait(TRUSTED_MS)
  only(ask(world, '1', 'k-acme'), 'send_run')
  world.wait(1)
  const refusal = only(ask(world, '2', 'k-acme'), 'refuse')
  assert.is(refusal.status, 503)
  assert.is(refusal.reason, 'keys_unproven')
  assert.ok((refusal.retryAfterMs ?? Infinity) < 1_000)
  prove(world, 200)
  only(ask(world, '3', 'k-acme'), 'send_run')
})

test('what is known is as old as the question, however late its answer came', () => {
  const world = customerWorld()
  world.wait(3_000)
  prove(world, 2_900)
  world.wait(TRUSTED_MS - 2_900 + 1)
  assert.is(only(ask(world, '1', 'k-acme'), 'refuse').reason, 'keys_unproven')
})

test('an older proof takes nothing back from a newer one', () => {
  const world = customerWorld()
  world.wait(3_000)
  prove(world)
  prove(world, 2_000)
  world.wait(TRUSTED_MS - 100)
  only(ask(world, '1', 'k-acme'), 'send_run')
})

test('a key that a newer version may hold is not called unknown', () => {
  const world = customerWorld()
  world.wait(UNKNOWN_MS)
  assert.is(only(ask(world, '1', 'k-new'), 'refuse').status, 401)
  world.wait(1)
  assert.is(only(ask(world, '2', 'k-new'), 'refuse').status, 503)
  // Without a key there is nothing that a newer version could tell.
  assert.is(only(ask(world, '3'), 'refuse').status, 401)
})

test('an entry whose limits are not strict goes on with what it knows', () => {
  const world = customerWorld()
  Object.assign(world.state, { credentialLimits: { ...world.state.credentialLimits, isStrict: false } })
  world.wait(60_000)
  only(ask(world, '1', 'k-acme'), 'send_run')
})

/** Reduces an event after a suspension that the monotonic clock did not count. */
function afterSuspension (world: RouterWorld, event: object, aheadMs: number): RouterEffect[] {
  return reduceRouter(world.state, { ...event, atMs: world.nowMs(), suspendedMs: aheadMs } as RouterEvent).filter(({ type }) => type !== 'log')
}

for (const { aheadMs, frozenMs, what } of [{ aheadMs: 6_000, frozenMs: 0, what: 'a suspension of the machine' }, { aheadMs: 0, frozenMs: 6_000, what: 'a standstill' }]) {
  test(`after ${what} a request waits until the configuration was read, and goes by it`, () => {
    const world = customerWorld()
    world.freeze(frozenMs)
    const event = arrival('1', '/rates/1')
    const asked = event.type === 'request_arrived' ? { ...event, arrival: { ...event.arrival, keyDigest: 'k-acme' } } : event
    only(afterSuspension(world, asked, aheadMs), 'refresh_replicas')
    assert.is(world.state.heldArrivals.size, 1)
    learn(world, 3, [BOLT])
    prove(world)
    assert.is(only(world.send({ type: 'replicas_refreshed' }), 'refuse').status, 401)
    assert.is(world.state.heldArrivals.size, 0)
  })

  test(`after ${what} a request is refused when the configuration could not be read`, () => {
    const world = customerWorld()
    world.freeze(frozenMs)
    const event = arrival('1', '/rates/1')
    const asked = event.type === 'request_arrived' ? { ...event, arrival: { ...event.arrival, keyDigest: 'k-acme' } } : event
    afterSuspension(world, asked, aheadMs)
    assert.is(only(world.send({ type: 'replicas_refreshed' }), 'refuse').reason, 'keys_unproven')
  })
}

test('a caller that leaves while its request waits is forgotten', () => {
  const world = customerWorld()
  world.freeze(6_000)
  ask(world, '1', 'k-acme')
  only(world.send({ type: 'caller_left', key: '1' }), 'forget')
  assert.is(world.state.heldArrivals.size, 0)
})

test('a request of one customer that crashes replicas tells nothing of the same request of another', () => {
  const world = customerWorld()
  world.send({ type: 'crash_report_learned', reporter: 'entry-2', report: { suspects: [{ fingerprint: '1/acme', processes: ['x/1', 'y/1', 'z/1'] }], cleared: [] } })
  assert.is(only(ask(world, '1', 'k-acme'), 'refuse').reason, 'crashes_replicas')
  only(ask(world, '1', 'k-bolt'), 'send_run')
})

test('random keys leave nothing behind', () => {
  const world = customerWorld()
  for (let i = 0; i < 10_000; i++) assert.equal(ask(world, `r${i}`, `random-${i}`).map(({ type }) => type), ['refuse', 'forget'])
  assert.is(world.state.customerIndex?.byKeyDigest.size, 3)
  assert.is(world.state.requests.size + world.state.heldArrivals.size, 0)
})

test.run()
