import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import { assertGoesOn, assertNotMixed, DURATION_MS } from './VersionAssertions.js'
import { runCallers, withVersionFleet } from './VersionHarness.js'

for (const hasSidecars of [true, false]) {
  test(`streams of entries that are killed in turn go on at the software version that began them, ${hasSidecars ? 'with' : 'without'} sidecars`, () => withVersionFleet({ hasSidecars }, async (fleet) => {
    let isOver = false
    const calls = runCallers(fleet, () => isOver)
    for (const index of [0, 1, 2, 0, 1, 2, 0, 1, 2]) {
      await sleep(DURATION_MS / 5)
      await fleet.killEntries([index])
    }
    isOver = true
    assertGoesOn(fleet, await calls)
  }))
}

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

test.run()
