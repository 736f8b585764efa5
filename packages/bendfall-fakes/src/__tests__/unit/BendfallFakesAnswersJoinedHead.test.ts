// A caller got the replica's failure as a success. A second answer to a former request
// was broken off within its status line and came right before the next answer: both
// were read as one head, with the status of the first and all else of the second,
// its id included. The reason phrase holds the second status line.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ScriptedRequest } from '../../fleet/answers/BendfallFakesAnswersReplica.js'
import { onAnswersStage } from '../../fleet/answers/BendfallFakesAnswersStage.js'

for (const [former, next] of [[200, 500], [500, 200]] as const) {
  test(`an answer ${next} behind part of a status line ${former} keeps its status`, async () => {
    const scriptOf = ({ requestId }: ScriptedRequest): object =>
      (requestId === 'former' ? { status: former, double: { part: 'line_cut', when: 'with_next', afterMs: 0 } } : { status: next })
    await onAnswersStage({ replicaIds: ['i-x'], scriptOf }, async ({ broken, call }) => {
      await call('booking', 'former')
      await call('booking', 'next')
      assert.equal(broken(), [])
    })
  })
}

test.run()
