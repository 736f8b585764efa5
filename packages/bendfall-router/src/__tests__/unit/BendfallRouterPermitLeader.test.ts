import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPermitLeaderState, leasePermits } from '../../index.js'
import type { PermitRequest, PermitLeaderState, PermitOutcome } from '../../index.js'

type LeasedOutcome = Extract<PermitOutcome, { type: 'leased' }>

const REQUEST: PermitRequest = { processName: 'a1/1', entry: 'e1', perS: 5, heardAgoMs: 0, sentAgoMs: 50, wanted: 1, returned: 0, sentBefore: 0 }

function lease (leader: PermitLeaderState, nowMs: number, change: Partial<PermitRequest> = {}, share?: number): LeasedOutcome {
  return leasePermits(leader, { ...REQUEST, ...change }, nowMs, share) as LeasedOutcome
}

/** Counts the permits of an entry that requests 100 permits every 20 ms. */
function leaseFor (leader: PermitLeaderState, fromMs: number, untilMs: number, change: Partial<PermitRequest> = {}, share?: number): number {
  let permits = 0
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 20) permits += lease(leader, nowMs, { wanted: 100, ...change }, share).permits
  return permits
}

test('a newly elected leader has one permit of each limit, and a full burst after a long time without leases', () => {
  const permitsAt = (nowMs: number): number => {
    const leader = createPermitLeaderState(0)
    return [1, 2, 3, 4].reduce((sum) => sum + lease(leader, nowMs).permits, 0)
  }
  assert.is(permitsAt(0), 1)
  assert.is(permitsAt(20_000), 3)
})

test('permits are leased at the rate that the replica advertises', () => {
  const leader = createPermitLeaderState(0)
  leaseFor(leader, 0, 2_000)
  assert.is(leaseFor(leader, 2_000, 12_000), 50)
})

test('entries without a permit get increasing times until the next free permit', () => {
  const leader = createPermitLeaderState(0)
  while (lease(leader, 2_000, { wanted: 100 }).permits > 0);
  const delays = ['e1', 'e2', 'e3'].map((entry) => Math.round(lease(leader, 2_000, { entry }).nextInMs))
  assert.equal(delays, [400, 600, 800])
})

test('retry times given to entries that stopped requesting do not delay later requests', () => {
  const leader = createPermitLeaderState(0)
  leaseFor(leader, 0, 2_000)
  while (lease(leader, 6_000, { wanted: 100 }).permits > 0);
  assert.is(Math.round(lease(leader, 6_000).nextInMs), 400)
})

test('a limit of zero allows one permit every five seconds', () => {
  const leader = createPermitLeaderState(0)
  leaseFor(leader, 0, 10_000, { perS: 0 })
  const permits = leaseFor(leader, 10_000, 30_000, { perS: 0 })
  assert.ok(permits >= 3 && permits <= 4, String(permits))
})

test('permits that expired unused are leased again', () => {
  const leader = createPermitLeaderState(0)
  leaseFor(leader, 0, 2_000)
  assert.is(lease(leader, 2_001, { returned: 1 }).permits, 1)
})

test('sends from before the limit was known are withheld from the first permits, unless they alone far exceed the bound', () => {
  const held = (sentBefore: number): number => {
    const leader = createPermitLeaderState(0)
    lease(leader, 10_000, { sentBefore, wanted: 0 })
    return leaseFor(leader, 10_000, 13_000)
  }
  assert.is(held(0) - held(20), 8)
  assert.is(held(0), held(200))
})

// Guards against a limited replica without requests for longer than the window in which the earlier sends count.
test('permits are withheld only until the sends for which they are have left the window', () => {
  const leader = createPermitLeaderState(0)
  assert.is(lease(leader, 10_000, { sentBefore: 50 }).permits, 0)
  assert.is(leaseFor(leader, 10_000, 13_980), 0)
  assert.ok(lease(leader, 13_980).nextInMs <= 20)
  assert.ok(leaseFor(leader, 14_000, 18_000) >= 19)
})

test('a leader whose lease expired leases only its share of the permits', () => {
  const leader = createPermitLeaderState(0)
  leaseFor(leader, 0, 2_000, {}, 0.25)
  assert.is(leaseFor(leader, 2_000, 10_000, {}, 0.25), 10)
})

test('the newest advertised limit applies; a higher one only if its request was sent after the previous one was received', () => {
  const leader = createPermitLeaderState(0)
  lease(leader, 10_000)
  assert.is(lease(leader, 10_100, { perS: 50, sentAgoMs: 200 }).perS, 5)
  assert.is(lease(leader, 10_100, { perS: 2, sentAgoMs: 200 }).perS, 2)
  assert.is(lease(leader, 10_200, { perS: 50, sentAgoMs: 50 }).perS, 50)
  assert.is(lease(leader, 10_300, { perS: 3, heardAgoMs: 200, sentAgoMs: 250 }).perS, 50)
})

test('a lifted limit is reported to entries that still know the limit', () => {
  const leader = createPermitLeaderState(0)
  lease(leader, 10_000)
  lease(leader, 10_100, { perS: undefined, wanted: 0 })
  const { heardAgoMs, perS } = lease(leader, 10_200, { entry: 'e2', heardAgoMs: 300, sentAgoMs: 350 })
  assert.is(perS, undefined)
  assert.is(heardAgoMs, 100)
})

test('the leader counts the entries that recently requested permits', () => {
  const leader = createPermitLeaderState(0)
  for (const entry of ['e1', 'e2', 'e3']) lease(leader, 10_000, { entry })
  assert.is(lease(leader, 10_500).entries, 3)
  assert.is(lease(leader, 13_000).entries, 1)
})

test.run()
