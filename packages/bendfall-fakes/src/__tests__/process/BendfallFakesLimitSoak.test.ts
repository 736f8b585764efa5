import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { soakFleet } from '../../fleet/soak/BendfallFakesFleetSoak.js'

// Seeds that ever failed stand here with a line on the cause.
const SEEDS: readonly number[] = [1, 2]

const SECONDS = 14

for (const seed of SEEDS) {
  test(`limits that replicas name are kept by all entries together under the faults of seed ${seed}`, async () => {
    const { answered, violations } = await soakFleet(seed, SECONDS, 'limits')
    assert.equal(violations, [])
    assert.ok(answered > 0)
  })
}

test.run()
