import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callCrashEntry, withCrashHarness, POISON_PATH } from './CrashHarness.js'
import type { CrashResponse, CrashEntry } from './CrashHarness.js'

/** Time in which all entries have to learn of the third crash, and the number of sends allowed after it. */
const PROPAGATION_MS = 3_000
const MAX_LATE_SENDS = 3

const MIN_CRASHES = 3
const REPLICAS = 12
const CALL_INTERVAL_MS = 400
const DURATION_MS = 9_000

/** Number of calls made while replicas crash independently of them. */
const MIN_CALLS = 1_000
const CRASH_INTERVAL_MS = 500

test('a request that crashed three replicas is sent at most three more times once all entries could learn of it', () => withCrashHarness(3, REPLICAS, async ({ arrivals, crashes, entries }) => {
  const endsAtMs = performance.now() + DURATION_MS
  for (let i = 0; performance.now() < endsAtMs; i++) {
    await callCrashEntry(entries[i % entries.length] as CrashEntry, POISON_PATH)
    await sleep(CALL_INTERVAL_MS)
  }
  const thirdCrashMs = crashes[MIN_CRASHES - 1] ?? Infinity
  const lateSends = arrivals(POISON_PATH).filter((atMs) => atMs > thirdCrashMs + PROPAGATION_MS)
  assert.ok(crashes.length >= MIN_CRASHES, `${crashes.length} crashes`)
  assert.ok(lateSends.length <= MAX_LATE_SENDS, `${lateSends.length} sends later, ${crashes.length} crashes in all`)
}))

test('a restarted entry refuses a request that crashed three replicas until an operator clears the crash records', () => withCrashHarness(2, REPLICAS, async ({ arrivals, crashes, entries, store }) => {
  const [first, second] = entries as [CrashEntry, CrashEntry]
  for (const entry of [first, second, first, second]) {
    await callCrashEntry(entry, POISON_PATH)
    await sleep(CALL_INTERVAL_MS)
  }
  assert.ok(crashes.length >= MIN_CRASHES, `${crashes.length} crashes`)
  await first.restart()
  const before = arrivals(POISON_PATH).length
  assert.is((await callCrashEntry(first, POISON_PATH)).status, 503)
  assert.is(arrivals(POISON_PATH).length, before)
  store.put('bendfall/crashes-cleared', 'now')
  await sleep(PROPAGATION_MS / 3)
  await callCrashEntry(second, POISON_PATH)
  assert.ok(arrivals(POISON_PATH).length > before, 'the request is sent again')
}))

test('no request is refused for running on replicas that crash independently of it', () => withCrashHarness(3, REPLICAS, async ({ entries, replicas }) => {
  const answers: CrashResponse[] = []
  const controller = new AbortController()
  const callers = Array.from({ length: 6 }, async (_, index) => {
    while (!controller.signal.aborted) answers.push(await callCrashEntry(entries[index % entries.length] as CrashEntry, '/r/polled'))
  })
  for (let i = 0; answers.length < MIN_CALLS; i++) {
    await sleep(CRASH_INTERVAL_MS)
    replicas()[i % replicas().length]?.crash()
  }
  controller.abort()
  await Promise.all(callers)
  const unserved = answers.filter(({ status }) => status !== 200)
  assert.is(unserved.length, 0, `${unserved.length} of ${answers.length} unserved`)
}))

test.run()
