import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSuspensionWatch } from '../../runtime/index.js'

function createClocks (): { monotonicMs: number, dayMs: number, readonly look: () => number } {
  const clocks = { monotonicMs: 0, dayMs: 1_000_000, look: (): number => 0 }
  clocks.look = createSuspensionWatch({ nowMs: () => clocks.monotonicMs, wallMs: () => clocks.dayMs, callAt: () => () => {} })
  return clocks
}

test('a suspension is told once, with its length', () => {
  const clocks = createClocks()
  clocks.monotonicMs += 400
  clocks.dayMs += 5_400
  assert.is(clocks.look(), 5_000)
  assert.is(clocks.look(), 0)
})

test('time that passes on both clocks is none, nor is a small correction or a step back', () => {
  const clocks = createClocks()
  clocks.monotonicMs += 10_000
  clocks.dayMs += 10_010
  assert.is(clocks.look(), 0)
  clocks.dayMs -= 60_000
  assert.is(clocks.look(), 0)
  clocks.monotonicMs += 100
  clocks.dayMs += 3_100
  assert.is(clocks.look(), 3_000)
})

test.run()
