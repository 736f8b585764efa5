// Guards against a "not run" error for a request that did run. A decode replica refused
// to hold memory for one request and sent a late duplicate of the refusal when the run
// of another request was using the connection. The "not run" status was checked before
// the request id, so the run counted as refused: its caller got an error, or the request
// ran a second time at another replica.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { RequestPurpose } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import type { ScriptedRequest } from '../../fleet/answers/BendfallFakesAnswersReplica.js'
import { withAnswersHarness } from '../../fleet/answers/BendfallFakesAnswersHarness.js'

const REFUSAL_DELAY_MS = 30
const PREFILL_MS = 100

for (const status of [503, 429, 421] as const) {
  // One hold is refused, with a duplicate response. The hold of the other request is granted
  // sooner, so that its run uses the connection that was used last.
  test(`a duplicate ${status} response that refuses the hold of another request does not refuse a run`, async () => {
    const holds = new Map<string, number>()
    const scriptOf = ({ asked, replicaId }: ScriptedRequest): object => {
      if (asked === 'prefill') return { workMs: PREFILL_MS }
      if (asked !== 'hold') return {}
      const previousHolds = holds.get(replicaId) ?? 0
      holds.set(replicaId, previousHolds + 1)
      return previousHolds === 0 ? { status, workMs: REFUSAL_DELAY_MS, double: { part: 'whole', when: 'with_next', afterMs: 0, share: 0.5 } } : {}
    }
    await withAnswersHarness({ replicaIds: ['i-p', 'i-a'], scriptOf }, async ({ arrivals, broken, call }) => {
      await Promise.all([call('summary', 'refused'), call('summary', 'runs')])
      const purposes = arrivals().map((arrival): RequestPurpose => arrival.asked)
      assert.is(purposes.filter((purpose) => purpose === 'run').length, 1)
      assert.equal(broken(), [])
    })
  })
}

test.run()
