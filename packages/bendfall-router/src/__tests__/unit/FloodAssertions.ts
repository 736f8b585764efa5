import * as assert from 'uvu/assert'
import { test } from 'uvu'
import { CALM, FLOOD, total } from './FloodScenario.js'

/** Lowest share of the streams of the others that are served, relative to those without a flood. */
const MIN_SHARE = 0.95

/** Tests one size of the fleet, with callers that retry at once if asked for. The plays of all sizes would take longer than a test file may. */
export function testFlood (name: string, entries: number, isFloodEager = false): void {
  test(name, () => {
    const calm = total({ ...CALM, entries })
    const flooded = total({ ...FLOOD, entries, isFloodEager })
    assert.ok(flooded >= MIN_SHARE * calm, `${calm} to ${flooded}`)
  })
}
