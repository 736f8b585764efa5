import { drawUnit } from 'bendfall-core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCallerWaits, recordCallerRefused, recordCallerWait } from '../../entry/BendfallRouterCallerWaits.js'

const WAIT_MS = 14_000

function createDraw (initialSeed: number): () => number {
  let state = initialSeed
  return () => {
    const { seed, value } = drawUnit(state)
    state = seed
    return value
  }
}

test('no caller counts as a retry before enough waiting times are recorded', () => {
  const waits = createCallerWaits()
  for (const waitMs of [WAIT_MS, WAIT_MS - 2_000, WAIT_MS - 4_000]) assert.is(recordCallerWait(waits, waitMs, 0), 0)
})

test('with equal timeouts a retry is recognised by its remaining waiting time', () => {
  const waits = createCallerWaits()
  for (let i = 0; i < 50; i++) assert.is(recordCallerWait(waits, WAIT_MS, 0), 0)
  assert.is(recordCallerWait(waits, WAIT_MS - 1_700, 0), 1_700)
})

test('retries are recognised while a fifth of the callers retry', () => {
  const waits = createCallerWaits()
  const sinceFirstTryMs = Array.from({ length: 400 }, (_, i) => recordCallerWait(waits, i % 5 === 0 ? WAIT_MS - 1_000 : WAIT_MS, 0))
  assert.equal(new Set(sinceFirstTryMs.slice(50).filter((_, i) => (i + 50) % 5 !== 0)), new Set([0]))
  assert.equal(new Set(sinceFirstTryMs.slice(50).filter((_, i) => (i + 50) % 5 === 0)), new Set([1_000]))
})

test('waiting times are not recorded in the period in which refused callers retry', () => {
  const waits = createCallerWaits()
  for (let i = 0; i < 50; i++) recordCallerWait(waits, WAIT_MS, 0)
  recordCallerRefused(waits, 0)
  for (let i = 0; i < 200; i++) assert.is(recordCallerWait(waits, WAIT_MS - 1_000, 5_999), 1_000)
  for (let i = 0; i < 200; i++) recordCallerWait(waits, WAIT_MS - 1_000, 6_000)
  assert.is(recordCallerWait(waits, WAIT_MS - 1_000, 6_000), 0)
})

test('with different timeouts most first tries are not taken for retries', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const draw = createDraw(seed)
    const waits = createCallerWaits()
    const sinceFirstTryMs = Array.from({ length: 300 }, () => recordCallerWait(waits, WAIT_MS * (0.9 + 0.2 * draw()), 0)).slice(50)
    assert.ok(sinceFirstTryMs.filter((ms) => ms > 0).length < 0.35 * sinceFirstTryMs.length, `seed ${seed}`)
    assert.ok(Math.max(...sinceFirstTryMs) < 0.1 * WAIT_MS, `seed ${seed}: ${Math.max(...sinceFirstTryMs)}`)
  }
})

test('the typical wait of a route adapts to a shorter timeout', () => {
  const waits = createCallerWaits()
  for (let i = 0; i < 200; i++) recordCallerWait(waits, WAIT_MS, 0)
  for (let i = 0; i < 200; i++) recordCallerWait(waits, WAIT_MS / 2, 0)
  assert.is(recordCallerWait(waits, WAIT_MS / 2, 0), 0)
})

test.run()
