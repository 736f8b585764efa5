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

test('extra sends are bounded by a share of the requests', () => {
  const budget = createBudget(0)
  for (let i = 0; i < 100; i++) countRequest(budget, i)
  const spent = spendAll(budget, 200)
  assert.is(spent, 12)
  assert.ok(spent <= 17, 'no more than while windows were turned in steps')
})

test('in steady traffic the whole share is there', () => {
  const budget = createBudget(0)
  let spent = 0
  for (let atMs = 0; atMs < 60_000; atMs += 100) {
    countRequest(budget, atMs)
    if (spend(budget, atMs)) spent += 1
  }
  // A fifth of 600 requests, less what the first window lacks of the one before.
  assert.ok(spent >= 105 && spent <= 122, `${spent}`)
})

test('at four requests a second an entry may retry, without any reserve', () => {
  const budget = createBudget(0, { ratio: 0.2, reserve: 0, windowMs: WINDOW_MS })
  for (let atMs = 0; atMs < 10_000; atMs += 250) countRequest(budget, atMs)
  assert.ok(spendAll(budget, 10_000) >= 3)
})

test('the budget forgets old windows', () => {
  const budget = createBudget(0)
  for (let i = 0; i < 100; i++) countRequest(budget, i)
  assert.is(spendAll(budget, 60_000), 2)
})

test('a promise keeps others from spending it, until it is dropped', () => {
  const budget = createBudget(0)
  assert.is(reserveExtraSends(budget, 0, 2), true)
  assert.is(reserveExtraSends(budget, 0, 1), false)
  cancelReservedSends(budget, 1)
  assert.is(reserveExtraSends(budget, 0, 1), true)
})

test('a send that did not arrive may be made again', () => {
  const budget = createBudget(0)
  assert.is(spendAll(budget, 0), 2)
  refundExtraSend(budget, 20, 0)
  assert.is(availableExtraSends(budget, 20), 0)
  assert.is(spendExtraSend(budget, 30), true)
  assert.is(spend(budget, 40), false)
})

test('a promise that is older than the requests that allowed it is not kept', () => {
  const budget = createBudget(0, { ratio: 0.2, reserve: 0, windowMs: WINDOW_MS })
  for (let i = 0; i < 100; i++) countRequest(budget, i)
  assert.is(reserveExtraSends(budget, 100, 1), true)
  assert.is(spendExtraSend(budget, 30_000), false)
})

// Whatever entries see of the traffic, and whenever: no window that slides has more extra
// sends of all of them than its share of the requests in it or in the window before.
test('the sum of all entries stays within the share in every window', () => {
  const event = fc.record({ entry: fc.nat(4), atMs: fc.nat(45_000), requests: fc.nat(12), tries: fc.nat(12), waitsMs: fc.nat(4_000) })
  fc.assert(fc.property(fc.array(event, { maxLength: 120 }), (events) => {
    const budgets = Array.from({ length: 5 }, () => createBudget(0, { ratio: 0.2, reserve: 0, windowMs: WINDOW_MS }))
    const requests: number[] = []
    const extras: number[] = []
    const acts = events.flatMap(({ entry, atMs, requests: count, tries, waitsMs }) => {
      const budget = budgets[entry] as RetryBudget
      let promised = 0
      return [
        { atMs, act: () => { for (let i = 0; i < count; i++) { countRequest(budget, atMs); requests.push(atMs) } } },
        { atMs, act: () => { while (promised < tries && reserveExtraSends(budget, atMs, 1)) promised += 1 } },
        { atMs: atMs + waitsMs, act: () => { for (; promised > 0; promised--) if (spendExtraSend(budget, atMs + waitsMs)) extras.push(atMs + waitsMs) } }
      ]
    })
    for (const { act } of acts.sort((one, other) => one.atMs - other.atMs)) act()
    const within = (times: readonly number[], fromMs: number): number => times.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length
    for (const fromMs of extras) {
      const allowed = 0.2 * Math.max(within(requests, fromMs), within(requests, fromMs - WINDOW_MS))
      if (within(extras, fromMs) > allowed + 1e-9) return false
    }
    return true
  }), { seed: 33, numRuns: 300 })
})

test.run()
