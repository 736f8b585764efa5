// Part of an answer was passed on as a complete one, in chunks of our own. The answer
// had a transfer coding without chunks, whose body ends with the connection as that of
// an answer without a length does. Any transfer coding was taken for chunks: a reset
// was not looked for, and the end was vouched for by a last chunk.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ScriptCut } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import { onAnswersStage } from '../../fleet/answers/BendfallFakesAnswersStage.js'

const CUTS: Readonly<Record<string, ScriptCut>> = {
  'reset in its middle': { how: 'reset', at: 'body', share: 0.5, afterMs: 30 },
  'closed in order in its middle': { how: 'fin', at: 'body', share: 0.5, afterMs: 30 }
}

for (const [name, cut] of Object.entries(CUTS)) {
  test(`an answer with a transfer coding without chunks that is ${name} does not look complete`, async () => {
    await onAnswersStage({ scriptOf: ({ asked }) => (asked === 'run' ? { framing: 'identity', bodyBytes: 600, cut } : {}) }, async ({ broken, call }) => {
      await call('booking', 'coded')
      await call('summary', 'coded-stream')
      assert.equal(broken(), [])
    })
  })
}

test.run()
