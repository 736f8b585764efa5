import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import { after, assertGoesOn, DURATION_MS } from './VersionAssertions.js'
import { runCallers, withVersionFleet } from './VersionHarness.js'

test('streams that replicas break off go on at the software version that began them', async () => {
  let runs = 0
  await withVersionFleet({ breaksOff: () => runs++ % 2 === 0 }, async (fleet) => assertGoesOn(fleet, await runCallers(fleet, after(DURATION_MS))))
})

test('streams that callers resume at another entry go on at the software version that began them', () => withVersionFleet({}, async (fleet) => {
  assertGoesOn(fleet, await runCallers(fleet, after(DURATION_MS), { leavesAfter: 5 }))
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

test.run()
