// Guards against a replica's failure that reaches the caller as a success. A duplicate
// response to a previous request was truncated within its head and came right before the
// next response. Both were parsed as one head, with the status of the first and the
// headers of the second, its request id included; the second status line became part of
// the reason phrase or of a header value.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ScriptedRequest } from '../../fleet/answers/BendfallFakesAnswersReplica.js'
import type { ScriptDuplicate } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import { withAnswersHarness } from '../../fleet/answers/BendfallFakesAnswersHarness.js'

const IN_STATUS_LINE: ScriptDuplicate = { part: 'line_cut', when: 'with_next', afterMs: 0, share: 0 }

/** By status: a 500 has a longer status line, so the same place in the head is at a larger share. */
const IN_SIGNATURE: Readonly<Record<200 | 500, ScriptDuplicate>> = {
  200: { part: 'head_cut', when: 'with_next', afterMs: 0, share: 0.42 },
  500: { part: 'head_cut', when: 'with_next', afterMs: 0, share: 0.53 }
}

for (const [previous, next] of [[200, 500], [500, 200], [200, 200]] as const) {
  for (const [place, double] of [['status line', IN_STATUS_LINE], ['signature', IN_SIGNATURE[previous]]] as const) {
    test(`a ${next} response keeps its status after a duplicate ${previous} response truncated within its ${place}`, async () => {
      const scriptOf = ({ requestId }: ScriptedRequest): object => ({ isIdLast: true, ...(requestId === 'former' ? { status: previous, double } : { status: next }) })
      await withAnswersHarness({ replicaIds: ['i-x'], scriptOf }, async ({ broken, call }) => {
        await call('booking', 'former')
        await call('booking', 'next')
        assert.equal(broken(), [])
      })
    })
  }
}

// The HTTP client reports only the last part of a reason phrase that arrives in several parts.
for (const [previous, next] of [[200, 500], [500, 200]] as const) {
  test(`a ${next} response that arrives byte by byte keeps its status after a duplicate ${previous} response truncated within its status line`, async () => {
    const scriptOf = ({ requestId }: ScriptedRequest): object => (requestId === 'former' ? { status: previous, double: IN_STATUS_LINE } : { status: next, bodyBytes: 0, write: 'bytes' })
    await withAnswersHarness({ replicaIds: ['i-x'], scriptOf }, async ({ broken, call }) => {
      await call('booking', 'former')
      await call('booking', 'next')
      assert.equal(broken(), [])
    })
  })
}

test.run()
