import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { playLimits } from './LimitScene.js'

const SECONDS = 8

test('replicas that name a limit get no more than it allows from all entries together', async () => {
  const { over, usedShare, worst } = await playLimits({ entries: 3, limited: 3, seconds: SECONDS })
  assert.is(over, 0, JSON.stringify({ worst, usedShare }))
})

test.run()
