import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { countRequest, createBudget, cancelReservedSends, spendExtraSend, reserveExtraSends, availableExtraSends, refundExtraSend } from '../../index.js'
import type { RetryBudget } from '../../index.js'

const WINDOW_MS = 10_000

function spend (budget: RetryBudget, nowMs: number): boolean {
  return reserveExtraSends(budget, nowMs, 1) && spendExtraSend(budget, nowMs)
}

function spendAll (budget: RetryBudget, nowMs: number): number {
  let spent = 0
  while (spend(budget, nowMs)) spent += 1
  return spent
}

test('extra sends are limited to a share of the requests', () => {
  const budget = createBudget(0)
  for (let i = 0; i < 100; i++) countRequest(budget, i)
  const spent = spendAll(budget, 200)
  assert.is(spent, 12)
  assert.ok(spent <= 17, 'no more than with windows that advance in fixed steps')
})

test('the full share is available in steady traffic', () => {
  const budget = createBudget(0)
  let spent = 0
  for (let atMs = 0; atMs < 60_000; atMs += 100) {
    countRequest(budget, atMs)
    if (spend(budget, atMs)) spent += 1
  }
  // A fifth of 600 requests, less the share that the first window lacks since no window precedes it.
  assert.ok(spent >= 105 && spent <= 122, `${spent}`)
})

test('an entry with four requests a second may retry even without a reserve', () => {
  const budget = createBudget(0, { ratio: 0.2, reserve: 0, windowMs: WINDOW_MS })
  for (let atMs = 0; atMs < 10_000; atMs += 250) countRequest(budget, atMs)
  assert.ok(spendAll(budget, 10_000) >= 3)
})

test('requests of old windows no longer count', () => {
  const budget = createBudget(0)
  for (let i = 0; i < 100; i++) countRequest(budget, i)
  assert.is(spendAll(budget, 60_000), 2)
})

test('a reserved send is unavailable to others until the reservation is cancelled', () => {
  const budget = createBudget(0)
  assert.is(reserveExtraSends(budget, 0, 2), true)
  assert.is(reserveExtraSends(budget, 0, 1), false)
  cancelReservedSends(budget, 1)
  assert.is(reserveExtraSends(budget, 0, 1), true)
})

test('the charge for a send that did not arrive is refunded', () => {
  const budget = createBudget(0)
  assert.is(spendAll(budget, 0), 2)
  refundExtraSend(budget, 20, 0)
  assert.is(availableExtraSends(budget, 20), 0)
  assert.is(spendExtraSend(budget, 30), true)
  assert.is(spend(budget, 40), false)
})

test('a reservation is void once the requests that allowed it have left the window', () => {
  const budget = createBudget(0, { ratio: 0.2, reserve: 0, windowMs: WINDOW_MS })
  for (let i = 0; i < 100; i++) countRequest(budget, i)
  assert.is(reserveExtraSends(budget, 100, 1), true)
  assert.is(spendExtraSend(budget, 30_000), false)
})

// However the traffic is distributed over entries and time, no sliding window has more extra sends
// of all entries together than the share of the requests in it or in the window before.
test('all entries together stay within the share in every window', () => {
  const event = fc.record({ entry: fc.nat(4), atMs: fc.nat(45_000), requests: fc.nat(12), tries: fc.nat(12), delayMs: fc.nat(4_000) })
  fc.assert(fc.property(fc.array(event, { maxLength: 120 }), (events) => {
    const budgets = Array.from({ length: 5 }, () => createBudget(0, { ratio: 0.2, reserve: 0, windowMs: WINDOW_MS }))
    const requests: number[] = []
    const extraSends: number[] = []
    const actions = events.flatMap(({ entry, atMs, requests: count, tries, delayMs }) => {
      const budget = budgets[entry] as RetryBudget
      let reserved = 0
      return [
        { atMs, run: () => { for (let i = 0; i < count; i++) { countRequest(budget, atMs); requests.push(atMs) } } },
        { atMs, run: () => { while (reserved < tries && reserveExtraSends(budget, atMs, 1)) reserved += 1 } },
        { atMs: atMs + delayMs, run: () => { for (; reserved > 0; reserved--) if (spendExtraSend(budget, atMs + delayMs)) extraSends.push(atMs + delayMs) } }
      ]
    })
    for (const { run } of actions.sort((one, other) => one.atMs - other.atMs)) run()
    const within = (times: readonly number[], fromMs: number): number => times.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length
    for (const fromMs of extraSends) {
      const allowed = 0.2 * Math.max(within(requests, fromMs), within(requests, fromMs - WINDOW_MS))
      if (within(extraSends, fromMs) > allowed + 1e-9) return false
    }
    return true
  }), { seed: 33, numRuns: 300 })
})

test.run()
