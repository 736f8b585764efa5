// The promises of an entry under answers that are framed, broken off, doubled and
// delayed by a seed. Seeds that ever failed stay, with a line on the cause.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { fuzzAnswers, planOf } from '../../fleet/answers/BendfallFakesAnswersFuzz.js'

const SEEDS: ReadonlyArray<readonly [number, string]> = [
  [403, 'a hold was given to two requests'],
  [405, 'a reset was taken for the end of an answer'],
  [406, 'a second answer gave the handle of another request'],
  [407, 'an end that no length or chunk told was vouched for'],
  [408, 'streams lacked their tail, or never ended'],
  [409, 'an end of the connection while reading was paused ended the process']
]

for (const [seed, cause] of SEEDS) {
  test(`promises hold on seed ${seed}: ${cause}`, async () => {
    const { calls, violations } = await fuzzAnswers(planOf(seed))
    assert.ok(calls > 0)
    assert.equal(violations.map(({ detail, requestId, type }) => `${type} ${requestId}: ${detail}`), [])
  })
}

test.run()
