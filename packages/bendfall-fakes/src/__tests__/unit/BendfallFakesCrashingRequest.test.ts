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

test('nobody is refused for being there when replicas crash by themselves', () => inCrashScene(3, REPLICAS, async ({ entries, replicas }) => {
  const answers: CrashAnswer[] = []
  const over = new AbortController()
  const callers = Array.from({ length: 6 }, async (_, index) => {
    while (!over.signal.aborted) answers.push(await callCrashEntry(entries[index % entries.length] as CrashEntry, '/r/polled'))
  })
  for (let i = 0; i < 10; i++) {
    await sleep(500)
    replicas()[i % replicas().length]?.crash()
  }
  over.abort()
  await Promise.all(callers)
  const unserved = answers.filter(({ status }) => status !== 200)
  assert.ok(answers.length > 1_000, `${answers.length} calls`)
  assert.is(unserved.length, 0, `${unserved.length} of ${answers.length} unserved`)
}))

test.run()
