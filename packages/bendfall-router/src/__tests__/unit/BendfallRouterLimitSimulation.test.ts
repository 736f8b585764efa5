import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { simulateLimits } from './LimitSimulation.js'
import type { LeaderFault, LimitScenario } from './LimitSimulation.js'

const SCENARIO: LimitScenario = { seed: 3, strategy: 'leased_permits', entries: 1, perS: 5.1, demand: 6, distribution: 'all_entries', seconds: 30 }
const ENTRY_COUNTS = [1, 5, 84, 840]
const MIN_USED_SHARE = 0.9

for (const entries of ENTRY_COUNTS) {
  for (const spread of ['all_entries', 'one_entry'] as const) {
    for (const perS of [0.2, 5.1, 100]) {
      test(`${entries} entries together stay within a limit of ${perS} requests a second and use it, callers at ${spread}`, () => {
        const { over, usedShare } = simulateLimits({ ...SCENARIO, entries, distribution: spread, perS })
        assert.is(over, 0)
        if (perS > 1) assert.ok(usedShare >= MIN_USED_SHARE, `used ${usedShare}`)
      })
    }
  }
  for (const leaderFault of ['killed', 'frozen', 'cut_off'] as readonly LeaderFault[]) {
    test(`${entries} entries together stay within a limit while its leader is ${leaderFault} repeatedly`, () => {
      for (const seed of [1, 2, 3]) assert.is(simulateLimits({ ...SCENARIO, seed, entries, leaderFault }).over, 0)
    })
  }
}

test('requests sent before a limit was advertised are deducted from the first permits', () => {
  for (const beforePerS of [2, 5, 10, 15]) {
    const { over, usedShare } = simulateLimits({ ...SCENARIO, entries: 5, perS: 2.3, beforePerS })
    assert.is(over, 0, `${beforePerS} requests a second before`)
    assert.ok(usedShare >= MIN_USED_SHARE, `used ${usedShare}`)
  }
})

test('equal shares per entry are too small when all callers use one entry', () => {
  assert.ok(simulateLimits({ ...SCENARIO, entries: 84, strategy: 'equal_shares', distribution: 'one_entry' }).usedShare < 0.1)
})

test('leased permits need fewer calls between entries than a request per send', () => {
  const calls = (strategy: 'leased_permits' | 'each_send'): number => simulateLimits({ ...SCENARIO, entries: 5, perS: 100, strategy }).callsPerS
  assert.ok(calls('leased_permits') < calls('each_send') / 2)
})

test.run()
