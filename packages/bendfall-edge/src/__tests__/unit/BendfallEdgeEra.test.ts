import { createLogger } from 'bendfall-node'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { joinElection } from '../../pools/BendfallEdgeHolderLease.js'
import type { HolderLease } from '../../pools/BendfallEdgeHolderLease.js'
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
  readonly lease: HolderLease
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
  process.lease.giveUp()
  assert.is(process.lease.fence(), undefined)
  await clock.advance(6_000)
  assert.ok((process.lease.fence() ?? 0) > former)
  process.lease.close()
})

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
