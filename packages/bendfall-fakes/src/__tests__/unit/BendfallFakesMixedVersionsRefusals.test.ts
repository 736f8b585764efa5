import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { after, assertNotMixed, DURATION_MS } from './VersionAssertions.js'
import { runCallers, withVersionFleet } from './VersionHarness.js'

/** Time within which a stream that no replica can continue is refused. */
const MAX_REFUSAL_MS = 50

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
