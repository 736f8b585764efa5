// With a thousand customers of ten API keys each, measures the time to authenticate a request and take its units, and
// the memory of the customers and keys.
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { authenticate, createAllotmentLeaderState, DEFAULT_CREDENTIAL_LIMITS, indexCustomers, takeFromAllotment } from '../../index.js'
import type { Customer } from '../../index.js'
import { configOf } from './RouterSimulation.js'

const CUSTOMERS = 1_000
const KEYS_EACH = 10
const MAX_P99_US = 20
const MAX_BYTES = 4_000_000
const ROUNDS = 50_000

const digestOf = (customer: number, key: number): string => `${customer}-${key}-`.padEnd(44, 'x')

function createCustomers (): Customer[] {
  return Array.from({ length: CUSTOMERS }, (_, i) => ({
    name: `customer-${i}`,
    keyDigests: Array.from({ length: KEYS_EACH }, (_unused, key) => digestOf(i, key)),
    allotment: { unit: 'tokens' as const, unitsPerS: 36_000, burstUnits: 36_000, undeclaredUnits: 200 }
  }))
}

test('a request is authenticated and its units are taken within 20 microseconds', () => {
  const index = indexCustomers({ ...configOf(1, []), customers: createCustomers() })
  const leader = createAllotmentLeaderState('primary', { windowMs: 8_000, overShare: 0.1, slackUnits: 140_000 }, 0)
  const times: number[] = []
  for (let round = 0; round < ROUNDS; round++) {
    const digest = digestOf(round % CUSTOMERS, round % KEYS_EACH)
    const startedMs = performance.now()
    const found = authenticate({ index, limits: DEFAULT_CREDENTIAL_LIMITS, ageMs: 0 }, digest, false)
    if (found.type === 'customer') takeFromAllotment(leader, found.customer, 200, round)
    times.push((performance.now() - startedMs) * 1_000)
    assert.is(found.type, 'customer')
  }
  const p99 = times.sort((a, b) => a - b)[Math.floor(ROUNDS * 0.99)] as number
  assert.ok(p99 < MAX_P99_US, `${p99} us`)
})

test('ten thousand keys take less than 4 MB', () => {
  setFlagsFromString('--expose-gc')
  // Without a garbage collection before both measurements, garbage of the other test would count.
  const collect = runInNewContext('gc') as () => void
  collect()
  const before = process.memoryUsage().heapUsed
  const config = { ...configOf(1, []), customers: createCustomers() }
  const index = indexCustomers(config)
  collect()
  const bytes = process.memoryUsage().heapUsed - before
  assert.is(index?.byKeyDigest.size, CUSTOMERS * KEYS_EACH)
  assert.ok(bytes < MAX_BYTES, `${bytes} bytes`)
})

test.run()
