// Guards against streams that are lost after a power cut of all entries and sidecars, the only processes that remember
// which version began a stream: the record in the store lets entries tell while one version alone may have begun it.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { assertNotMixed } from './VersionAssertions.js'
import { replaceAndKillEntries, runCallersThrough, withVersionFleet } from './VersionHarness.js'

const ALL_ENTRIES = [0, 1, 2]

/** Entries create the record once they have watched for as long as streams can be resumed, which is 20 s here. */
const MAX_WATCH_MS = 60_000
const POLL_MS = 200
const RECORD_KEY = 'bendfall/streams/resumable-software'
const ONE_VERSION = /"software":\[\d+\]/
const RUN_MS = 1_000

/** Lowest share of resumed streams that go on, relative to the share of new streams that begin. */
const MIN_GOES_ON = 0.5

test('streams go on after a power cut, and none is joined from two versions when a release follows', () => withVersionFleet({}, async (fleet) => {
  await Promise.all(fleet.replicas().filter(({ softwareVersion }) => softwareVersion !== 'v1').map(({ leave }) => leave()))
  for (let waitedMs = 0; !ONE_VERSION.test(fleet.readStore(RECORD_KEY) ?? '') && waitedMs < MAX_WATCH_MS; waitedMs += POLL_MS) await sleep(POLL_MS)
  assert.match(fleet.readStore(RECORD_KEY) ?? '', ONE_VERSION)

  const whileAlone = await runCallersThrough(fleet, { rounds: 1, pauseMs: RUN_MS, namesFirstRequest: false, disturb: () => fleet.killEntries(ALL_ENTRIES) })
  assertNotMixed(whileAlone)
  assert.ok(whileAlone.goesOn >= MIN_GOES_ON, `${whileAlone.goesOn.toFixed(3)} of ${whileAlone.resumed} go on; refused or cut: ${fleet.refusalReasons()}`)

  assertNotMixed(await runCallersThrough(fleet, { rounds: 2, pauseMs: RUN_MS, namesFirstRequest: false, disturb: (round) => replaceAndKillEntries(fleet, `v${round + 2}`) }))
}))

test.run()
