// Guards against streams that are joined from two software versions: all entries are killed right after one version has
// replaced the other, so that those that come back know the new one alone, and callers resume their streams there.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import { assertNotMixed } from './VersionAssertions.js'
import { replaceAndKillEntries, runCallersThrough, withVersionFleet } from './VersionHarness.js'

const SETTLE_MS = 1_500
const RUN_MS = 1_000
const ROUNDS = 2

const NAMES_FIRST_REQUEST: Readonly<Record<string, boolean>> = {
  'streams of callers that name their first request are not joined from two versions after a power cut': true,
  'streams of callers that do not name their first request are not joined from two versions after a power cut': false
}

for (const [name, namesFirstRequest] of Object.entries(NAMES_FIRST_REQUEST)) {
  test(name, () => withVersionFleet({ hasSidecars: true }, async (fleet) => {
    await Promise.all(fleet.replicas().filter((replica) => replica.softwareVersion !== 'v1').map(({ leave }) => leave()))
    await sleep(SETTLE_MS)
    assertNotMixed(await runCallersThrough(fleet, { rounds: ROUNDS, pauseMs: RUN_MS, namesFirstRequest, disturb: (round) => replaceAndKillEntries(fleet, `v${round + 2}`) }))
  }))
}

test.run()
