// Guards against a run that uses the KV memory of another request. A prefill replica
// sent a late duplicate response when the next prefill was using the connection. The
// request id in prefill responses was not checked, so the next request took the handle
// of the previous one, and its own prompt was processed for nothing. Hold responses
// carry no request id at all: a duplicate gave one hold to two requests.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { RequestPurpose, ScriptDuplicate } from '../../fleet/answers/BendfallFakesAnswersScript.js'
import { withAnswersHarness } from '../../fleet/answers/BendfallFakesAnswersHarness.js'

const CALLS = 4
const PREFILL_MS = 80

const DUPLICATES: Readonly<Record<string, ScriptDuplicate>> = {
  'right before the next response': { part: 'whole', when: 'with_next', afterMs: 0, share: 0.5 },
  'in the same segment as the first': { part: 'whole', when: 'same_segment', afterMs: 0, share: 0.5 },
  'while its connection is idle': { part: 'whole', when: 'late', afterMs: 20, share: 0.5 }
}

for (const duplicated of ['prefill', 'hold'] as const satisfies readonly RequestPurpose[]) {
  for (const [place, double] of Object.entries(DUPLICATES)) {
    test(`a duplicate response to a ${duplicated}, sent ${place}, does not give its memory to another request`, async () => {
      const scriptOf = ({ asked }: { readonly asked: RequestPurpose }): object => ({ ...(asked === 'prefill' ? { workMs: PREFILL_MS } : {}), ...(asked === duplicated ? { double } : {}) })
      await withAnswersHarness({ replicaIds: ['i-p', 'i-a'], scriptOf }, async ({ broken, call }) => {
        // The second request sends its hold while the prompt of the first is being processed.
        for (let i = 0; i < CALLS; i++) await Promise.all([call('summary', `first-${i}`), sleep(PREFILL_MS / 2).then(() => call('summary', `second-${i}`))])
        assert.equal(broken(), [])
      })
    })
  }
}

test.run()
