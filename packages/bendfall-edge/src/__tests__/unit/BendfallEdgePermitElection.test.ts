import { createLogger } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort, LeaseOutcome, ReadOutcome, WriteOutcome } from 'bendfall-platform'
import type { PermitRequest } from 'bendfall-router'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LIMITS_KEY } from '../../limits/BendfallEdgeLimitDocument.js'
import { joinPermitElection } from '../../limits/BendfallEdgePermitElection.js'
import type { PermitElection } from '../../limits/BendfallEdgePermitElection.js'
import type { LeaderEndpoint } from '../../peer/BendfallEdgeLeaderEndpoint.js'
import { createVirtualClock } from './VirtualClock.js'
import type { VirtualClock } from './VirtualClock.js'

const OWN: LeaderEndpoint = { instanceId: 'entry-1', address: '127.0.0.1:1' }
const OTHER: LeaderEndpoint = { instanceId: 'entry-2', address: '127.0.0.1:2' }
const REQUEST: PermitRequest = { processName: 'a1/1', entry: 'entry-1', perS: 10, heardAgoMs: 0, sentAgoMs: 10, wanted: 100, returned: 0, sentBefore: 0 }

interface Harness {
  readonly clock: VirtualClock
  readonly election: PermitElection
  readonly written: Map<string, string>
  isStoreUnavailable: boolean
  leader: LeaderEndpoint | undefined
}

/** Creates an entry that is elected as leader, with a store that can become unavailable. */
async function createHarness (): Promise<Harness> {
  const clock = createVirtualClock()
  const written = new Map<string, string>()
  const harness: Partial<Harness> & Pick<Harness, 'isStoreUnavailable' | 'leader'> = { isStoreUnavailable: false, leader: undefined }
  const unlessUnavailable = async <T>(outcome: T): Promise<T | { type: 'unavailable', detail: string }> => harness.isStoreUnavailable ? { type: 'unavailable', detail: 'away' } : outcome
  const port = {
    get: async (key: string) => {
      const value = written.get(key)
      const entry: KeyValueEntry | undefined = value === undefined ? undefined : { key, value, revision: 1, leaseId: '' }
      return await unlessUnavailable<ReadOutcome>(entry === undefined ? { type: 'missing', storeRevision: 1 } : { type: 'found', entry })
    },
    grantLease: async () => await unlessUnavailable<LeaseOutcome>({ type: 'granted', leaseId: '1', ttlMs: 2_000 }),
    renewLease: async () => await unlessUnavailable<LeaseOutcome>({ type: 'granted', leaseId: '1', ttlMs: 2_000 }),
    revokeLease: async () => await unlessUnavailable<LeaseOutcome>({ type: 'granted', leaseId: '1', ttlMs: 2_000 }),
    compareAndSwap: async ({ key, value }: { readonly key: string, readonly value?: string }) => {
      if (!harness.isStoreUnavailable) written.set(key, value ?? '')
      return await unlessUnavailable<WriteOutcome>({ type: 'applied', revision: 2 })
    }
  } as unknown as KeyValuePort
  const election = joinPermitElection({ port, clock, logger: createLogger({ level: 'error', write: () => {} }), own: OWN, currentLeader: () => harness.leader })
  Object.assign(harness, { clock, election, written })
  await clock.advance(2_000)
  harness.leader = OWN
  return harness as Harness
}

/** Requests permits every 100 ms for a time and returns the number leased. */
async function leasePermits ({ clock, election }: Harness, ms: number): Promise<number> {
  let permits = 0
  for (let passedMs = 0; passedMs < ms; passedMs += 100) {
    await clock.advance(100)
    const outcome = election.lease(REQUEST)
    if (outcome.type === 'leased') permits += outcome.permits
  }
  return permits
}

test('the leader leases permits at the rate that the replica advertises', async () => {
  const harness = await createHarness()
  assert.ok(harness.election.holds())
  await leasePermits(harness, 1_000)
  assert.is(await leasePermits(harness, 2_000), 20)
  harness.election.close()
})

test('a leader that cannot reach the store leases a quarter of the rate for ten seconds, even without earlier requests', async () => {
  const harness = await createHarness()
  await harness.clock.advance(60_000)
  harness.isStoreUnavailable = true
  await harness.clock.advance(3_000)
  assert.not.ok(harness.election.holds())
  await leasePermits(harness, 2_000)
  assert.is(await leasePermits(harness, 4_000), 10)
  await harness.clock.advance(6_000)
  assert.is(await leasePermits(harness, 1_000), 0)
  harness.election.close()
})

test('a leader that knows of its successor leases nothing after its lease has lapsed', async () => {
  const harness = await createHarness()
  harness.isStoreUnavailable = true
  await harness.clock.advance(3_000)
  harness.leader = OTHER
  assert.is(await leasePermits(harness, 2_000), 0)
  harness.election.close()
})

test('an entry that has left the election leases nothing', async () => {
  const harness = await createHarness()
  harness.election.close()
  assert.is(await leasePermits(harness, 1_000), 0)
})

test('the limits that replicas advertise are stored when they change', async () => {
  const harness = await createHarness()
  harness.election.lease(REQUEST)
  await harness.clock.advance(1_000)
  assert.is(harness.written.get(LIMITS_KEY), JSON.stringify({ limits: [{ processName: 'a1/1', perS: 10 }] }))
  harness.election.lease({ ...REQUEST, perS: undefined, wanted: 0 })
  await harness.clock.advance(1_000)
  assert.is(harness.written.get(LIMITS_KEY), JSON.stringify({ limits: [] }))
  harness.election.close()
})

test.run()
