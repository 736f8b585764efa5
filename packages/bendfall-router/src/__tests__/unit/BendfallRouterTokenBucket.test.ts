import { drawUnit } from 'bendfall-core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createBucket, giveBackUnits, takeUnits } from '../../index.js'
import type { BucketLimit, TokenBucket } from '../../index.js'

const LIMIT: BucketLimit = { unitsPerS: 1_000, burstUnits: 2_000 }

function createDraw (first: number): () => number {
  let state = first
  return () => {
    const { seed, value } = drawUnit(state)
    state = seed
    return value
  }
}

/** Creates an empty bucket without unknown units. */
function createKnownBucket (): TokenBucket {
  return { ...createBucket(LIMIT, 0), unknownUnits: 0 }
}

test('a new bucket refuses only what a full bucket would refuse too, and is uncertain about the rest', () => {
  const bucket = createBucket(LIMIT, 0)
  assert.is(takeUnits(bucket, LIMIT, 500, 0).type, 'uncertain')
  assert.is(takeUnits(bucket, LIMIT, 500, 500).type, 'granted')
  assert.is(takeUnits(bucket, LIMIT, 1_500, 500).type, 'uncertain')
  assert.is(takeUnits(bucket, LIMIT, 1_501, 500).type, 'refused')
  assert.is(takeUnits(bucket, LIMIT, 1_500, 2_000).type, 'granted')
  assert.is(takeUnits(bucket, LIMIT, 1, 2_000).type, 'refused')
})

test('a bucket starts empty and fills up to its burst size', () => {
  const bucket = createKnownBucket()
  assert.equal(takeUnits(bucket, LIMIT, 500, 0), { type: 'refused', retryAfterMs: 500 })
  assert.equal(takeUnits(bucket, LIMIT, 500, 500), { type: 'granted' })
  assert.equal(takeUnits(bucket, LIMIT, 2_000, 60_000), { type: 'granted' })
  assert.is(takeUnits(bucket, LIMIT, 1, 60_000).type, 'refused')
})

test('a request larger than the burst empties the bucket and leaves it negative', () => {
  const bucket = createKnownBucket()
  assert.is(takeUnits(bucket, LIMIT, 5_000, 2_000).type, 'granted')
  assert.is(takeUnits(bucket, LIMIT, 100, 5_000).type, 'refused')
  assert.is(takeUnits(bucket, LIMIT, 100, 5_100).type, 'granted')
})

test('refused requests get increasing retry delays at which they are granted', () => {
  const bucket = createKnownBucket()
  const retryTimesMs: number[] = []
  for (let i = 0; i < 20; i++) {
    const outcome = takeUnits(bucket, LIMIT, 300, 0)
    if (outcome.type === 'refused') retryTimesMs.push(outcome.retryAfterMs)
  }
  assert.is(retryTimesMs.length, 20)
  for (const atMs of retryTimesMs) assert.is(takeUnits(bucket, LIMIT, 300, atMs + 0.001).type, 'granted', `at ${atMs}`)
})

test('returned units may be taken again, up to the burst size', () => {
  const bucket = createKnownBucket()
  takeUnits(bucket, LIMIT, 2_000, 2_000)
  giveBackUnits(bucket, LIMIT, 2_000, 2_000)
  giveBackUnits(bucket, LIMIT, 2_000, 2_000)
  assert.is(takeUnits(bucket, LIMIT, 2_000, 2_000).type, 'granted')
  assert.is(takeUnits(bucket, LIMIT, 1, 2_000).type, 'refused')
})

test('a lower limit caps the units in the bucket immediately, a higher one fills it from then on', () => {
  const bucket = createKnownBucket()
  takeUnits(bucket, LIMIT, 1, 10_000)
  assert.is(takeUnits(bucket, { unitsPerS: 100, burstUnits: 200 }, 1_999, 10_000).type, 'granted')
  assert.is(takeUnits(bucket, { unitsPerS: 100, burstUnits: 200 }, 1, 10_000).type, 'refused')
  assert.is(takeUnits(bucket, { unitsPerS: 10_000, burstUnits: 10_000 }, 3_000, 11_000).type, 'granted')
})

test('a clock that goes back does not fill the bucket twice', () => {
  const bucket = createKnownBucket()
  assert.is(takeUnits(bucket, LIMIT, 2_000, 2_000).type, 'granted')
  takeUnits(bucket, LIMIT, 1, 1_000)
  assert.is(takeUnits(bucket, LIMIT, 2_000, 3_000).type, 'refused')
})

test('no window exceeds the rate plus one burst, and 98 percent of the rate is granted to steady excess traffic', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const draw = createDraw(seed)
    const bucket = createKnownBucket()
    const grants: Array<{ readonly atMs: number, readonly units: number }> = []
    for (let atMs = 0; atMs < 60_000; atMs += draw() * 20) {
      const units = 1 + Math.floor(draw() * 300)
      if (takeUnits(bucket, LIMIT, units, atMs).type === 'granted') grants.push({ atMs, units })
    }
    for (const { atMs } of grants) {
      const inWindow = grants.filter((grant) => grant.atMs >= atMs && grant.atMs < atMs + 8_000).reduce((sum, { units }) => sum + units, 0)
      assert.ok(inWindow <= 8 * LIMIT.unitsPerS + LIMIT.burstUnits, `seed ${seed}: ${inWindow}`)
    }
    const total = grants.reduce((sum, { units }) => sum + units, 0)
    assert.ok(total > 0.98 * 60 * LIMIT.unitsPerS, `seed ${seed}: ${total}`)
  }
})

test('the granted units do not drift over an hour', () => {
  const bucket = createKnownBucket()
  let granted = 0
  for (let atMs = 0; atMs < 3_600_000; atMs += 7.3) if (takeUnits(bucket, LIMIT, 7, atMs).type === 'granted') granted += 7
  assert.ok(Math.abs(granted - 7 * 3_600_000 / 7.3) < 1_000, String(granted))
})

test.run()
