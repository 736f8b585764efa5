import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { playOrigins } from './OriginSimulation.js'
import type { OriginScenario } from './OriginSimulation.js'

const SEEDS = [1, 2, 3]

const SIZES = [{ entries: 3, sidecars: 6 }, { entries: 5, sidecars: 13 }, { entries: 68, sidecars: 85 }, { entries: 840, sidecars: 12_000 }]

function play (change: Partial<OriginScenario>, check: (foundShare: number, name: string) => void): void {
  for (const size of SIZES) {
    for (const seed of SEEDS) {
      const { foundShare, mixed } = playOrigins({ seed, ...size, streams: 2_000, restartedShare: 0, areMoved: false, maxLagMs: 1_000, ...change })
      assert.is(mixed, 0)
      check(foundShare, `${size.entries} entries, seed ${seed}: ${foundShare}`)
    }
  }
}

test('every origin is found while no process ends', () => {
  play({}, (foundShare, name) => assert.is(foundShare, 1, name))
})

test('nearly all origins are found after a third of all processes restarted at once', () => {
  play({ restartedShare: 1 / 3 }, (foundShare, name) => assert.ok(foundShare >= 0.95, name))
})

test('most origins are found after a third of all processes were replaced at other addresses at once', () => {
  play({ restartedShare: 1 / 3, areMoved: true, maxLagMs: 2_000 }, (foundShare, name) => assert.ok(foundShare >= 0.9, name))
})

test('no wrong origin is found after all processes restarted at once, and streams that begin later are found', () => {
  play({ restartedShare: 1 }, (foundShare, name) => assert.ok(foundShare >= 0.75, name))
})

test('no wrong origin is found without sidecars, and all are found while no entry ends', () => {
  play({ sidecars: 0 }, (foundShare, name) => assert.is(foundShare, 1, name))
})

test.run()
