// A caller got part of an answer as a whole one, with the replica's signature.
// The replica sent part of an answer without a length and its connection was reset
// while the entry was busy, so that the entry found the last bytes and the reset
// together. The socket then tells the end of the data and no error, and the answer
// was taken for closed in order. The answers below are reset in the turn of their
// last bytes, which is what a busy entry finds.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ScriptCut } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import type { AnswersKind } from '../../fleet/answers/BendfallFakesAnswersScene.js'
import { onAnswersStage } from '../../fleet/answers/BendfallFakesAnswersStage.js'

const CALLS = 20

const CUTS: Readonly<Record<string, ScriptCut>> = {
  'in its middle': { how: 'reset', at: 'body', share: 0.5, afterMs: 0 },
  'before its first byte': { how: 'reset', at: 'body', share: 0, afterMs: 0 },
  'before its last byte': { how: 'reset', at: 'last_byte', share: 0, afterMs: 0 }
}

for (const kind of ['booking', 'rate', 'summary', 'brief'] as const satisfies readonly AnswersKind[]) {
  for (const [place, cut] of Object.entries(CUTS)) {
    test(`an answer without a length to a ${kind} call that is reset ${place} is not passed on as complete`, async () => {
      await onAnswersStage({ scriptOf: ({ asked }) => (asked === 'run' ? { framing: 'connection', bodyBytes: 600, cut } : {}) }, async ({ broken, call }) => {
        for (let i = 0; i < CALLS; i++) await call(kind, `reset-${i}`)
        assert.equal(broken(), [])
      })
    })
  }
}

test('an answer without a length that is closed in order is complete', async () => {
  await onAnswersStage({ scriptOf: ({ asked }) => (asked === 'run' ? { framing: 'connection', bodyBytes: 600 } : {}) }, async ({ broken, call }) => {
    const ends: string[] = []
    for (let i = 0; i < CALLS; i++) ends.push((await call('booking', `closed-${i}`)).end)
    assert.equal(ends, Array.from({ length: CALLS }, () => 'complete'))
    assert.equal(broken(), [])
  })
})

test.run()
