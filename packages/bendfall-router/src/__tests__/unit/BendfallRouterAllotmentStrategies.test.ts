// Compares a single elected leader with the other strategies that limit a customer's total usage over all entries.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { simulateAllotment } from './AllotmentSimulation.js'
import type { Distribution } from './AllotmentSimulation.js'

const SECONDS = 60
const ENTRY_COUNTS = [1, 5, 31, 68, 840]
const DISTRIBUTIONS: readonly Distribution[] = ['all_entries', 'one_entry', 'moving']

/** Share of the tokens within the limit that must be admitted while no process fails. */
const MIN_ADMITTED_SHARE = 0.95

/** The same for a customer with its usual demand, while leaders are lost permanently from time to time. */
const MIN_ADMITTED_SHARE_WITH_LOSS = 0.9
const LEADER_LOSS_INTERVAL_MS = 7_000
const USUAL_DEMAND = 0.55

for (const entries of ENTRY_COUNTS) {
  test(`${entries} entries admit the tokens within the limit and none above the bound`, () => {
    for (const distribution of DISTRIBUTIONS) {
      for (const demand of [0.9, 1.5, 7]) {
        const { admittedShare, overTokens, storeCallsPerS } = simulateAllotment({ seed: 1, strategy: 'keeper', entries, distribution, demand, seconds: SECONDS })
        assert.is(overTokens, 0, `${distribution}, ${demand} times its limit`)
        assert.ok(admittedShare >= MIN_ADMITTED_SHARE, `${distribution}, ${demand} times its limit: ${admittedShare}`)
        assert.ok(storeCallsPerS < 1)
      }
    }
  })
}

test('no tokens are admitted above the bound while one leader after another is lost', () => {
  for (let seed = 1; seed <= 10; seed++) {
    for (const demand of [USUAL_DEMAND, 0.9, 1.5, 7]) {
      for (const leaderLossIntervalMs of [500, 2_000, LEADER_LOSS_INTERVAL_MS]) {
        const { admittedShare, overTokens } = simulateAllotment({ seed, strategy: 'keeper', entries: 31, distribution: 'all_entries', demand, seconds: SECONDS, leaderLossIntervalMs })
        assert.is(overTokens, 0, `seed ${seed}, ${demand} times its limit, lost every ${leaderLossIntervalMs} ms`)
        if (demand === USUAL_DEMAND && leaderLossIntervalMs === LEADER_LOSS_INTERVAL_MS) assert.ok(admittedShare >= MIN_ADMITTED_SHARE_WITH_LOSS, `seed ${seed}: ${admittedShare}`)
      }
    }
  }
})

test('with many entries, equal shares and blocks admit less of the tokens within the limit than a leader', () => {
  const shareOf = (strategy: 'equal_shares' | 'blocks' | 'keeper'): number => simulateAllotment({ seed: 1, strategy, entries: 31, distribution: 'all_entries', demand: 0.9, seconds: SECONDS }).admittedShare
  assert.ok(shareOf('equal_shares') < shareOf('keeper'))
  assert.ok(shareOf('blocks') < shareOf('keeper'))
})

test.run()
