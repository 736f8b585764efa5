import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { findFenceFaults } from '../../fleet/soak/BendfallFakesFleetSoak.js'
import type { SeenOrder } from '../../fleet/BendfallFakesFleetReplica.js'

function order (atMs: number, fence: number, holder: string): SeenOrder {
  return { atMs, fence, holder, stage: 'decode' }
}

test('fences that rise from holder to holder are well, in whatever order the replicas are read', () => {
  assert.equal(findFenceFaults([order(30, 9, 'b'), order(10, 4, 'a'), order(20, 4, 'a'), order(40, 12, 'a')]), [])
})

test('a fence that another holder used', () => {
  assert.match(findFenceFaults([order(10, 4, 'a'), order(20, 4, 'b')]).join(), /fence 4 of a was used by b at 20/)
})

test('an order of a former holder beside a new one', () => {
  assert.match(findFenceFaults([order(10, 4, 'a'), order(20, 9, 'b'), order(30, 4, 'a')]).join(), /a ordered with fence 4 at 30, behind 9 of b/)
})

test('a fence of a new holder below a former one', () => {
  assert.is(findFenceFaults([order(10, 9, 'a'), order(20, 5, 'b')]).length, 1)
})

test.run()
