import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { soakFleet } from '../../fleet/soak/BendfallFakesFleetSoak.js'

// If entries continue to accept keys that they cannot verify, requests with revoked keys run under seed 3.
const SEEDS: readonly number[] = [1, 3]

const SECONDS = 12

for (const seed of SEEDS) {
  test(`API keys and allotments are enforced under the faults of seed ${seed}`, async () => {
    const { answered, violations } = await soakFleet(seed, SECONDS, 'customers')
    assert.equal(violations, [])
    assert.ok(answered > 0)
  })
}

test.run()
