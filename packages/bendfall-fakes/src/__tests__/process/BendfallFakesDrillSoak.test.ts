import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { soakFleet } from '../../fleet/soak/BendfallFakesFleetSoak.js'

// Seeds in which the store is restored from backups while replicas shut down and entries are suspended. A seed that
// fails is added with a line on the cause.
const SEEDS: readonly number[] = [1]

const SECONDS = 6

for (const seed of SEEDS) {
  test(`guarantees hold under the drills of seed ${seed}`, async () => {
    const { answered, violations } = await soakFleet(seed, SECONDS, 'drills')
    assert.equal(violations, [])
    assert.ok(answered > 0)
  })
}

test.run()
