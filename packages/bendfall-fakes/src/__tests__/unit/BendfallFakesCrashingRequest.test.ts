import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callCrashEntry, inCrashScene, POISON_PATH } from './CrashScene.js'
import type { CrashAnswer, CrashEntry } from './CrashScene.js'

/** Time in which all entries have to know of the third crash, and sends that may come after. */
const CONTACT_MS = 3_000
const ALLOWED_SENDS = 3

const ENDING_CRASHES = 3
const REPLICAS = 12
const CALL_EACH_MS = 400
const PLAYED_MS = 9_000

/** Calls beside replicas that crash by themselves. */
const CALLS = 1_000
const CRASH_EACH_MS = 500

test('a request that ended three replicas is sent no more than three times once all entries are in touch', () => inCrashScene(3, REPLICAS, async ({ arrivals, crashes, entries }) => {
  const endsAtMs = performance.now() + PLAYED_MS
  for (let i = 0; performance.now() < endsAtMs; i++) {
    await callCrashEntry(entries[i % entries.length] as CrashEntry, POISON_PATH)
    await sleep(CALL_EACH_MS)
  }
  const third = crashes[ENDING_CRASHES - 1] ?? Infinity
  const late = arrivals(POISON_PATH).filter((atMs) => atMs > third + CONTACT_MS)
  assert.ok(crashes.length >= ENDING_CRASHES, `${crashes.length} crashes`)
  assert.ok(late.length <= ALLOWED_SENDS, `${late.length} sends later, ${crashes.length} crashes in all`)
}))

test('an entry that starts again knows of a request that ended three replicas until an operator has it forgotten', () => inCrashScene(2, REPLICAS, async ({ arrivals, crashes, entries, store }) => {
  const [first, second] = entries as [CrashEntry, CrashEntry]
  for (const entry of [first, second, first, second]) {
    await callCrashEntry(entry, POISON_PATH)
    await sleep(CALL_EACH_MS)
  }
  assert.ok(crashes.length >= ENDING_CRASHES, `${crashes.length} crashes`)
  await first.restart()
  const before = arrivals(POISON_PATH).length
  assert.is((await callCrashEntry(first, POISON_PATH)).status, 503)
  assert.is(arrivals(POISON_PATH).length, before)
  store.put('bendfall/crashes-cleared', 'now')
  await sleep(CONTACT_MS / 3)
  await callCrashEntry(second, POISON_PATH)
  assert.ok(arrivals(POISON_PATH).length > before, 'sent once more')
}))

test('nobody is refused for being there when replicas crash by themselves', () => inCrashScene(3, REPLICAS, async ({ entries, replicas }) => {
  const answers: CrashAnswer[] = []
  const over = new AbortController()
  const callers = Array.from({ length: 6 }, async (_, index) => {
    while (!over.signal.aborted) answers.push(await callCrashEntry(entries[index % entries.length] as CrashEntry, '/r/polled'))
  })
  for (let i = 0; answers.length < CALLS; i++) {
    await sleep(CRASH_EACH_MS)
    replicas()[i % replicas().length]?.crash()
  }
  over.abort()
  await Promise.all(callers)
  const unserved = answers.filter(({ status }) => status !== 200)
  assert.is(unserved.length, 0, `${unserved.length} of ${answers.length} unserved`)
}))

test.run()
