// Guards against a stream whose events all reach the caller but whose response never ends.
// The replica's connection broke after the last event and before the end of the response.
// The stream was resumed at another replica, which had nothing to add and sent 200 without
// an event. The entry buffers a response without events to deliver it in one piece, and
// delivers nothing once a head was sent; the request was dropped, and with it the deadline
// that would have aborted the response. The same happened if the other replica failed with
// a status of its own; a long body of such a failure was even written into the stream.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ScriptCut, ScriptFraming } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import { withAnswersHarness } from '../../fleet/answers/BendfallFakesAnswersHarness.js'

const CUTS_AT_END = {
  chunked: { how: 'fin', at: 'last_byte', share: 0, afterMs: 0 },
  connection: { how: 'reset', at: 'end', share: 0, afterMs: 60 },
  length: { how: 'fin', at: 'last_byte', share: 0, afterMs: 0 }
} as const satisfies Partial<Record<ScriptFraming, ScriptCut>>

const CUT_IN_BODY: ScriptCut = { how: 'fin', at: 'body', share: 0.5, afterMs: 0 }

for (const framing of ['chunked', 'connection', 'length'] as const satisfies readonly ScriptFraming[]) {
  test(`a stream with ${framing} framing that breaks after its last event ends`, async () => {
    let runs = 0
    const scriptOf = ({ asked }: { readonly asked: string }): object => {
      if (asked !== 'run') return {}
      runs += 1
      return runs === 1 ? { framing, cut: CUTS_AT_END[framing] } : { framing: 'length' }
    }
    await withAnswersHarness({ scriptOf }, async ({ broken, call }) => {
      const { end } = await call('brief', 'resumed')
      assert.is.not(end, 'silent')
      assert.equal(broken(), [])
    })
  })
}

const FAILURES: Readonly<Record<string, number>> = { 'a short body': 20, 'a body of 300 KB': 300_000 }

for (const [name, bodyBytes] of Object.entries(FAILURES)) {
  test(`a stream resumed at a replica that fails with 500 and ${name} is aborted`, async () => {
    let runs = 0
    const scriptOf = ({ asked }: { readonly asked: string }): object => {
      if (asked !== 'run') return {}
      runs += 1
      return runs === 1 ? { framing: 'chunked', cut: CUT_IN_BODY } : { status: 500, bodyBytes }
    }
    await withAnswersHarness({ scriptOf }, async ({ broken, call }) => {
      const { answer, end } = await call('brief', 'failed')
      assert.is(end, 'broken')
      assert.is(answer.body.includes('answer to failed'), false)
      assert.equal(broken(), [])
    })
  })
}

// Guards against a resumed stream that is aborted, or runs a third time, although its rest arrived completely. A graceful
// close behind a complete event ends a close-delimited stream; a reset, also right behind an event, does not.
for (const [how, end] of [['fin', 'complete'], ['reset', 'broken']] as const) {
  test(`a chunked stream resumed at a replica with a close-delimited response that ends by ${how} is ${end}`, async () => {
    let runs = 0
    const scriptOf = ({ asked }: { readonly asked: string }): object => {
      if (asked !== 'run') return {}
      runs += 1
      return runs === 1 ? { framing: 'chunked', cut: CUT_IN_BODY } : { framing: 'connection', cut: { how, at: 'end', share: 0, afterMs: 60 } }
    }
    await withAnswersHarness({ scriptOf }, async ({ broken, call }) => {
      const outcome = await call('brief', `resumed-${how}`)
      assert.is(runs, 2)
      assert.is(outcome.end, end)
      assert.equal(broken(), [])
    })
  })
}

test.run()
