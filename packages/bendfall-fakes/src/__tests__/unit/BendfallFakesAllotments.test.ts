// Customers' allotments on sockets: what runs at replicas is counted over all entries, while the
// entry that keeps them is cut off from the store, leaves, or all start again.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ALLOTMENT_BOUNDS, callEntry, inCustomerScene, sentAtMs, withKey } from './CustomerScene.js'
import type { CustomerAnswer, CustomerEntry, CustomerScene, Tenant } from './CustomerScene.js'

const CALL_TOKENS = 200
const LIMIT = { unit: 'token_stream', 'uncached-tokens': CALL_TOKENS, 'rate-per-s': 4_000, burst: 4_000 }
const FLOOD: Tenant = { name: 'flood', 'api-keys': ['k-flood'], ...LIMIT }
const CALM: Tenant = { name: 'calm', 'api-keys': ['k-calm'], ...LIMIT }
const FREE: Tenant = { name: 'free', 'api-keys': ['k-free'] }

/** Of what is due the part that runs when all is well. */
const LEAST_SHARE = 0.95

const STEP_MS = 20

/** Time in which a bucket is full again. */
const FILL_MS = 1_200

/** A run of a customer. */
interface Grant {
  readonly sentMs: number
  readonly atMs: number
  readonly tokens: number
}

/** Runs of a customer: when they were sent, and when a replica saw them. */
function tokensOf ({ plain }: CustomerScene, customer: string): Grant[] {
  const runs = plain.flatMap(({ seen }) => seen.filter(({ headers }) => headers['x-tenant'] === customer))
  return runs.map(({ atMs, requestId }) => ({ atMs, sentMs: sentAtMs(requestId), tokens: CALL_TOKENS }))
}

// Sent and seen within the window, as the bound counts them: one that came late was granted before it.
function worstWindow (grants: readonly Grant[]): number {
  const inWindow = grants.map(({ sentMs }) => grants.filter((one) => one.sentMs >= sentMs && one.atMs < sentMs + ALLOTMENT_BOUNDS.windowMs).reduce((sum, { tokens }) => sum + tokens, 0))
  return Math.max(0, ...inWindow)
}

const BOUND_TOKENS = (LIMIT['rate-per-s'] * ALLOTMENT_BOUNDS.windowMs / 1_000 + LIMIT.burst) * (1 + ALLOTMENT_BOUNDS.overShare) + ALLOTMENT_BOUNDS.slackUnits

/** Calls in turns at the entries for a time, so many times a second; returns what callers got. */
async function flood (entries: readonly CustomerEntry[], key: string, perSecond: number, ms: number): Promise<CustomerAnswer[]> {
  const answers: Array<Promise<CustomerAnswer>> = []
  const startedMs = performance.now()
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs = performance.now() - startedMs) {
    while (answers.length < perSecond * elapsedMs / 1_000) answers.push(callEntry(entries[answers.length % entries.length] as CustomerEntry, { path: '/r/1', headers: withKey(key) }))
    await sleep(STEP_MS)
  }
  return await Promise.all(answers)
}

function countOf (answers: readonly CustomerAnswer[], wanted: number): number {
  return answers.filter(({ status }) => status === wanted).length
}

async function untilKept ({ entries }: CustomerScene): Promise<void> {
  for (let i = 0; i < 200; i++) {
    const answers = await Promise.all(entries.map((entry) => callEntry(entry, { path: '/r/1', headers: withKey('k-calm') })))
    if (answers.every(({ status }) => status !== 503)) return await sleep(FILL_MS)
    await sleep(50)
  }
  throw new Error('nobody keeps the allotments')
}

function keeperIndex ({ store }: CustomerScene, role: string): number {
  const document = store.documents().find(({ key }) => key === `bendfall/allotments/${role}`)
  return Number(/entry-(\d)/.exec(document?.value ?? '')?.[1] ?? -1)
}

test('of a customer that asks for six times its limit the limit runs, and others are served', async () => {
  await inCustomerScene(4, [FLOOD, CALM, FREE], async (scene) => {
    await untilKept(scene)
    const [flooded, calm, free] = await Promise.all([flood(scene.entries, 'k-flood', 120, 5_000), flood(scene.entries, 'k-calm', 16, 5_000), flood(scene.entries, 'k-free', 40, 5_000)])
    const due = 5 * LIMIT['rate-per-s'] / CALL_TOKENS + LIMIT.burst / CALL_TOKENS
    assert.ok(worstWindow(tokensOf(scene, 'flood')) <= LIMIT['rate-per-s'] * 4 + LIMIT.burst, `${worstWindow(tokensOf(scene, 'flood'))} tokens`)
    assert.ok(countOf(flooded, 200) >= LEAST_SHARE * due, `${countOf(flooded, 200)} of ${due}`)
    assert.is(countOf(flooded, 200) + countOf(flooded, 429), flooded.length)
    assert.ok(flooded.every(({ retryAfterS, status }) => status !== 429 || (retryAfterS ?? 0) > 0))
    assert.is(countOf(calm, 200), calm.length)
    assert.is(countOf(free, 200), free.length)
  })
})

test('a customer that nobody asked for before is granted its burst at once', async () => {
  await inCustomerScene(2, [FLOOD, CALM], async (scene) => {
    await untilKept(scene)
    const answers = await Promise.all(scene.entries.map((entry) => callEntry(entry, { path: '/r/1', headers: withKey('k-flood') })))
    assert.equal(answers.map(({ status }) => status), [200, 200])
    assert.equal(scene.entries.flatMap(({ lines }) => lines.filter((line) => /event=units_refused .*customer=flood/.test(line))), [])
  })
})

// One entry that saw both keys free took both: its death left a customer without any keeper.
test('two entries keep the two parts of the allotments', async () => {
  await inCustomerScene(4, [FLOOD, CALM], async (scene) => {
    await untilKept(scene)
    for (let i = 0; i < 100 && keeperIndex(scene, 'reserve') === -1; i++) await sleep(50)
    const [primary, reserve] = ['primary', 'reserve'].map((role) => keeperIndex(scene, role))
    assert.ok(primary !== -1 && reserve !== -1, 'both are kept')
    assert.is.not(primary, reserve)
  })
})

test('all that is due runs at one entry', async () => {
  await inCustomerScene(3, [FLOOD, CALM], async (scene) => {
    await untilKept(scene)
    const answers = await flood(scene.entries.slice(0, 1), 'k-flood', 18, 4_000)
    assert.ok(countOf(answers, 200) >= LEAST_SHARE * answers.length, `${countOf(answers, 200)} of ${answers.length}`)
    assert.is(countOf(answers, 429), 0)
  })
})

const CHANGES: ReadonlyArray<readonly [string, (scene: CustomerScene, index: number) => Promise<void>]> = [
  ['is cut off from the store', async ({ entries }, index) => { entries[index]?.proxy.harm('silent') }],
  ['leaves', async ({ entries }, index) => { await entries[index]?.stop() }]
]

for (const [what, change] of CHANGES) {
  test(`while the keeper ${what} nobody grants twice, and a customer at its usual goes on`, async () => {
    await inCustomerScene(4, [FLOOD, CALM], async (scene) => {
      await untilKept(scene)
      const index = keeperIndex(scene, 'primary')
      const others = scene.entries.filter((_, i) => i !== index)
      const changed = sleep(1_000).then(async () => { await change(scene, index) })
      const [, calm] = await Promise.all([flood(others, 'k-flood', 120, 9_000), flood(others, 'k-calm', 10, 9_000), changed])
      assert.ok(worstWindow(tokensOf(scene, 'flood')) <= BOUND_TOKENS, `${worstWindow(tokensOf(scene, 'flood'))} of ${BOUND_TOKENS}`)
      assert.ok(countOf(calm, 200) >= 0.9 * calm.length, `${countOf(calm, 200)} of ${calm.length}`)
      assert.is(countOf(calm, 429), 0)
      assert.is.not(keeperIndex(scene, 'primary'), index)
    })
  })
}

test('a lower limit holds, a higher one is due', async () => {
  await inCustomerScene(2, [FLOOD, CALM], async (scene) => {
    await untilKept(scene)
    const lower = { ...LIMIT, 'rate-per-s': 1_000, burst: 1_000 }
    scene.configure(2, [{ ...FLOOD, ...lower }, CALM])
    await sleep(1_500)
    const atLower = await flood(scene.entries, 'k-flood', 60, 3_000)
    assert.ok(countOf(atLower, 200) <= 3 * 5 + 5 + 1, `${countOf(atLower, 200)} calls`)
    scene.configure(3, [{ ...FLOOD, 'rate-per-s': 20_000, burst: 20_000 }, CALM])
    await sleep(2_000)
    const atHigher = await flood(scene.entries, 'k-flood', 60, 3_000)
    assert.ok(countOf(atHigher, 200) >= LEAST_SHARE * atHigher.length, `${countOf(atHigher, 200)} of ${atHigher.length}`)
  })
})

test.run()
