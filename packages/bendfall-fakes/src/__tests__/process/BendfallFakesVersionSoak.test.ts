import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { soakFleet } from '../../fleet/soak/BendfallFakesFleetSoak.js'

const SECONDS = 5

for (const seed of [1, 2]) {
  test(`streams go on at the software version that began them under seeded faults, seed ${seed}`, async () => {
    const { answered, violations } = await soakFleet(seed, SECONDS, 'versions')
    assert.equal(violations, [])
    assert.ok(answered > 0, 'no call was answered')
  })
}

test.run()
