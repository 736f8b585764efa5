import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { playLoad } from './LoadWorld.js'
import type { Load } from './LoadWorld.js'

/** Eight streams a second with a burst of twice that for four seconds. */
const BURST: Load = { prefills: 1, decodes: 5, perSecond: [8, 8, 8, 8, 8, 16, 16, 16, 16, 8, 8, 8, 8, 8, 8] }

/** Nearly twice of what the memory of the decode replicas holds, for fifteen seconds. */
const OVERLOAD: Load = { prefills: 1, decodes: 2, perSecond: Array.from({ length: 15 }, () => 12) }

test('a burst that one prefill replica can not read is read in place: 111 of 152 on time before, 130 after', () => {
  const before = playLoad({ ...BURST, decisions: { read: 'apart' } })
  const after = playLoad(BURST)
  assert.ok(after.onTime >= before.onTime + 15, `${before.onTime} to ${after.onTime}`)
  assert.ok(after.unserved < before.unserved, `${before.unserved} to ${after.unserved}`)
})

test('the loss of the only prefill replica is borne: 100 of 152 on time before, 124 after', () => {
  const lost = [{ replicaId: 'p0', atMs: 3_000 }]
  const before = playLoad({ ...BURST, lost, decisions: { read: 'apart' } })
  const after = playLoad({ ...BURST, lost })
  assert.ok(after.onTime >= before.onTime + 15, `${before.onTime} to ${after.onTime}`)
})

test('under overload late ones do not take the room of those on time: 51 of 180 on time before, 80 after', () => {
  const before = playLoad({ ...OVERLOAD, decisions: { crowd: 'hold' } })
  const after = playLoad(OVERLOAD)
  assert.ok(after.onTime >= before.onTime + 20, `${before.onTime} to ${after.onTime}`)
  assert.ok(after.longestRefusalMs < before.longestRefusalMs, `${before.longestRefusalMs} to ${after.longestRefusalMs}`)
})

test('under overload callers that return do not go before those on time: 58 of 180 on time before, 80 after', () => {
  const before = playLoad({ ...OVERLOAD, decisions: { returning: 'each_try' } })
  const after = playLoad(OVERLOAD)
  assert.ok(after.onTime >= before.onTime + 15, `${before.onTime} to ${after.onTime}`)
})

test.run()
