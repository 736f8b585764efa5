// Tests with real sockets how entries learn the request limits that replicas advertise, and when these are lifted.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callEntry, withCustomerHarness } from './CustomerHarness.js'
import type { CustomerEntry } from './CustomerHarness.js'
import { LIMIT_PER_S, runLimitScenario } from './LimitScenario.js'

const SECONDS = 9

/** Time for which the limit is in force before the replica lifts it. */
const LIFTED_AFTER_MS = 4_000

/** Time from the start of all entries until a leader keeps the limits: longer than the lease of a leader elected in a previous era. */
const LEADER_READY_MS = 3_500

// Guards against entries that never call a limited replica, so that they neither learn its limit nor that it was lifted.
test('no entry is bound by a limit two seconds after its replica lifted it', async () => {
  const stillBound: number[] = []
  await runLimitScenario({
    entries: 3,
    limited: 1,
    seconds: SECONDS,
    concurrentTask: async ({ entries, plain }) => {
      await sleep(LIFTED_AFTER_MS)
      const isKnownToAll = (): boolean => entries.every(({ entry }) => entry.state().limits.size === 1)
      for (let i = 0; i < 100 && !isKnownToAll(); i++) await sleep(20)
      assert.ok(isKnownToAll(), 'all entries must know the limit')
      plain[0]?.advertiseLimit(undefined)
      await sleep(2_000)
      for (const { entry } of entries) stillBound.push(entry.state().limits.size)
    }
  })
  assert.equal(stillBound, [0, 0, 0])
})

test('a restarted entry knows the limits before its first request', async () => {
  await withCustomerHarness(2, [], async (harness) => {
    await sleep(LEADER_READY_MS)
    for (const replica of harness.plain) replica.advertiseLimit(LIMIT_PER_S)
    for (let i = 0; i < 12; i++) await callEntry(harness.entries[0] as CustomerEntry, { path: '/open/1' })
    await sleep(1_000)
    await harness.restartEntry(1)
    await sleep(500)
    const learnedLines = harness.entries[1]?.lines.filter((line) => line.includes('event=replica_limit_named') && line.includes('from=document')) ?? []
    assert.ok(learnedLines.length > 0)
  })
})

for (const text of ['-1', 'many', '1, 2', '']) {
  test(`an invalid limit "${text}" in a response header is logged and has no effect`, async () => {
    const { calls } = await runLimitScenario({
      entries: 1,
      limited: 0,
      seconds: 3,
      concurrentTask: async ({ entries, plain }) => {
        for (const replica of plain) replica.setLimitHeader(text)
        await sleep(2_500)
        assert.ok(entries.some(({ lines }) => lines.some((line) => line.includes('event=replica_limit_unreadable'))), 'the invalid limit must be logged')
      }
    })
    assert.ok(calls.every(({ status }) => status === 200), 'every call must be served')
  })
}

test.run()
