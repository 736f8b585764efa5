import { setTimeout as pause } from 'node:timers/promises'
import * as assert from 'uvu/assert'
import { createKey, judgeBooking } from '../../BendfallFakesClusterCalls.js'
import type { CallVerdict } from '../../BendfallFakesClusterCalls.js'
import type { Cluster } from '../../BendfallFakesCluster.js'
import { createDraw, drawFaults, injectClusterFault, possibleFaults } from '../../BendfallFakesClusterFaults.js'
import type { ClusterFault } from '../../BendfallFakesClusterFaults.js'
import { findBookingViolations } from '../../BendfallFakesClusterViolations.js'
import type { BookingRecord } from '../../BendfallFakesClusterViolations.js'
import { eventually } from '../../BendfallFakesClusterWait.js'
import { assertType, clusterSuite, waitUntilUpstreamsLive } from './ClusterSuite.js'

// More keys than slots, so that each replica is the home of some keys.
const KEYS = 24
const HOME_LEASE_MS = 30_000
const MAX_TAKEOVER_MS = 30_000
const SERVICE_LATENCY_MS = 100
// Duration of a fault, unless the calls during it end sooner.
const FAULT_MS = 2_000
const SEEDS = [11, 23]

const { test, run } = clusterSuite('a call that must not be repeated runs at most once', { services: 2, service: { latencyMs: SERVICE_LATENCY_MS } }, { timings: { instancePollMs: 200, homeLeaseMs: HOME_LEASE_MS } })

let nextName = 0

interface KeyedBooking { readonly name: string, readonly key: string, readonly verdicts: CallVerdict[] }

function createKeyedBookings (count: number): KeyedBooking[] {
  return Array.from({ length: count }, () => {
    nextName += 1
    return { name: `booking-${nextName}`, key: createKey(), verdicts: [] }
  })
}

/** Sends every booking through an entry. */
async function book (cluster: Cluster, entry: string, keyed: readonly KeyedBooking[]): Promise<void> {
  await Promise.all(keyed.map(async (one) => { one.verdicts.push(await judgeBooking(cluster.callers(entry), one)) }))
}

async function bookTwice (cluster: Cluster, keyed: readonly KeyedBooking[]): Promise<void> {
  await Promise.all([book(cluster, 'entry-1', keyed), book(cluster, 'entry-2', keyed)])
}

async function assertRunOnce (cluster: Cluster, keyed: readonly BookingRecord[]): Promise<void> {
  assert.equal(await findBookingViolations(cluster, keyed), [])
}

/** Waits until new keys run whatever their slot, since a home refuses keys that are older than itself. */
async function waitUntilNewKeysRun (cluster: Cluster): Promise<void> {
  await eventually('new keys run', async () => {
    const probes = createKeyedBookings(KEYS)
    await book(cluster, 'entry-1', probes)
    return probes.every(({ verdicts: [verdict] }) => verdict.type === 'answered')
  }, MAX_TAKEOVER_MS)
}

test('concurrent and later repeats through two entries get the response of the only run', async (cluster) => {
  await waitUntilNewKeysRun(cluster)
  const keyed = createKeyedBookings(KEYS)
  await bookTwice(cluster, keyed)
  await bookTwice(cluster, keyed)
  for (const { verdicts } of keyed) {
    verdicts.forEach((verdict) => assertType(verdict, 'answered'))
    assert.is(new Set(verdicts.map((verdict) => JSON.stringify(verdict))).size, 1)
  }
  await assertRunOnce(cluster, keyed)
})

test('repeats of calls whose home was killed while they ran are never run again', async (cluster) => {
  const keyed = createKeyedBookings(KEYS)
  const ongoing = bookTwice(cluster, keyed)
  await eventually('calls run', async () => (await cluster.service('freight-1')).total > 0)
  await cluster.kill('freight-1')
  await book(cluster, 'entry-2', keyed)
  await cluster.restart('freight-1')
  await waitUntilUpstreamsLive(cluster)
  await ongoing
  await bookTwice(cluster, keyed)
  await waitUntilNewKeysRun(cluster)
  await bookTwice(cluster, keyed)
  await assertRunOnce(cluster, keyed)
})

test('calls run at most once when their home is suspended before them and resumed after another took over', async (cluster) => {
  const keyed = createKeyedBookings(KEYS)
  cluster.signal('freight-1', 'SIGSTOP')
  const late = book(cluster, 'entry-1', keyed)
  await cluster.list('freight-1', 'absent')
  await waitUntilNewKeysRun(cluster)
  await book(cluster, 'entry-2', keyed)
  cluster.signal('freight-1', 'SIGCONT')
  await late
  await bookTwice(cluster, keyed)
  await cluster.list('freight-1', 'live')
  await waitUntilUpstreamsLive(cluster)
  await bookTwice(cluster, keyed)
  await assertRunOnce(cluster, keyed)
})

async function bookDuringFaults (cluster: Cluster, faults: readonly ClusterFault[]): Promise<readonly KeyedBooking[]> {
  const keyed = createKeyedBookings(KEYS)
  const first = bookTwice(cluster, keyed)
  const clearFunctions = await Promise.all(faults.map((fault) => injectClusterFault(cluster, fault)))
  const second = createKeyedBookings(KEYS)
  const called = Promise.all([first, bookTwice(cluster, second)])
  await Promise.race([called, pause(FAULT_MS)])
  await Promise.all(clearFunctions.map((clearFault) => clearFault()))
  await called
  await waitUntilUpstreamsLive(cluster)
  const all = [...keyed, ...second]
  await bookTwice(cluster, all)
  return all
}

for (const seed of SEEDS) {
  for (const count of [2, 3]) {
    test(`calls run at most once under ${count} concurrent faults, seed ${seed}`, async (cluster) => {
      await waitUntilNewKeysRun(cluster)
      const faults = drawFaults(createDraw(seed + count), possibleFaults(cluster), count)
      const keyed = await bookDuringFaults(cluster, faults)
      await assertRunOnce(cluster, keyed)
    })
  }
}

run()
