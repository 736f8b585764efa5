import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRouterState, reduceRouter } from '../../index.js'
import type { Replica, RouterState } from '../../index.js'
import { arrival, configOf, replicaOf, summaryRoute } from './RouterSimulation.js'

const PREFILL_EVERY = 4

function fleetOf (size: number): Replica[] {
  return Array.from({ length: size }, (_, i) => replicaOf(`r${i}`, i % PREFILL_EVERY === 0 ? 'prefill' : 'decode', { availabilityZone: `z${i % 24}` }))
}

function createEntry (size: number): { readonly state: RouterState, readonly tookMs: number } {
  const state = createRouterState(7, 'entry-1')
  reduceRouter(state, { type: 'config_learned', atMs: 0, config: configOf(1, [summaryRoute()]) })
  const fleet = fleetOf(size)
  const startedMs = performance.now()
  reduceRouter(state, { type: 'replicas_changed', atMs: 0, present: fleet, gone: [] })
  return { state, tookMs: performance.now() - startedMs }
}

/** Returns the sorted durations of repeated calls in milliseconds, after a warm-up for the JIT compiler. */
function measureSorted (call: (i: number) => void): number[] {
  for (let i = 0; i < 300; i++) call(i)
  const times = Array.from({ length: 600 }, (_, i) => {
    const startedMs = performance.now()
    call(i + 300)
    return performance.now() - startedMs
  })
  return times.sort((a, b) => a - b)
}

const median = (times: readonly number[]): number => times[Math.floor(times.length / 2)] as number

function decide (state: RouterState, i: number): void {
  const event = { ...arrival(`k${i}`), atMs: i * 500 }
  reduceRouter(state, event as Parameters<typeof reduceRouter>[1])
  const request = state.requests.get(`k${i}`)
  reduceRouter(state, { type: 'loads_answered', atMs: i * 500, key: `k${i}`, attempt: request?.attempt ?? 0 })
  reduceRouter(state, { type: 'caller_left', atMs: i * 500, key: `k${i}` })
}

// Compares medians, since the slowest calls include CPU time taken by other processes.
test('a decision takes about as long in a fleet of 12,000 as of 84 (previously 2,615 µs and 29 µs)', () => {
  const [small = 0, large = 0] = [84, 12_000].map((size) => {
    const { state } = createEntry(size)
    return median(measureSorted((i) => decide(state, i)))
  })
  assert.ok(small < 0.3, `${small} ms with 84`)
  assert.ok(large < 1, `${large} ms with 12,000`)
})

test('the time to update a registration is independent of the size of the fleet (previously 0.4 ms and 296 ms)', () => {
  const { state } = createEntry(12_000)
  const [fleet] = [fleetOf(12_000)]
  const times = measureSorted((i) => {
    const replica = { ...fleet[i % fleet.length] as Replica, revision: 2 + i, heartbeats: 2 + i }
    reduceRouter(state, { type: 'replicas_changed', atMs: i, present: [replica], gone: [] })
  })
  assert.ok(median(times) < 1, `${median(times)} ms`)
})

test('12,000 registrations are processed in less than two seconds (previously 2.9 s)', () => {
  const { state, tookMs } = createEntry(12_000)
  assert.is(state.replicas.size, 12_000)
  assert.ok(tookMs < 2_000, `${tookMs} ms`)
})

test('missing registrations do not slow decisions down', () => {
  const { state } = createEntry(12_000)
  reduceRouter(state, { type: 'replicas_missing', atMs: 0, replicaIds: fleetOf(3_000).map(({ replicaId }) => replicaId) })
  const times = measureSorted((i) => decide(state, i))
  assert.ok(median(times) < 1, `${median(times)} ms`)
})

test.run()
