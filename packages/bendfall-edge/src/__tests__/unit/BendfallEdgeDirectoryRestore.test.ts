// Checks that an entry's directory sends nothing to draining replicas while the store is repeatedly
// restored from older backups. Replicas drain, restart and renew their registrations meanwhile, and
// responses of the store are slow, lost or from an earlier era. Each send to a replica after its
// drain time counts as a failure.
import { drawUnit } from 'bendfall-core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DRAIN_MS, SimulatedEntry, SimulatedReplica, SimulatedStore, TICK_MS } from './DirectorySimulation.js'
import { createVirtualClock } from './VirtualClock.js'

const STEP_MS = 50
const SIMULATION_MS = 30_000

/** The drain time is checked only after the store and the connection to it have been healthy for this long. */
const STABLE_MS = 1_000

/** Time after which all running replicas must be known again: heartbeats, expiry and the subsequent read. */
const RECOVERY_MS = 10_000

const REPLICAS = ['a', 'b', 'c', 'd', 'e']
const MIN_RUNNING = 3
const SEEDS = 40

function countRunning (replicas: readonly SimulatedReplica[]): number {
  return replicas.filter(({ drainingSinceMs }) => drainingSinceMs === undefined).length
}

function createRandom (initialSeed: number): () => number {
  let state = initialSeed
  return () => {
    const { seed, value } = drawUnit(state)
    state = seed
    return value
  }
}

async function simulateRestores (seed: number): Promise<void> {
  const random = createRandom(seed)
  const clock = createVirtualClock()
  const store = new SimulatedStore(clock)
  const replicas = REPLICAS.map((id) => new SimulatedReplica(clock, store, id))
  await clock.advance(1_500)
  const entry = new SimulatedEntry(clock, store, seed)
  await clock.advance(1_500)
  const lateSends: string[] = []
  let disturbedUntilMs = 0
  let checkedSends = 0
  const step = async (): Promise<void> => {
    const nowMs = clock.nowMs()
    store.removeExpired()
    if (store.isUnavailable() || entry.client.latencyMs > 4) disturbedUntilMs = nowMs + STEP_MS
    if (nowMs % TICK_MS < STEP_MS) entry.tick()
    entry.call()
    for (const { atMs, replicaId } of entry.sends.slice(checkedSends)) {
      const drainingSinceMs = replicas.find((replica) => replica.replicaId === replicaId)?.drainingSinceMs
      const latestMs = Math.max(drainingSinceMs ?? Infinity, disturbedUntilMs + STABLE_MS) + DRAIN_MS
      if (drainingSinceMs !== undefined && atMs > latestMs) lateSends.push(`${replicaId} at ${atMs}, ${atMs - drainingSinceMs} ms after it began to drain`)
    }
    checkedSends = entry.sends.length
    await clock.advance(STEP_MS)
  }
  for (let atMs = 0; atMs < SIMULATION_MS; atMs += STEP_MS) {
    if (random() < 0.008) store.restore(random() * 6_000, random() * 1_500)
    if (random() < 0.02 && countRunning(replicas) > MIN_RUNNING) replicas[Math.floor(random() * replicas.length)]?.drain()
    if (random() < 0.01) replicas[Math.floor(random() * replicas.length)]?.start()
    if (random() < 0.01) entry.client.latencyMs = 4
    if (random() < 0.005) entry.client.latencyMs = random() < 0.5 ? Infinity : 4 + random() * 500
    await step()
  }
  entry.client.latencyMs = 4
  for (let atMs = 0; atMs < RECOVERY_MS; atMs += STEP_MS) await step()
  const sendsBefore = entry.sends.length
  for (let atMs = 0; atMs < 2_000; atMs += STEP_MS) await step()
  const usedIds = [...new Set(entry.sends.slice(sendsBefore).map(({ replicaId }) => replicaId))].sort()
  const running = replicas.filter(({ drainingSinceMs }) => drainingSinceMs === undefined).map(({ replicaId }) => replicaId)
  entry.close()
  assert.equal(lateSends, [])
  assert.equal(usedIds, running)
}

for (let seed = 1; seed <= SEEDS; seed++) {
  test(`a draining replica is not used again because of a restored registration, and all running replicas are (seed ${seed})`, async () => { await simulateRestores(seed) })
}

// With the second seed the entry learns of the new era late.
for (const seed of [282, 587]) {
  test(`a replica that drained while the entry was disconnected is not used again because of a restored backup (seed ${seed})`, async () => { await simulateRestores(seed) })
}

test.run()
