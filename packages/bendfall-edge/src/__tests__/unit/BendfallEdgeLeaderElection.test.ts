import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Clock } from 'bendfall-node'
import { createLogger, createSystemClock } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort, LeaseOutcome, WriteOutcome } from 'bendfall-platform'
import { joinElection } from '../../pools/BendfallEdgeLeaderElection.js'
import type { LeaderElection } from '../../pools/BendfallEdgeLeaderElection.js'
import { createVirtualClock } from './VirtualClock.js'

const KEY = 'duty'
const SILENT = createLogger({ level: 'error', write: () => {} })

interface FakeStore {
  readonly port: KeyValuePort
  entry: KeyValueEntry | undefined
  renewals: LeaseOutcome[]
  writeOutcome: WriteOutcome['type']
}

/** Creates a key-value service that stores a single key. */
function createFakeStore (): FakeStore {
  let revision = 7
  let nextLease = 1
  const store: FakeStore = { port: {} as KeyValuePort, entry: undefined, renewals: [], writeOutcome: 'applied' }
  const granted = (leaseId: string): LeaseOutcome => ({ type: 'granted', leaseId, ttlMs: 3_000 })
  const port: Partial<KeyValuePort> = {
    get: async () => store.entry === undefined ? { type: 'missing', storeRevision: revision } : { type: 'found', entry: store.entry },
    grantLease: async () => granted(String(nextLease++)),
    renewLease: async (leaseId) => store.renewals.shift() ?? granted(leaseId),
    revokeLease: async (leaseId) => {
      if (store.entry?.leaseId === leaseId) store.entry = undefined
      return granted(leaseId)
    },
    compareAndSwap: async ({ key, leaseId, value }) => {
      if (store.entry !== undefined) return { type: 'conflict', currentRevision: store.entry.revision }
      revision += 1
      store.entry = { key, value: value ?? '', revision, leaseId }
      return store.writeOutcome === 'unknown' ? { type: 'unknown', detail: 'answer lost' } : { type: 'applied', revision }
    }
  }
  return Object.assign(store, { port: port as KeyValuePort })
}

/** Creates a clock that runs 50 times as fast as real time. */
function createFastClock (): Clock {
  const real = createSystemClock()
  const SPEED = 50
  return { nowMs: () => real.nowMs() * SPEED, wallMs: real.wallMs, callAt: (atMs, callback) => real.callAt(atMs / SPEED, callback) }
}

function joinAs ({ port }: FakeStore, holder: string, clock: Clock = createFastClock()): LeaderElection {
  return joinElection({ port, clock, logger: SILENT, key: KEY, holder })
}

test('one of two processes is elected; its fencing token is the revision of its key', async () => {
  const store = createFakeStore()
  const first = joinAs(store, 'a')
  await sleep(10)
  const second = joinAs(store, 'b')
  await sleep(30)
  assert.is(first.fence(), 8)
  assert.is(second.fence(), undefined)
  first.close()
  second.close()
})

test('the next leader has a higher fencing token', async () => {
  const store = createFakeStore()
  const first = joinAs(store, 'a')
  await sleep(10)
  const second = joinAs(store, 'b')
  first.close()
  await sleep(600)
  assert.is(first.fence(), undefined)
  assert.is(second.fence(), 9)
  second.close()
})

test('a write whose response was lost is verified by a read', async () => {
  const store = createFakeStore()
  store.writeOutcome = 'unknown'
  const election = joinAs(store, 'a')
  await sleep(10)
  assert.is(election.fence(), 8)
  election.close()
})

test('a leader whose lease lapsed stops', async () => {
  const store = createFakeStore()
  const election = joinAs(store, 'a')
  await sleep(10)
  store.renewals = [{ type: 'lapsed' }]
  store.entry = { key: KEY, value: 'b', revision: 20, leaseId: '99' }
  await sleep(60)
  assert.is(election.fence(), undefined)
  election.close()
})

// Uses virtual time: at a load average of 31 on 16 cores, 15 ms on the clock that runs 50 times as fast
// as real time took longer than the lease.
test('a leader without responses from the service stops before its lease could lapse', async () => {
  const store = createFakeStore()
  const clock = createVirtualClock()
  const election = joinAs(store, 'a', clock)
  await clock.advance(500)
  store.renewals = Array.from({ length: 10 }, () => ({ type: 'unavailable', detail: 'down' }))
  await clock.advance(750)
  assert.is(election.fence(), 8)
  await clock.advance(1_750)
  assert.is(election.fence(), undefined)
  election.close()
})

test('a leader that was fenced steps down at once', async () => {
  const store = createFakeStore()
  const election = joinAs(store, 'a')
  await sleep(10)
  election.stepDown()
  assert.is(election.fence(), undefined)
  election.close()
})

// Before the interval was doubled, each of 68 processes checked every 2.5 s, which made 27 calls per second.
test('a candidate checks less often while another process is the leader, and is elected after that one resigns', async () => {
  const store = createFakeStore()
  const leader = joinAs(store, 'a')
  await sleep(10)
  let checks = 0
  const { get } = store.port
  const countingPort = { ...store.port, get: (...args: Parameters<typeof get>) => { checks += 1; return get(...args) } }
  const candidate = joinAs({ ...store, port: countingPort }, 'b')
  await sleep(1_200)
  assert.ok(checks <= 12, `${checks} checks in 60 s`)
  leader.close()
  await sleep(500)
  assert.ok(candidate.fence() !== undefined)
  candidate.close()
})

test('a leader that was suspended for longer than its lease does not act before it has renewed the lease', async () => {
  const store = createFakeStore()
  const clock = createVirtualClock()
  const election = joinAs(store, 'a', clock)
  await clock.advance(10)
  assert.is(election.fence(), 8)
  clock.suspend(4_000)
  assert.is(election.fence(), undefined)
  store.renewals.push({ type: 'lapsed' })
  await clock.advance(1_000)
  assert.is(election.fence(), undefined)
  election.close()
})

test('a leader whose wall clock was set forward acts again once it has renewed its lease', async () => {
  const store = createFakeStore()
  const clock = createVirtualClock()
  const election = joinAs(store, 'a', clock)
  await clock.advance(10)
  clock.suspend(60_000)
  await clock.advance(1_000)
  assert.is(election.fence(), 8)
  election.close()
})

test.run()
