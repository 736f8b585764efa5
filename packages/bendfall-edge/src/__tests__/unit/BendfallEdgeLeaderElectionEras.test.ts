import { createLogger } from 'bendfall-node'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { joinElection } from '../../pools/BendfallEdgeLeaderElection.js'
import type { LeaderElection } from '../../pools/BendfallEdgeLeaderElection.js'
import { createEraStore } from './EraStore.js'
import type { EraStore } from './EraStore.js'
import { createVirtualClock } from './VirtualClock.js'
import type { VirtualClock } from './VirtualClock.js'

const SILENT = createLogger({ level: 'error', write: () => {} })
const STEP_MS = 20

/** Creates a seeded pseudo-random generator of numbers from 0 to 1 (mulberry32). */
function createRandom (seed: number): { readonly next: () => number } {
  let state = seed
  return {
    next: () => {
      state = (state + 0x6d2b79f5) | 0
      let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
      mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
      return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
    }
  }
}

interface Candidate {
  readonly client: ReturnType<EraStore['join']>
  readonly lease: LeaderElection
}

function startCandidates (clock: VirtualClock, store: EraStore, count: number): Candidate[] {
  return Array.from({ length: count }, (_, index) => {
    const client = store.join()
    return { client, lease: joinElection({ port: client.port, clock, logger: SILENT, key: 'duty', holder: `p${index}` }) }
  })
}

test('a leader that learns of a new era stops at once, and no process is elected for the duration of a lease', async () => {
  const clock = createVirtualClock()
  const store = createEraStore(clock)
  const [candidate] = startCandidates(clock, store, 1) as [Candidate]
  await clock.advance(12_000)
  const previousToken = candidate.lease.fence() ?? 0
  assert.ok(previousToken > 0)
  store.restore()
  await clock.advance(1_000)
  assert.is(candidate.lease.fence(), undefined)
  await clock.advance(1_900)
  assert.is(candidate.lease.fence(), undefined)
  await clock.advance(12_000)
  assert.ok((candidate.lease.fence() ?? 0) > previousToken)
  candidate.lease.close()
})

test('a leader that was fenced is re-elected with a higher fencing token', async () => {
  const clock = createVirtualClock()
  const store = createEraStore(clock)
  const [candidate] = startCandidates(clock, store, 1) as [Candidate]
  await clock.advance(12_000)
  const previousToken = candidate.lease.fence() ?? 0
  candidate.lease.stepDown()
  assert.is(candidate.lease.fence(), undefined)
  await clock.advance(6_000)
  assert.ok((candidate.lease.fence() ?? 0) > previousToken)
  candidate.lease.close()
})

// After the loss of all entries there was no leader of the allotments for five seconds, in which each
// starting process waited for a leader of a previous era, and all customer requests were refused.
test('a starting process is elected at once if it is recorded that the era has lasted for the length of a lease', async () => {
  const clock = createVirtualClock()
  const store = createEraStore(clock)
  const [first] = startCandidates(clock, store, 1) as [Candidate]
  await clock.advance(12_000)
  first.lease.close()
  await clock.advance(100)
  const [second] = startCandidates(clock, store, 1) as [Candidate]
  await clock.advance(100)
  assert.ok(second.lease.fence() !== undefined)
  second.lease.close()
})

test('a starting process waits if it is not recorded that the era has lasted for the length of a lease', async () => {
  const clock = createVirtualClock()
  const store = createEraStore(clock)
  const [first] = startCandidates(clock, store, 1) as [Candidate]
  await clock.advance(12_000)
  first.lease.close()
  store.restore()
  const [second] = startCandidates(clock, store, 1) as [Candidate]
  await clock.advance(2_900)
  assert.is(second.lease.fence(), undefined)
  await clock.advance(6_000)
  assert.ok(second.lease.fence() !== undefined)
  second.lease.close()
})

// A previous leader that receives no responses competes with starting processes. Each step may begin
// a new era, slow down or block responses, or start or stop a process.
for (let seed = 101; seed <= 160; seed++) {
  test(`at most one process is the leader while others start (seed ${seed})`, async () => {
    const random = createRandom(seed)
    const clock = createVirtualClock()
    const store = createEraStore(clock)
    const candidates = startCandidates(clock, store, 2)
    for (let atMs = 0; atMs < 40_000; atMs += STEP_MS) {
      if (random.next() < 0.005) store.restore()
      if (random.next() < 0.02) for (const { client } of candidates) client.latencyMs = 4
      if (random.next() < 0.02) (candidates[Math.floor(random.next() * candidates.length)] as Candidate).client.latencyMs = random.next() < 0.5 ? Infinity : 4 + random.next() * 1_500
      if (random.next() < 0.02) candidates.push(...startCandidates(clock, store, 1))
      if (random.next() < 0.02 && candidates.length > 1) candidates.splice(Math.floor(random.next() * candidates.length), 1)[0]?.lease.close()
      await clock.advance(STEP_MS)
      const tokens = candidates.flatMap(({ lease }) => lease.fence() ?? [])
      assert.ok(tokens.length <= 1, `two leaders at ${atMs} ms`)
    }
    for (const { lease } of candidates) lease.close()
  })
}

// Runs 40 s with random sequences of eras and of slow or lost responses, and checks at each step which
// process may act and with which token.
for (let seed = 1; seed <= 60; seed++) {
  test(`at most one process is the leader at a time, and fencing tokens never decrease (seed ${seed})`, async () => {
    const random = createRandom(seed)
    const clock = createVirtualClock()
    const store = createEraStore(clock)
    const candidates = startCandidates(clock, store, 2 + seed % 3)
    let lastToken = 0
    for (let atMs = 0; atMs < 40_000; atMs += STEP_MS) {
      if (random.next() < 0.004) store.restore()
      if (random.next() < 0.01) for (const { client } of candidates) client.latencyMs = 4
      if (random.next() < 0.01) (candidates[Math.floor(random.next() * candidates.length)] as Candidate).client.latencyMs = random.next() < 0.5 ? Infinity : 4 + random.next() * 1_500
      await clock.advance(STEP_MS)
      const tokens = candidates.flatMap(({ lease }) => lease.fence() ?? [])
      assert.ok(tokens.length <= 1, `two leaders at ${atMs} ms`)
      const [token = lastToken] = tokens
      assert.ok(token >= lastToken, `token ${token} after ${lastToken} at ${atMs} ms`)
      lastToken = token
    }
    for (const { lease } of candidates) lease.close()
  })
}

test.run()
