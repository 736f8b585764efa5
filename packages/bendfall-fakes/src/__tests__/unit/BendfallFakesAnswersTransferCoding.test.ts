// Guards against a partial response that is forwarded as a complete chunked one. The
// replica's response had a transfer coding other than chunked, so its body was
// close-delimited. Any transfer coding was taken for chunked: a reset was not checked for,
// and the entry marked the end of the body as complete with a last chunk.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ScriptCut } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import { withAnswersHarness } from '../../fleet/answers/BendfallFakesAnswersHarness.js'

const CUTS: Readonly<Record<string, ScriptCut>> = {
  'reset in its middle': { how: 'reset', at: 'body', share: 0.5, afterMs: 30 },
  'closed gracefully in its middle': { how: 'fin', at: 'body', share: 0.5, afterMs: 30 }
}

for (const [name, cut] of Object.entries(CUTS)) {
  test(`a response with a transfer coding other than chunked that is ${name} does not look complete`, async () => {
    await withAnswersHarness({ scriptOf: ({ asked }) => (asked === 'run' ? { framing: 'identity', bodyBytes: 600, cut } : {}) }, async ({ broken, call }) => {
      await call('booking', 'coded')
      await call('summary', 'coded-stream')
      assert.equal(broken(), [])
    })
  })
}

test.run()
