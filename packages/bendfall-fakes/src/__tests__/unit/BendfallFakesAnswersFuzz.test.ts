// Checks the guarantees of an entry against responses whose framing, truncation, duplicates
// and delays are drawn from a seed. Each seed that has failed stays, with its cause.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { fuzzAnswers, createFuzzPlan } from '../../fleet/answers/BendfallFakesAnswersFuzz.js'

const SEEDS: ReadonlyArray<readonly [number, string]> = [
  [403, 'a hold was given to two requests'],
  [405, 'a reset was mistaken for the end of a response'],
  [406, 'a duplicate response supplied the handle of another request'],
  [407, 'the end of a response without a length or chunks was passed on as verified'],
  [408, 'streams lost their last bytes or never ended'],
  [409, 'a connection that closed while reading was paused ended the process']
]

for (const [seed, cause] of SEEDS) {
  test(`guarantees hold on seed ${seed}: ${cause}`, async () => {
    const { calls, violations } = await fuzzAnswers(createFuzzPlan(seed))
    assert.ok(calls > 0)
    assert.equal(violations.map(({ detail, requestId, type }) => `${type} ${requestId}: ${detail}`), [])
  })
}

test.run()
