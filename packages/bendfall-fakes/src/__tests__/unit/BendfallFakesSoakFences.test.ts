import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { findFencingViolations } from '../../fleet/soak/BendfallFakesFleetSoak.js'
import type { SeenOrder } from '../../fleet/BendfallFakesFleetReplica.js'

function order (atMs: number, fence: number, holder: string): SeenOrder {
  return { atMs, fence, holder, stage: 'decode' }
}

test('fencing tokens that increase from leader to leader are accepted, in whatever order the replicas are read', () => {
  assert.equal(findFencingViolations([order(30, 9, 'b'), order(10, 4, 'a'), order(20, 4, 'a'), order(40, 12, 'a')]), [])
})

test('a fencing token that two leaders used is reported', () => {
  assert.match(findFencingViolations([order(10, 4, 'a'), order(20, 4, 'b')]).join(), /fence 4 of a was used by b at 20/)
})

test('an order from the previous leader after an order from its successor is reported', () => {
  assert.match(findFencingViolations([order(10, 4, 'a'), order(20, 9, 'b'), order(30, 4, 'a')]).join(), /a ordered with fence 4 at 30, behind 9 of b/)
})

test('a fencing token of a new leader below that of the previous leader is reported', () => {
  assert.is(findFencingViolations([order(10, 9, 'a'), order(20, 5, 'b')]).length, 1)
})

test.run()
