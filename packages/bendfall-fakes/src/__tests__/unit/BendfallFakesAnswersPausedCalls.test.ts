// Guards against a call that is made twice because the entry's own pause counts as silence of the
// replica. After a pause the event loop runs timers before it reads sockets, so that a response that
// had already arrived was dropped as late.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { withAnswersHarness } from '../../fleet/answers/BendfallFakesAnswersHarness.js'
import type { RequestPurpose } from '../../fleet/answers/BendfallFakesAnswersScript.js'

/** Longer than each timeout of a call to a replica. */
const PAUSE_MS = 900

function pauseProcess (): void {
  const endsAtMs = performance.now() + PAUSE_MS
  while (performance.now() < endsAtMs) continue
}

for (const paused of ['hold', 'prefill', 'run'] as const satisfies readonly RequestPurpose[]) {
  test(`a ${paused} that is answered during a pause of the entry is not repeated`, async () => {
    const purposes: RequestPurpose[] = []
    const scriptOf = ({ asked }: { readonly asked: RequestPurpose }): object => {
      purposes.push(asked)
      if (asked === paused) pauseProcess()
      return {}
    }
    await withAnswersHarness({ scriptOf }, async ({ broken, call }) => {
      const { answer, end } = await call('brief', 'paused')
      assert.is(end, 'complete')
      assert.is(answer.status, 200)
      assert.equal(purposes, ['hold', 'prefill', 'run'])
      assert.equal(broken(), [])
    })
  })
}

test('a repeatable call that is answered during a pause of the entry is not repeated', async () => {
  let calls = 0
  const scriptOf = (): object => {
    calls += 1
    pauseProcess()
    return {}
  }
  await withAnswersHarness({ scriptOf }, async ({ broken, call }) => {
    const { answer, end } = await call('rate', 'paused')
    assert.is(end, 'complete')
    assert.is(answer.status, 200)
    assert.is(calls, 1)
    assert.equal(broken(), [])
  })
})

test.run()
