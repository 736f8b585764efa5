// A caller had every event of a stream, but its answer never ended. The replica broke
// off behind the last event and before the end of the answer; the stream went on at
// another replica, which had nothing to add: 200 without an event. The entry keeps an
// answer without events to deliver it whole, and delivers nothing once a head was
// sent; the request was forgotten, and with it the deadline that would have cut it.
// The same where the other replica fails with a status of its own; a long body of
// such a failure was even written into the stream.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ScriptCut, ScriptFraming } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import { onAnswersStage } from '../../fleet/answers/BendfallFakesAnswersStage.js'

const BREAKS = {
  chunked: { how: 'fin', at: 'last_byte', share: 0, afterMs: 0 },
  connection: { how: 'reset', at: 'end', share: 0, afterMs: 60 },
  length: { how: 'fin', at: 'last_byte', share: 0, afterMs: 0 }
} as const satisfies Partial<Record<ScriptFraming, ScriptCut>>

const BREAK_WITHIN: ScriptCut = { how: 'fin', at: 'body', share: 0.5, afterMs: 0 }

for (const framing of ['chunked', 'connection', 'length'] as const satisfies readonly ScriptFraming[]) {
  test(`a stream framed by ${framing} that breaks off behind its last event ends`, async () => {
    let runs = 0
    const scriptOf = ({ asked }: { readonly asked: string }): object => {
      if (asked !== 'run') return {}
      runs += 1
      return runs === 1 ? { framing, cut: BREAKS[framing] } : { framing: 'length' }
    }
    await onAnswersStage({ scriptOf }, async ({ broken, call }) => {
      const { end } = await call('brief', 'resumed')
      assert.is.not(end, 'silent')
      assert.equal(broken(), [])
    })
  })
}

const FAILURES: Readonly<Record<string, number>> = { 'a short body': 20, 'a body of 300 KB': 300_000 }

for (const [name, bodyBytes] of Object.entries(FAILURES)) {
  test(`a stream that goes on at a replica which fails with 500 and ${name} ends as cut`, async () => {
    let runs = 0
    const scriptOf = ({ asked }: { readonly asked: string }): object => {
      if (asked !== 'run') return {}
      runs += 1
      return runs === 1 ? { framing: 'chunked', cut: BREAK_WITHIN } : { status: 500, bodyBytes }
    }
    await onAnswersStage({ scriptOf }, async ({ broken, call }) => {
      const { answer, end } = await call('brief', 'failed')
      assert.is(end, 'broken')
      assert.is(answer.body.includes('answer to failed'), false)
      assert.equal(broken(), [])
    })
  })
}

test('a stream in chunks that goes on at a replica whose answer only its connection ends does not look complete', async () => {
  let runs = 0
  const scriptOf = ({ asked }: { readonly asked: string }): object => {
    if (asked !== 'run') return {}
    runs += 1
    return runs === 1 ? { framing: 'chunked', cut: BREAK_WITHIN } : { framing: 'connection' }
  }
  await onAnswersStage({ scriptOf }, async ({ call }) => {
    const { end } = await call('brief', 'vouched')
    assert.is(runs, 2)
    assert.is(end, 'broken')
  })
})

test.run()
