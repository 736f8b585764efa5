// Limits that replicas name, on sockets: what arrives is counted over all entries, by a judge of its own.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { playLimits } from './LimitScene.js'
import type { LimitOutcome, LimitPlay } from './LimitScene.js'

const SECONDS = 9

/** Of what the limits allow the part that is used while callers ask for more. */
const LEAST_USED = 0.9
const LEAST_USED_AT_ONE = 0.8
const LEAST_USED_DISTURBED = 0.7

function judge ({ calls, over, usedShare, worst }: LimitOutcome, leastUsed: number): void {
  assert.is(over, 0, JSON.stringify(worst))
  assert.ok(usedShare >= leastUsed, `used ${usedShare}`)
  const odd = calls.filter(({ status }) => status !== 200 && status !== 503)
  assert.equal(odd.map(({ body, status }) => `${status} ${body}`), [])
  assert.ok(calls.every(({ retryAfterS = 0, status }) => status !== 503 || retryAfterS > 0), 'each refusal tells when to return')
}

test('replicas that name a limit get no more than it allows from all entries together', async () => {
  judge(await playLimits({ entries: 3, limited: 3, seconds: SECONDS }), LEAST_USED)
})

test('one replica of three that names a limit gets it, and the others serve the rest', async () => {
  const outcome = await playLimits({ entries: 3, limited: 1, seconds: SECONDS })
  judge(outcome, LEAST_USED)
  assert.ok(outcome.calls.every(({ status }) => status === 200), 'every call is served')
})

test('limits are used by callers at one entry of three', async () => {
  judge(await playLimits({ entries: 3, limited: 3, seconds: SECONDS, entryOf: () => 0 }), LEAST_USED_AT_ONE)
})

test('five entries keep limits together', async () => {
  judge(await playLimits({ entries: 5, limited: 3, seconds: SECONDS }), LEAST_USED)
})

const restart: LimitPlay['beside'] = async (scene, isOver) => {
  for (let index = 0; !isOver(); index = (index + 1) % scene.entries.length) {
    await sleep(1_000)
    await scene.startAgain(index)
  }
}

test('limits are kept and used while entries restart in turn', async () => {
  const { calls, over, usedShare, worst } = await playLimits({ entries: 3, limited: 3, seconds: SECONDS, beside: restart })
  assert.is(over, 0, JSON.stringify(worst))
  assert.ok(usedShare >= LEAST_USED_DISTURBED, `used ${usedShare}`)
  assert.ok(calls.some(({ status }) => status === 200))
})

const cutOff: LimitPlay['beside'] = async ({ entries }) => {
  const cut = entries.slice(0, 2)
  await sleep(2_000)
  for (const { proxy } of cut) proxy.harm('silent')
  await sleep(SECONDS * 1_000 - 3_000)
  for (const { proxy } of cut) proxy.harm(undefined)
}

test('limits are kept and used while half of the entries do not reach the store', async () => {
  judge(await playLimits({ entries: 4, limited: 3, seconds: SECONDS, beside: cutOff }), LEAST_USED_DISTURBED)
})

test.run()
