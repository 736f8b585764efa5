import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runCallers, withVersionFleet } from './VersionHarness.js'
import type { VersionFleet, VersionTally } from './VersionHarness.js'

const DURATION_MS = 4_000

/** Lowest share of resumed streams that go on, relative to the share of new streams that begin. */
const MIN_GOES_ON = 0.95

const MIN_RESUMED = 12

/** Time within which a stream that no replica can continue is refused. */
const MAX_REFUSAL_MS = 50

/** Returns a condition that holds after a time. */
function after (durationMs: number): () => boolean {
  const endsAtMs = performance.now() + durationMs
  return () => performance.now() >= endsAtMs
}

function assertNotMixed ({ mixed, resumed, streams, violations }: VersionTally): void {
  assert.ok(resumed >= MIN_RESUMED, `${resumed} resumed`)
  assert.is(mixed, 0, `${mixed} of ${streams.length} streams have events of two software versions`)
  assert.equal(violations, [])
}

function assertGoesOn (fleet: VersionFleet, tally: VersionTally): void {
  assertNotMixed(tally)
  assert.ok(tally.goesOn >= MIN_GOES_ON, `${tally.goesOn.toFixed(3)} of ${tally.resumed} go on; refused or cut: ${fleet.refusalReasons()}`)
}

test('streams that replicas break off go on at the software version that began them', async () => {
  let runs = 0
  await withVersionFleet({ breaksOff: () => runs++ % 2 === 0 }, async (fleet) => assertGoesOn(fleet, await runCallers(fleet, after(DURATION_MS))))
})

test('streams that callers resume at another entry go on at the software version that began them', () => withVersionFleet({}, async (fleet) => {
  assertGoesOn(fleet, await runCallers(fleet, after(DURATION_MS), { leavesAfter: 5 }))
}))

test('streams of entries that are killed in turn go on at the software version that began them', () => withVersionFleet({ hasSidecars: true }, async (fleet) => {
  let isOver = false
  const calls = runCallers(fleet, () => isOver)
  for (const index of [0, 1, 2, 0, 1, 2, 0, 1, 2]) {
    await sleep(DURATION_MS / 5)
    await fleet.killEntries([index])
  }
  isOver = true
  assertGoesOn(fleet, await calls)
}))

test('streams of entries that are all killed at once never go on at another software version', () => withVersionFleet({ hasSidecars: true }, async (fleet) => {
  let isOver = false
  const calls = runCallers(fleet, () => isOver)
  for (let kills = 0; kills < 3; kills += 1) {
    await sleep(DURATION_MS / 4)
    await fleet.killEntries([0, 1, 2])
  }
  isOver = true
  assertNotMixed(await calls)
}))

test('streams go on at the software version that began them while replicas are replaced by those of another one', () => withVersionFleet({}, async (fleet) => {
  const calls = runCallers(fleet, after(DURATION_MS), { leavesAfter: 7 })
  for (const [from, to] of [['v1', 'v2'], ['v2', 'v1'], ['v1', 'v2'], ['v2', 'v1']] as const) {
    await sleep(DURATION_MS / 5)
    await fleet.addReplica('decode', to)
    await fleet.replicas().find(({ softwareVersion, stage }) => softwareVersion === from && stage === 'decode')?.leave()
  }
  assertGoesOn(fleet, await calls)
}))

test('streams whose software version has left are refused at once', () => withVersionFleet({}, async (fleet) => {
  const calls = runCallers(fleet, after(DURATION_MS), { leavesAfter: 12 })
  await sleep(DURATION_MS / 2)
  await Promise.all(fleet.replicas().filter(({ softwareVersion }) => softwareVersion === 'v1').map(({ leave }) => leave()))
  const tally = await calls
  assertNotMixed(tally)
  const refusals = tally.streams.flatMap((stream) => stream.refusals)
  assert.ok(refusals.length > 0, 'some streams were refused')
  const slow = refusals.filter(({ afterMs, status }) => status !== 503 || afterMs > MAX_REFUSAL_MS)
  assert.equal(slow, [], `${slow.length} of ${refusals.length}`)
}))

test('an entry that is cut off from the store, the sidecars and the other entries never joins software versions', () => withVersionFleet({ isLastIsolated: true }, async (fleet) => {
  assertNotMixed(await runCallers(fleet, after(DURATION_MS), { leavesAfter: 5 }))
}))

test.run()
