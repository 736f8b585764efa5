// Guards against a partial response that reaches the caller as a complete one, with the
// replica's signature. The replica sent part of a close-delimited response, and its
// connection was reset while the entry was busy, so the entry received the last bytes and
// the reset together. The socket then reports the end of the data and no error, and the
// response counted as closed gracefully. The responses below are reset in the same
// event loop turn as their last bytes, which is what a busy entry observes.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ScriptCut } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import type { AnswersKind } from '../../fleet/answers/BendfallFakesAnswersEntry.js'
import { withAnswersHarness } from '../../fleet/answers/BendfallFakesAnswersHarness.js'

const CALLS = 20

const CUTS: Readonly<Record<string, ScriptCut>> = {
  'in its middle': { how: 'reset', at: 'body', share: 0.5, afterMs: 0 },
  'before its first byte': { how: 'reset', at: 'body', share: 0, afterMs: 0 },
  'before its last byte': { how: 'reset', at: 'last_byte', share: 0, afterMs: 0 }
}

for (const kind of ['booking', 'rate', 'summary', 'brief'] as const satisfies readonly AnswersKind[]) {
  for (const [place, cut] of Object.entries(CUTS)) {
    test(`a close-delimited response to a ${kind} call that is reset ${place} is not forwarded as complete`, async () => {
      await withAnswersHarness({ scriptOf: ({ asked }) => (asked === 'run' ? { framing: 'connection', bodyBytes: 600, cut } : {}) }, async ({ broken, call }) => {
        for (let i = 0; i < CALLS; i++) await call(kind, `reset-${i}`)
        assert.equal(broken(), [])
      })
    })
  }
}

test('a close-delimited response that is closed gracefully is complete', async () => {
  await withAnswersHarness({ scriptOf: ({ asked }) => (asked === 'run' ? { framing: 'connection', bodyBytes: 600 } : {}) }, async ({ broken, call }) => {
    const ends: string[] = []
    for (let i = 0; i < CALLS; i++) ends.push((await call('booking', `closed-${i}`)).end)
    assert.equal(ends, Array.from({ length: CALLS }, () => 'complete'))
    assert.equal(broken(), [])
  })
})

test.run()
