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

/** An empty bucket of which nothing is in doubt. */
function knownBucket (): TokenBucket {
  return { ...createBucket(LIMIT, 0), unknownUnits: 0 }
}

test('a bucket that was just made refuses nothing for certain that a full one would grant', () => {
  const bucket = createBucket(LIMIT, 0)
  assert.is(takeUnits(bucket, LIMIT, 500, 0).type, 'uncertain')
  assert.is(takeUnits(bucket, LIMIT, 500, 500).type, 'granted')
  assert.is(takeUnits(bucket, LIMIT, 1_500, 500).type, 'uncertain')
  assert.is(takeUnits(bucket, LIMIT, 1_501, 500).type, 'refused')
  assert.is(takeUnits(bucket, LIMIT, 1_500, 2_000).type, 'granted')
  assert.is(takeUnits(bucket, LIMIT, 1, 2_000).type, 'refused')
})

test('a bucket begins empty and fills to its burst', () => {
  const bucket = knownBucket()
  assert.equal(takeUnits(bucket, LIMIT, 500, 0), { type: 'refused', retryAfterMs: 500 })
  assert.equal(takeUnits(bucket, LIMIT, 500, 500), { type: 'granted' })
  assert.equal(takeUnits(bucket, LIMIT, 2_000, 60_000), { type: 'granted' })
  assert.is(takeUnits(bucket, LIMIT, 1, 60_000).type, 'refused')
})

test('a request that is larger than the burst takes all and leaves a debt', () => {
  const bucket = knownBucket()
  assert.is(takeUnits(bucket, LIMIT, 5_000, 2_000).type, 'granted')
  assert.is(takeUnits(bucket, LIMIT, 100, 5_000).type, 'refused')
  assert.is(takeUnits(bucket, LIMIT, 100, 5_100).type, 'granted')
})

test('those who are refused are told times one after the other, at which they fit', () => {
  const bucket = knownBucket()
  const told: number[] = []
  for (let i = 0; i < 20; i++) {
    const outcome = takeUnits(bucket, LIMIT, 300, 0)
    if (outcome.type === 'refused') told.push(outcome.retryAfterMs)
  }
  assert.is(told.length, 20)
  for (const atMs of told) assert.is(takeUnits(bucket, LIMIT, 300, atMs + 0.001).type, 'granted', `at ${atMs}`)
})

test('what is given back may be taken again, up to the burst', () => {
  const bucket = knownBucket()
  takeUnits(bucket, LIMIT, 2_000, 2_000)
  giveBackUnits(bucket, LIMIT, 2_000, 2_000)
  giveBackUnits(bucket, LIMIT, 2_000, 2_000)
  assert.is(takeUnits(bucket, LIMIT, 2_000, 2_000).type, 'granted')
  assert.is(takeUnits(bucket, LIMIT, 1, 2_000).type, 'refused')
})

test('a lower limit holds at once for what was saved, a higher one fills from then on', () => {
  const bucket = knownBucket()
  takeUnits(bucket, LIMIT, 1, 10_000)
  assert.is(takeUnits(bucket, { unitsPerS: 100, burstUnits: 200 }, 1_999, 10_000).type, 'granted')
  assert.is(takeUnits(bucket, { unitsPerS: 100, burstUnits: 200 }, 1, 10_000).type, 'refused')
  assert.is(takeUnits(bucket, { unitsPerS: 10_000, burstUnits: 10_000 }, 3_000, 11_000).type, 'granted')
})

test('time that goes back fills nothing twice', () => {
  const bucket = knownBucket()
  assert.is(takeUnits(bucket, LIMIT, 2_000, 2_000).type, 'granted')
  takeUnits(bucket, LIMIT, 1, 1_000)
  assert.is(takeUnits(bucket, LIMIT, 2_000, 3_000).type, 'refused')
})

test('no window gets more than its rate and one burst, and of steady traffic below the rate all is granted', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const draw = createDraw(seed)
    const bucket = knownBucket()
    const grants: Array<{ readonly atMs: number, readonly units: number }> = []
    for (let atMs = 0; atMs < 60_000; atMs += draw() * 20) {
      const units = 1 + Math.floor(draw() * 300)
      if (takeUnits(bucket, LIMIT, units, atMs).type === 'granted') grants.push({ atMs, units })
    }
    for (const { atMs } of grants) {
      const inWindow = grants.filter((one) => one.atMs >= atMs && one.atMs < atMs + 8_000).reduce((sum, { units }) => sum + units, 0)
      assert.ok(inWindow <= 8 * LIMIT.unitsPerS + LIMIT.burstUnits, `seed ${seed}: ${inWindow}`)
    }
    const total = grants.reduce((sum, { units }) => sum + units, 0)
    assert.ok(total > 0.98 * 60 * LIMIT.unitsPerS, `seed ${seed}: ${total}`)
  }
})

test('what runs over an hour does not drift', () => {
  const bucket = knownBucket()
  let granted = 0
  for (let atMs = 0; atMs < 3_600_000; atMs += 7.3) if (takeUnits(bucket, LIMIT, 7, atMs).type === 'granted') granted += 7
  assert.ok(Math.abs(granted - 7 * 3_600_000 / 7.3) < 1_000, String(granted))
})

test.run()
