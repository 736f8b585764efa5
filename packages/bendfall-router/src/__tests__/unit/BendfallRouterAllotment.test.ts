import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createAllotmentLeaderState, giveBackToAllotment, retainCustomers, takeFromAllotment } from '../../index.js'
import type { Allotment, AllotmentBounds, Customer, RouterEffect, UnitsOutcome } from '../../index.js'
import { arrival, configOf, createWorld, loadOf, only, plainRoute, replicaOf, summaryRoute, typesOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

const ALLOTMENT: Allotment = { unit: 'tokens', unitsPerS: 36_000, burstUnits: 36_000, undeclaredUnits: 200 }
const ACME: Customer = { name: 'acme', keyDigests: ['k-acme'], allotment: ALLOTMENT }
const FREE: Customer = { name: 'free', keyDigests: ['k-free'] }
const BOUNDS: AllotmentBounds = { windowMs: 8_000, overShare: 0.1, slackUnits: 140_000 }

function world (customers: readonly Customer[] = [ACME, FREE]): RouterWorld {
  const made = createWorld([], [replicaOf('a1', 'plain'), replicaOf('a2', 'plain'), replicaOf('p1', 'prefill'), replicaOf('d1', 'decode')])
  made.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  made.send({ type: 'config_learned', config: { ...configOf(2, [plainRoute(), summaryRoute()]), customers } })
  made.send({ type: 'config_proven', provenAtMs: made.nowMs() })
  return made
}

function ask (one: RouterWorld, key: string, path = '/rates/1', keyDigest = 'k-acme'): RouterEffect[] {
  const event = arrival(key, path)
  return one.send(event.type === 'request_arrived' ? { ...event, arrival: { ...event.arrival, keyDigest } } : event)
}

function answer (one: RouterWorld, effects: readonly RouterEffect[], outcome: UnitsOutcome): RouterEffect[] {
  const { type: _, ...asked } = only(effects, 'take_units')
  return one.send({ type: 'units_answered', ...asked, outcome })
}

test('units are taken before anything is sent: those that are declared, or the default', () => {
  const one = world()
  const summary = ask(one, '1', '/summaries/1')
  assert.equal(typesOf(summary), ['set_deadline', 'take_units'])
  assert.is(only(summary, 'take_units').units, 5_000)
  assert.is(only(summary, 'take_units').role, 'primary')
  only(answer(one, summary, { type: 'granted' }), 'reserve')
  const plain = ask(one, '2')
  assert.is(only(plain, 'take_units').units, 200)
  only(answer(one, plain, { type: 'granted' }), 'send_run')
})

test('a request counts as one where requests are counted', () => {
  const one = world([{ ...ACME, allotment: { ...ALLOTMENT, unit: 'requests', undeclaredUnits: 1 } }])
  assert.is(only(ask(one, '1', '/summaries/1'), 'take_units').units, 1)
})

test('a customer without an allotment is asked for nothing', () => {
  only(ask(world(), '1', '/rates/1', 'k-free'), 'send_run')
})

test('beyond the allotment a request is refused at once, with the time at which it fits', () => {
  const one = world()
  const refusal = only(answer(one, ask(one, '1'), { type: 'refused', retryAfterMs: 700 }), 'refuse')
  assert.is(refusal.status, 429)
  assert.is(refusal.reason, 'allotment_spent')
  assert.is(refusal.retryAfterMs, 700)
  assert.is(one.state.requests.size, 0)
})

test('without an answer of the primary the reserve is asked, and what it lacks is no refusal for the allotment', () => {
  for (const { outcome, status } of [{ outcome: { type: 'refused', retryAfterMs: 0 } as const, status: 503 }, { outcome: { type: 'uncertain' } as const, status: 503 }, { outcome: { type: 'unreachable' } as const, status: 503 }]) {
    const one = world()
    const reserve = answer(one, ask(one, '1'), { type: 'unreachable' })
    assert.is(only(reserve, 'take_units').role, 'reserve')
    assert.is(only(answer(one, reserve, outcome), 'refuse').status, status)
  }
  const one = world()
  only(answer(one, answer(one, ask(one, '1'), { type: 'uncertain' }), { type: 'granted' }), 'send_run')
})

test('units of a request that never ran are given back to the keeper that granted them', () => {
  const one = world()
  answer(one, answer(one, ask(one, '1', '/summaries/1'), { type: 'unreachable' }), { type: 'granted' })
  const left = one.send({ type: 'caller_left', key: '1' })
  assert.equal(only(left, 'give_back_units'), { type: 'give_back_units', role: 'reserve', customer: 'acme', units: 5_000 })
})

test('a request that ran counts once, however often it was sent', () => {
  const one = world()
  const first = only(answer(one, ask(one, '1'), { type: 'granted' }), 'send_run')
  const second = one.send({ type: 'run_failed', key: '1', attempt: first.attempt, failure: 'not_run' })
  const again = only(second, 'send_run')
  const effects = one.send({ type: 'answer_complete', key: '1', attempt: again.attempt, status: 200, outputEvents: 0 })
  assert.equal([...second, ...effects].filter(({ type }) => type === 'take_units' || type === 'give_back_units'), [])
})

test('units of a request that no replica ran are given back', () => {
  const one = world()
  const first = only(answer(one, ask(one, '1'), { type: 'granted' }), 'send_run')
  const second = only(one.send({ type: 'run_failed', key: '1', attempt: first.attempt, failure: 'not_run' }), 'send_run')
  const effects = one.send({ type: 'run_failed', key: '1', attempt: second.attempt, failure: 'not_run' })
  assert.is(only(effects, 'refuse').status, 503)
  assert.is(only(effects, 'give_back_units').units, 200)
})

test('units that are granted after the caller left are given back', () => {
  const one = world()
  const asked = ask(one, '1')
  assert.not.ok(typesOf(one.send({ type: 'caller_left', key: '1' })).includes('give_back_units'))
  assert.is(only(answer(one, asked, { type: 'granted' }), 'give_back_units').units, 200)
})

test('after a standstill a request that was granted waits, and is not charged again', () => {
  const one = world()
  const asked = ask(one, '1')
  one.freeze(2_000)
  assert.not.ok(typesOf(answer(one, asked, { type: 'granted' })).includes('send_run'))
  const effects = one.send({ type: 'replicas_refreshed' })
  only(effects, 'send_run')
  assert.not.ok(typesOf(effects).includes('take_units'))
})

test('primary and reserve together stay within the bounds of any window', () => {
  const primary = createAllotmentLeaderState('primary', BOUNDS, 0)
  const reserve = createAllotmentLeaderState('reserve', BOUNDS, 0)
  const grants: Array<{ readonly atMs: number, readonly units: number }> = []
  for (let atMs = 60_000; atMs < 100_000; atMs += 5) {
    for (const keeper of [primary, reserve]) {
      if (takeFromAllotment(keeper, ACME, 5_273, atMs).type === 'granted') grants.push({ atMs, units: 5_273 })
    }
  }
  const boundUnits = (8 * ALLOTMENT.unitsPerS + ALLOTMENT.burstUnits) * 1.1 + 140_000
  for (const { atMs } of grants) {
    const units = grants.filter((one) => one.atMs >= atMs && one.atMs < atMs + 8_000).reduce((sum, one) => sum + one.units, 0)
    assert.ok(units <= boundUnits, `${units} of ${boundUnits}`)
  }
})

test('the reserve bears a customer at its usual until a lost primary is replaced', () => {
  const reserve = createAllotmentLeaderState('reserve', BOUNDS, 0)
  let granted = 0
  let asked = 0
  for (let atMs = 60_000; atMs < 66_000; atMs += 264) {
    asked += 1
    if (takeFromAllotment(reserve, ACME, 5_273, atMs).type === 'granted') granted += 1
  }
  assert.ok(granted >= 0.9 * asked, `${granted} of ${asked}`)
})

test('without bounds the reserve grants nothing', () => {
  const reserve = createAllotmentLeaderState('reserve', { windowMs: 8_000, overShare: 0, slackUnits: 0 }, 0)
  assert.is(takeFromAllotment(reserve, ACME, 1, 60_000).type, 'refused')
})

test('a customer that lost its limit is granted all, one that is gone is forgotten', () => {
  const keeper = createAllotmentLeaderState('primary', BOUNDS, 0)
  takeFromAllotment(keeper, ACME, 1, 1_000)
  assert.is(takeFromAllotment(keeper, { ...ACME, allotment: undefined }, 1e9, 1_000).type, 'granted')
  giveBackToAllotment(keeper, ACME, 1, 1_000)
  assert.is(keeper.buckets.size, 1)
  retainCustomers(keeper, new Set(['free']))
  assert.is(keeper.buckets.size, 0)
})

test.run()
