// A caller got the replica's failure as a success. A second answer to a former request
// was broken off within its head and came right before the next answer: both were read
// as one head, with the status of the first and what the second one tells, its id
// included. The reason phrase, or the value of a header, holds the second status line.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ScriptedRequest } from '../../fleet/answers/BendfallFakesAnswersReplica.js'
import type { ScriptDouble } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import { onAnswersStage } from '../../fleet/answers/BendfallFakesAnswersStage.js'

const IN_STATUS_LINE: ScriptDouble = { part: 'line_cut', when: 'with_next', afterMs: 0, share: 0 }

/** The head of a 500 has a longer status line. */
const IN_SIGNATURE: Readonly<Record<200 | 500, ScriptDouble>> = {
  200: { part: 'head_cut', when: 'with_next', afterMs: 0, share: 0.42 },
  500: { part: 'head_cut', when: 'with_next', afterMs: 0, share: 0.53 }
}

for (const [former, next] of [[200, 500], [500, 200], [200, 200]] as const) {
  for (const [place, double] of [['a status line', IN_STATUS_LINE], ['a signature', IN_SIGNATURE[former]]] as const) {
    test(`an answer ${next} behind ${place} that was broken off in an answer ${former} keeps its status`, async () => {
      const scriptOf = ({ requestId }: ScriptedRequest): object => ({ isIdLast: true, ...(requestId === 'former' ? { status: former, double } : { status: next }) })
      await onAnswersStage({ replicaIds: ['i-x'], scriptOf }, async ({ broken, call }) => {
        await call('booking', 'former')
        await call('booking', 'next')
        assert.equal(broken(), [])
      })
    })
  }
}

// The client tells only the last piece of a reason phrase that arrives in several.
for (const [former, next] of [[200, 500], [500, 200]] as const) {
  test(`an answer ${next} that comes byte by byte behind a status line that was broken off in an answer ${former} keeps its status`, async () => {
    const scriptOf = ({ requestId }: ScriptedRequest): object => (requestId === 'former' ? { status: former, double: IN_STATUS_LINE } : { status: next, bodyBytes: 0, write: 'bytes' })
    await onAnswersStage({ replicaIds: ['i-x'], scriptOf }, async ({ broken, call }) => {
      await call('booking', 'former')
      await call('booking', 'next')
      assert.equal(broken(), [])
    })
  })
}

test.run()
