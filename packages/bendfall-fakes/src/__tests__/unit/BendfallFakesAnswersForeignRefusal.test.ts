// A caller was told that its request had not run, and it had. A decode replica refused
// to hold memory for one request and did so twice, the second time late, when the
// connection was used by the run of another. Whether an answer says "not run" was
// looked at before whose answer it is: the run was taken for refused, and the request
// was refused to its caller, or ran a second time at another replica.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { AskedFor } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import type { ScriptedRequest } from '../../fleet/answers/BendfallFakesAnswersReplica.js'
import { onAnswersStage } from '../../fleet/answers/BendfallFakesAnswersStage.js'

const REFUSED_AFTER_MS = 30
const READ_AFTER_MS = 100

for (const status of [503, 429, 421] as const) {
  // The refused hold and its second answer; the other request's hold is granted
  // sooner, so that its run takes the connection that was used last.
  test(`a second refusal ${status} of another request's hold doesn't refuse a run`, async () => {
    const holds = new Map<string, number>()
    const scriptOf = ({ asked, replicaId }: ScriptedRequest): object => {
      if (asked === 'prefill') return { workMs: READ_AFTER_MS }
      if (asked !== 'hold') return {}
      const before = holds.get(replicaId) ?? 0
      holds.set(replicaId, before + 1)
      return before === 0 ? { status, workMs: REFUSED_AFTER_MS, double: { part: 'whole', when: 'with_next', afterMs: 0, share: 0.5 } } : {}
    }
    await onAnswersStage({ replicaIds: ['i-p', 'i-a'], scriptOf }, async ({ arrivals, broken, call }) => {
      await Promise.all([call('summary', 'refused'), call('summary', 'runs')])
      const asked = arrivals().map((arrival): AskedFor => arrival.asked)
      assert.is(asked.filter((one) => one === 'run').length, 1)
      assert.equal(broken(), [])
    })
  })
}

test.run()
