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
const ASK: PermitRequest = { processName: 'a1/1', entry: 'entry-1', perS: 10, heardAgoMs: 0, sentAgoMs: 10, wanted: 100, returned: 0, sentBefore: 0 }

interface Scene {
  readonly clock: VirtualClock
  readonly duty: PermitElection
  readonly written: Map<string, string>
  isStoreAway: boolean
  place: LeaderEndpoint | undefined
}

/** An entry whose duty is free, before a store that can go away. */
async function createScene (): Promise<Scene> {
  const clock = createVirtualClock()
  const written = new Map<string, string>()
  const scene: Partial<Scene> & Pick<Scene, 'isStoreAway' | 'place'> = { isStoreAway: false, place: undefined }
  const whenThere = async <T>(answer: T): Promise<T | { type: 'unavailable', detail: string }> => scene.isStoreAway ? { type: 'unavailable', detail: 'away' } : answer
  const port = {
    get: async (key: string) => {
      const value = written.get(key)
      const entry: KeyValueEntry | undefined = value === undefined ? undefined : { key, value, revision: 1, leaseId: '' }
      return await whenThere<ReadOutcome>(entry === undefined ? { type: 'missing', storeRevision: 1 } : { type: 'found', entry })
    },
    grantLease: async () => await whenThere<LeaseOutcome>({ type: 'granted', leaseId: '1', ttlMs: 2_000 }),
    renewLease: async () => await whenThere<LeaseOutcome>({ type: 'granted', leaseId: '1', ttlMs: 2_000 }),
    revokeLease: async () => await whenThere<LeaseOutcome>({ type: 'granted', leaseId: '1', ttlMs: 2_000 }),
    compareAndSwap: async ({ key, value }: { readonly key: string, readonly value?: string }) => {
      if (!scene.isStoreAway) written.set(key, value ?? '')
      return await whenThere<WriteOutcome>({ type: 'applied', revision: 2 })
    }
  } as unknown as KeyValuePort
  const duty = joinPermitElection({ port, clock, logger: createLogger({ level: 'error', write: () => {} }), own: OWN, currentLeader: () => scene.place })
  Object.assign(scene, { clock, duty, written })
  await clock.advance(2_000)
  scene.place = OWN
  return scene as Scene
}

/** Permits that an entry gets within a time. */
async function leaseFor ({ clock, duty }: Scene, ms: number): Promise<number> {
  let permits = 0
  for (let passedMs = 0; passedMs < ms; passedMs += 100) {
    await clock.advance(100)
    const outcome = duty.lease(ASK)
    if (outcome.type === 'leased') permits += outcome.permits
  }
  return permits
}

test('an entry that holds the duty leases permits at the rate that the replica names', async () => {
  const scene = await createScene()
  assert.ok(scene.duty.holds())
  await leaseFor(scene, 1_000)
  assert.is(await leaseFor(scene, 2_000), 20)
  scene.duty.close()
})

test('a keeper that does not reach the store leases a quarter for ten seconds, though nobody asked before', async () => {
  const scene = await createScene()
  await scene.clock.advance(60_000)
  scene.isStoreAway = true
  await scene.clock.advance(3_000)
  assert.not.ok(scene.duty.holds())
  await leaseFor(scene, 2_000)
  assert.is(await leaseFor(scene, 4_000), 10)
  await scene.clock.advance(6_000)
  assert.is(await leaseFor(scene, 1_000), 0)
  scene.duty.close()
})

test('a keeper that knows of another one leases nothing after its lease', async () => {
  const scene = await createScene()
  scene.isStoreAway = true
  await scene.clock.advance(3_000)
  scene.place = OTHER
  assert.is(await leaseFor(scene, 2_000), 0)
  scene.duty.close()
})

test('an entry that leaves the duty leases nothing', async () => {
  const scene = await createScene()
  scene.duty.close()
  assert.is(await leaseFor(scene, 1_000), 0)
})

test('the limits that replicas name are written down when they change', async () => {
  const scene = await createScene()
  scene.duty.lease(ASK)
  await scene.clock.advance(1_000)
  assert.is(scene.written.get(LIMITS_KEY), JSON.stringify({ limits: [{ processName: 'a1/1', perS: 10 }] }))
  scene.duty.lease({ ...ASK, perS: undefined, wanted: 0 })
  await scene.clock.advance(1_000)
  assert.is(scene.written.get(LIMITS_KEY), JSON.stringify({ limits: [] }))
  scene.duty.close()
})

test.run()
