// Guards against streams that are joined from two versions when all entries are killed while one version replaces the
// other: entries that come back know the new one alone.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { soakFleet } from '../../fleet/soak/BendfallFakesFleetSoak.js'

const SECONDS = 8

for (const seed of [1, 2]) {
  test(`streams are not joined from two versions when all entries are killed in a release, seed ${seed}`, async () => {
    const { answered, violations } = await soakFleet(seed, SECONDS, 'releases')
    assert.equal(violations, [])
    assert.ok(answered > 0, 'no call was answered')
  })
}

test.run()
