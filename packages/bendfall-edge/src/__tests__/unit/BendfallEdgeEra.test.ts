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

/** Numbers from 0 to 1 that a seed repeats (mulberry32). */
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

interface Process {
  readonly way: ReturnType<EraStore['join']>
  readonly lease: LeaderElection
}

function start (clock: VirtualClock, store: EraStore, count: number): Process[] {
  return Array.from({ length: count }, (_, index) => {
    const way = store.join()
    return { way, lease: joinElection({ port: way.port, clock, logger: SILENT, key: 'duty', holder: `p${index}` }) }
  })
}

test('a holder that hears of a new era stops at once, and nobody takes the duty within the length of a lease', async () => {
  const clock = createVirtualClock()
  const store = createEraStore(clock)
  const [process] = start(clock, store, 1) as [Process]
  await clock.advance(12_000)
  const former = process.lease.fence() ?? 0
  assert.ok(former > 0)
  store.restore()
  await clock.advance(1_000)
  assert.is(process.lease.fence(), undefined)
  await clock.advance(1_900)
  assert.is(process.lease.fence(), undefined)
  await clock.advance(12_000)
  assert.ok((process.lease.fence() ?? 0) > former)
  process.lease.close()
})

test('a holder that was fenced takes the duty anew with a higher fencing token', async () => {
  const clock = createVirtualClock()
  const store = createEraStore(clock)
  const [process] = start(clock, store, 1) as [Process]
  await clock.advance(12_000)
  const former = process.lease.fence() ?? 0
  process.lease.stepDown()
  assert.is(process.lease.fence(), undefined)
  await clock.advance(6_000)
  assert.ok((process.lease.fence() ?? 0) > former)
  process.lease.close()
})

// After the loss of all entries nobody kept the allotments for the five seconds in which each that
// started waited for a holder of a former era, and every request of a customer was refused meanwhile.
test('a process that starts takes a free duty at once in an era that has lasted', async () => {
  const clock = createVirtualClock()
  const store = createEraStore(clock)
  const [first] = start(clock, store, 1) as [Process]
  await clock.advance(12_000)
  first.lease.close()
  await clock.advance(100)
  const [second] = start(clock, store, 1) as [Process]
  await clock.advance(100)
  assert.ok(second.lease.fence() !== undefined)
  second.lease.close()
})

test('a process that starts waits in an era of which nobody wrote that it has lasted', async () => {
  const clock = createVirtualClock()
  const store = createEraStore(clock)
  const [first] = start(clock, store, 1) as [Process]
  await clock.advance(12_000)
  first.lease.close()
  store.restore()
  const [second] = start(clock, store, 1) as [Process]
  await clock.advance(2_900)
  assert.is(second.lease.fence(), undefined)
  await clock.advance(6_000)
  assert.ok(second.lease.fence() !== undefined)
  second.lease.close()
})

// A former holder that hears nothing beside processes that start: eras, silence and starts at each step.
for (let seed = 101; seed <= 160; seed++) {
  test(`no two processes hold the duty while others start (seed ${seed})`, async () => {
    const random = createRandom(seed)
    const clock = createVirtualClock()
    const store = createEraStore(clock)
    const processes = start(clock, store, 2)
    for (let atMs = 0; atMs < 40_000; atMs += STEP_MS) {
      if (random.next() < 0.005) store.restore()
      if (random.next() < 0.02) for (const { way } of processes) way.latencyMs = 4
      if (random.next() < 0.02) (processes[Math.floor(random.next() * processes.length)] as Process).way.latencyMs = random.next() < 0.5 ? Infinity : 4 + random.next() * 1_500
      if (random.next() < 0.02) processes.push(...start(clock, store, 1))
      if (random.next() < 0.02 && processes.length > 1) processes.splice(Math.floor(random.next() * processes.length), 1)[0]?.lease.close()
      await clock.advance(STEP_MS)
      const fences = processes.flatMap(({ lease }) => lease.fence() ?? [])
      assert.ok(fences.length <= 1, `two holders at ${atMs} ms`)
    }
    for (const { lease } of processes) lease.close()
  })
}

// Orders of eras, slow and lost answers over 40 s, at each step: who may act, and with which token.
for (let seed = 1; seed <= 60; seed++) {
  test(`no two processes hold the duty at one moment, and tokens only rise (seed ${seed})`, async () => {
    const random = createRandom(seed)
    const clock = createVirtualClock()
    const store = createEraStore(clock)
    const processes = start(clock, store, 2 + seed % 3)
    let last = 0
    for (let atMs = 0; atMs < 40_000; atMs += STEP_MS) {
      if (random.next() < 0.004) store.restore()
      if (random.next() < 0.01) for (const { way } of processes) way.latencyMs = 4
      if (random.next() < 0.01) (processes[Math.floor(random.next() * processes.length)] as Process).way.latencyMs = random.next() < 0.5 ? Infinity : 4 + random.next() * 1_500
      await clock.advance(STEP_MS)
      const fences = processes.flatMap(({ lease }) => lease.fence() ?? [])
      assert.ok(fences.length <= 1, `two holders at ${atMs} ms`)
      const [fence = last] = fences
      assert.ok(fence >= last, `token ${fence} after ${last} at ${atMs} ms`)
      last = fence
    }
    for (const { lease } of processes) lease.close()
  })
}

test.run()
