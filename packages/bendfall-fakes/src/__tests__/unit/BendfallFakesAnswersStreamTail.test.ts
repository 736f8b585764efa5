// Guards against a stream that reaches the caller as complete, but without its last event.
// While a stream runs, only complete events are forwarded, so that another replica can resume
// after the last one. The bytes after the last empty line were dropped when the response
// ended, and the response was still ended as complete. If the replica's response had a
// length, fewer bytes were sent than the forwarded length announced, and the caller waited
// for the rest until it timed out. Lines that end with a carriage return alone were not
// recognized as events at all: the caller got 200 with an empty body.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ScriptFraming } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import type { ScriptChange } from '../../fleet/answers/BendfallFakesAnswersHarness.js'
import { withAnswersHarness } from '../../fleet/answers/BendfallFakesAnswersHarness.js'

const FORMS: Readonly<Record<string, ScriptChange>> = {
  'whose last event lacks its empty line': { isLastOpen: true },
  'with CR LF whose last event lacks its empty line': { lineEnd: '\r\n', isLastOpen: true },
  'with lines ended by CR': { lineEnd: '\r' },
  'with CR LF and comments': { lineEnd: '\r\n', hasComments: true },
  'with lines ended by LF': {}
}

for (const framing of ['chunked', 'connection', 'length'] as const satisfies readonly ScriptFraming[]) {
  for (const [form, change] of Object.entries(FORMS)) {
    test(`a stream ${form}, with ${framing} framing, arrives completely`, async () => {
      await withAnswersHarness({ scriptOf: ({ asked }) => (asked === 'run' ? { ...change, framing, write: 'pieces', pieces: 3, pieceDelayMs: 2 } : {}) }, async ({ broken, call }) => {
        const { answer, end } = await call('summary', `tail-${framing}`)
        assert.equal(broken(), [])
        // A close-delimited stream of this form cannot be told from one that broke within
        // its last event, which event stream parsers would silently drop.
        const isAmbiguous = framing === 'connection' && change.isLastOpen === true
        assert.is(end, isAmbiguous ? 'broken' : 'complete')
        assert.is(answer.status, 200)
      })
    })
  }
}

test('a close-delimited stream that is closed gracefully within an event keeps all its bytes', async () => {
  await withAnswersHarness({ scriptOf: ({ asked }) => (asked === 'run' ? { framing: 'connection', cut: { how: 'fin', at: 'body', share: 0.5, afterMs: 20 } } : {}) }, async ({ broken, call }) => {
    await call('summary', 'half-event')
    assert.equal(broken(), [])
  })
})

test.run()
