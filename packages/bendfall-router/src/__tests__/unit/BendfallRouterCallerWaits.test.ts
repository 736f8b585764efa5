import { drawUnit } from 'bendfall-core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCallerWaits, recordCallerRefused, recordCallerWait } from '../../entry/BendfallRouterCallerWaits.js'

const WAIT_MS = 14_000

function createDraw (first: number): () => number {
  let state = first
  return () => {
    const { seed, value } = drawUnit(state)
    state = seed
    return value
  }
}

test('before some callers are known none is taken for one that returns', () => {
  const waits = createCallerWaits()
  for (const waitMs of [WAIT_MS, WAIT_MS - 2_000, WAIT_MS - 4_000]) assert.is(recordCallerWait(waits, waitMs, 0), 0)
})

test('where all wait equally long one that returns is told by what is left of its wait', () => {
  const waits = createCallerWaits()
  for (let i = 0; i < 50; i++) assert.is(recordCallerWait(waits, WAIT_MS, 0), 0)
  assert.is(recordCallerWait(waits, WAIT_MS - 1_700, 0), 1_700)
})

test('the same while a fifth of the callers return', () => {
  const waits = createCallerWaits()
  const told = Array.from({ length: 400 }, (_, i) => recordCallerWait(waits, i % 5 === 0 ? WAIT_MS - 1_000 : WAIT_MS, 0))
  assert.equal(new Set(told.slice(50).filter((_, i) => (i + 50) % 5 !== 0)), new Set([0]))
  assert.equal(new Set(told.slice(50).filter((_, i) => (i + 50) % 5 === 0)), new Set([1_000]))
})

test('while those that were refused return nothing is learned', () => {
  const waits = createCallerWaits()
  for (let i = 0; i < 50; i++) recordCallerWait(waits, WAIT_MS, 0)
  recordCallerRefused(waits, 0)
  for (let i = 0; i < 200; i++) assert.is(recordCallerWait(waits, WAIT_MS - 1_000, 5_999), 1_000)
  for (let i = 0; i < 200; i++) recordCallerWait(waits, WAIT_MS - 1_000, 6_000)
  assert.is(recordCallerWait(waits, WAIT_MS - 1_000, 6_000), 0)
})

test('where callers wait for different times most of those that come first are taken for it', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const draw = createDraw(seed)
    const waits = createCallerWaits()
    const told = Array.from({ length: 300 }, () => recordCallerWait(waits, WAIT_MS * (0.9 + 0.2 * draw()), 0)).slice(50)
    assert.ok(told.filter((ms) => ms > 0).length < 0.35 * told.length, `seed ${seed}`)
    assert.ok(Math.max(...told) < 0.1 * WAIT_MS, `seed ${seed}: ${Math.max(...told)}`)
  }
})

test('a route whose wait is made shorter is learned anew', () => {
  const waits = createCallerWaits()
  for (let i = 0; i < 200; i++) recordCallerWait(waits, WAIT_MS, 0)
  for (let i = 0; i < 200; i++) recordCallerWait(waits, WAIT_MS / 2, 0)
  assert.is(recordCallerWait(waits, WAIT_MS / 2, 0), 0)
})

test.run()
