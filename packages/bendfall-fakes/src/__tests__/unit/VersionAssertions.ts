import * as assert from 'uvu/assert'
import { MIN_RESUMED } from './VersionHarness.js'
import type { VersionFleet, VersionTally } from './VersionHarness.js'

/** Time during which new streams begin. */
export const DURATION_MS = 4_000

/** Lowest share of resumed streams that go on, relative to the share of new streams that begin. */
const MIN_GOES_ON = 0.95

/** Returns a condition that holds after a time. */
export function after (durationMs: number): () => boolean {
  const endsAtMs = performance.now() + durationMs
  return () => performance.now() >= endsAtMs
}

export function assertNotMixed ({ mixed, resumed, streams, violations }: VersionTally): void {
  assert.ok(resumed >= MIN_RESUMED, `${resumed} resumed`)
  assert.is(mixed, 0, `${mixed} of ${streams.length} streams have events of two software versions`)
  assert.equal(violations, [])
}

export function assertGoesOn (fleet: VersionFleet, tally: VersionTally): void {
  assertNotMixed(tally)
  assert.ok(tally.goesOn >= MIN_GOES_ON, `${tally.goesOn.toFixed(3)} of ${tally.resumed} go on; refused or cut: ${fleet.refusalReasons()}`)
}
