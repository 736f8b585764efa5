import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPermitLeaderState, leasePermits } from '../../index.js'
import type { PermitRequest, PermitLeaderState, PermitOutcome } from '../../index.js'

type Leased = Extract<PermitOutcome, { type: 'leased' }>

const ASK: PermitRequest = { processName: 'a1/1', entry: 'e1', perS: 5, heardAgoMs: 0, sentAgoMs: 50, wanted: 1, returned: 0, sentBefore: 0 }

function lease (keeper: PermitLeaderState, nowMs: number, change: Partial<PermitRequest> = {}, share?: number): Leased {
  return leasePermits(keeper, { ...ASK, ...change }, nowMs, share) as Leased
}

/** Permits of an entry that asks for all it can get, every 20 ms. */
function leaseFor (keeper: PermitLeaderState, fromMs: number, untilMs: number, change: Partial<PermitRequest> = {}, share?: number): number {
  let permits = 0
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 20) permits += lease(keeper, nowMs, { wanted: 100, ...change }, share).permits
  return permits
}

test('a keeper whose duty is new has one permit of each limit, one that has leased nothing for long a burst', () => {
  const permitsAt = (nowMs: number): number => {
    const keeper = createPermitLeaderState(0)
    return [1, 2, 3, 4].reduce((sum) => sum + lease(keeper, nowMs).permits, 0)
  }
  assert.is(permitsAt(0), 1)
  assert.is(permitsAt(20_000), 3)
})

test('permits come at the rate that the replica names', () => {
  const keeper = createPermitLeaderState(0)
  leaseFor(keeper, 0, 2_000)
  assert.is(leaseFor(keeper, 2_000, 12_000), 50)
})

test('an entry without a permit is told when the next one is free, and the next entry a later time', () => {
  const keeper = createPermitLeaderState(0)
  while (lease(keeper, 2_000, { wanted: 100 }).permits > 0);
  const told = ['e1', 'e2', 'e3'].map((entry) => Math.round(lease(keeper, 2_000, { entry }).nextInMs))
  assert.equal(told, [400, 600, 800])
})

test('a crowd of entries that is gone keeps nobody waiting', () => {
  const keeper = createPermitLeaderState(0)
  leaseFor(keeper, 0, 2_000)
  while (lease(keeper, 6_000, { wanted: 100 }).permits > 0);
  assert.is(Math.round(lease(keeper, 6_000).nextInMs), 400)
})

test('one that takes nothing is asked every five seconds', () => {
  const keeper = createPermitLeaderState(0)
  leaseFor(keeper, 0, 10_000, { perS: 0 })
  const permits = leaseFor(keeper, 10_000, 30_000, { perS: 0 })
  assert.ok(permits >= 3 && permits <= 4, String(permits))
})

test('permits that lapsed unused are leased again', () => {
  const keeper = createPermitLeaderState(0)
  leaseFor(keeper, 0, 2_000)
  assert.is(lease(keeper, 2_001, { returned: 1 }).permits, 1)
})

test('sends that had no permit are held back, unless they are far over the bound alone', () => {
  const held = (sentBefore: number): number => {
    const keeper = createPermitLeaderState(0)
    lease(keeper, 10_000, { sentBefore, wanted: 0 })
    return leaseFor(keeper, 10_000, 13_000)
  }
  assert.is(held(0) - held(20), 8)
  assert.is(held(0), held(200))
})

test('a keeper whose lease lapsed leases its share', () => {
  const keeper = createPermitLeaderState(0)
  leaseFor(keeper, 0, 2_000, {}, 0.25)
  assert.is(leaseFor(keeper, 2_000, 10_000, {}, 0.25), 10)
})

test('the word that was heard last counts, a looser one only if it was asked for after that', () => {
  const keeper = createPermitLeaderState(0)
  lease(keeper, 10_000)
  assert.is(lease(keeper, 10_100, { perS: 50, sentAgoMs: 200 }).perS, 5)
  assert.is(lease(keeper, 10_100, { perS: 2, sentAgoMs: 200 }).perS, 2)
  assert.is(lease(keeper, 10_200, { perS: 50, sentAgoMs: 50 }).perS, 50)
  assert.is(lease(keeper, 10_300, { perS: 3, heardAgoMs: 200, sentAgoMs: 250 }).perS, 50)
})

test('a lifted limit is told to those who still know it', () => {
  const keeper = createPermitLeaderState(0)
  lease(keeper, 10_000)
  lease(keeper, 10_100, { perS: undefined, wanted: 0 })
  const { heardAgoMs, perS } = lease(keeper, 10_200, { entry: 'e2', heardAgoMs: 300, sentAgoMs: 350 })
  assert.is(perS, undefined)
  assert.is(heardAgoMs, 100)
})

test('entries that ask are counted', () => {
  const keeper = createPermitLeaderState(0)
  for (const entry of ['e1', 'e2', 'e3']) lease(keeper, 10_000, { entry })
  assert.is(lease(keeper, 10_500).entries, 3)
  assert.is(lease(keeper, 13_000).entries, 1)
})

test.run()
