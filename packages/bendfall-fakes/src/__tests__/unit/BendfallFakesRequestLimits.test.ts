// Tests with real sockets that all entries together keep the limits that replicas advertise. Arrivals are counted at the
// replicas, independently of the router's own accounting.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runLimitScenario } from './LimitScenario.js'
import type { LimitOutcome, LimitScenario } from './LimitScenario.js'

const SECONDS = 9

/** Minimum share of the allowed requests that must reach the replicas while callers send more than that. */
const MIN_USED_SHARE = 0.9
const MIN_USED_SHARE_ONE_ENTRY = 0.8
const MIN_USED_SHARE_UNDER_FAULTS = 0.7

function assertLimitsKept ({ calls, over, usedShare, worst }: LimitOutcome, minUsedShare: number): void {
  assert.is(over, 0, JSON.stringify(worst))
  assert.ok(usedShare >= minUsedShare, `used ${usedShare}`)
  const unexpected = calls.filter(({ status }) => status !== 200 && status !== 503)
  assert.equal(unexpected.map(({ body, status }) => `${status} ${body}`), [])
  assert.ok(calls.every(({ retryAfterS = 0, status }) => status !== 503 || retryAfterS > 0), 'each refusal must have a Retry-After')
}

test('replicas get no more requests from all entries together than the limits that they advertise', async () => {
  assertLimitsKept(await runLimitScenario({ entries: 3, limited: 3, seconds: SECONDS }), MIN_USED_SHARE)
})

// Guards against a limited replica that gets no requests at all, since every entry avoids it after one slow response.
test('one replica of three that names a limit gets it, and the others serve the rest', async () => {
  const outcome = await runLimitScenario({ entries: 3, limited: 1, seconds: SECONDS })
  assertLimitsKept(outcome, MIN_USED_SHARE)
  assert.ok(outcome.calls.every(({ status }) => status === 200), 'every call must be served')
})

test('callers that use one entry of three get most of what the limits allow', async () => {
  assertLimitsKept(await runLimitScenario({ entries: 3, limited: 3, seconds: SECONDS, entryOf: () => 0 }), MIN_USED_SHARE_ONE_ENTRY)
})

test('five entries together keep the limits', async () => {
  assertLimitsKept(await runLimitScenario({ entries: 5, limited: 3, seconds: SECONDS }), MIN_USED_SHARE)
})

const restartEntriesInTurn: LimitScenario['concurrentTask'] = async (harness, isOver) => {
  for (let index = 0; !isOver(); index = (index + 1) % harness.entries.length) {
    await sleep(1_000)
    await harness.restartEntry(index)
  }
}

test('limits are kept and used while entries restart in turn', async () => {
  const { calls, over, usedShare, worst } = await runLimitScenario({ entries: 3, limited: 3, seconds: SECONDS, concurrentTask: restartEntriesInTurn })
  assert.is(over, 0, JSON.stringify(worst))
  assert.ok(usedShare >= MIN_USED_SHARE_UNDER_FAULTS, `used ${usedShare}`)
  assert.ok(calls.some(({ status }) => status === 200))
})

const isolateHalfFromStore: LimitScenario['concurrentTask'] = async ({ entries }) => {
  const isolatedEntries = entries.slice(0, 2)
  await sleep(2_000)
  for (const { proxy } of isolatedEntries) proxy.injectFault('silent')
  await sleep(SECONDS * 1_000 - 3_000)
  for (const { proxy } of isolatedEntries) proxy.injectFault(undefined)
}

test('limits are kept and used while half of the entries are disconnected from the store', async () => {
  assertLimitsKept(await runLimitScenario({ entries: 4, limited: 3, seconds: SECONDS, concurrentTask: isolateHalfFromStore }), MIN_USED_SHARE_UNDER_FAULTS)
})

test.run()
