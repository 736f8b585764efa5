import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { soakFleet } from '../../fleet/soak/BendfallFakesFleetSoak.js'

// Seeds that play only faults which excuse no late send to a replica that leaves.
// 213: a replica that restarted while it left, and said that it was ready, was taken for
// one that leaves; the log showed its newer registration, so the soak was wrong.
const SEEDS: readonly number[] = [3, 213]

const SECONDS = 5

for (const seed of SEEDS) {
  test(`promises hold under the faults of seed ${seed}`, async () => {
    const { answered, violations } = await soakFleet(seed, SECONDS)
    assert.equal(violations, [])
    assert.ok(answered > 0)
  })
}

test.run()
