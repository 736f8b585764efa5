import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { soakFleet } from '../../fleet/soak/BendfallFakesFleetSoak.js'

// With entries that go on with keys that they can't prove, the third has runs of keys that were taken away.
const SEEDS: readonly number[] = [1, 3]

const SECONDS = 12

for (const seed of SEEDS) {
  test(`keys and allotments hold under the faults of seed ${seed}`, async () => {
    const { answered, violations } = await soakFleet(seed, SECONDS, 'customers')
    assert.equal(violations, [])
    assert.ok(answered > 0)
  })
}

test.run()
