import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { playLimitWorld } from './LimitWorld.js'
import type { KeeperFault, LimitWorldPlay } from './LimitWorld.js'

const PLAY: LimitWorldPlay = { seed: 3, way: 'leased_permits', entries: 1, perS: 5.1, demand: 6, spread: 'all_entries', seconds: 30 }
const ENTRIES = [1, 5, 84, 840]
const LEAST_USED = 0.9

for (const entries of ENTRIES) {
  for (const spread of ['all_entries', 'one_entry'] as const) {
    for (const perS of [0.2, 5.1, 100]) {
      test(`${entries} entries keep a limit of ${perS} a second together and use it, callers at ${spread}`, () => {
        const { over, usedShare } = playLimitWorld({ ...PLAY, entries, spread, perS })
        assert.is(over, 0)
        if (perS > 1) assert.ok(usedShare >= LEAST_USED, `used ${usedShare}`)
      })
    }
  }
  for (const keeperFault of ['killed', 'frozen', 'cut_off'] as readonly KeeperFault[]) {
    test(`${entries} entries keep a limit together while its keeper is ${keeperFault} again and again`, () => {
      for (const seed of [1, 2, 3]) assert.is(playLimitWorld({ ...PLAY, seed, entries, keeperFault }).over, 0)
    })
  }
}

test('what was sent before a limit was named is held back from the first permits', () => {
  for (const beforePerS of [2, 5, 10, 15]) {
    const { over, usedShare } = playLimitWorld({ ...PLAY, entries: 5, perS: 2.3, beforePerS })
    assert.is(over, 0, `${beforePerS} a second before`)
    assert.ok(usedShare >= LEAST_USED, `used ${usedShare}`)
  }
})

test('equal shares of an entry each are too small for callers at one of them', () => {
  assert.ok(playLimitWorld({ ...PLAY, entries: 84, way: 'equal_shares', spread: 'one_entry' }).usedShare < 0.1)
})

test('leased permits take fewer calls between entries than an ask for each send', () => {
  const calls = (way: 'leased_permits' | 'each_send'): number => playLimitWorld({ ...PLAY, entries: 5, perS: 100, way }).callsPerS
  assert.ok(calls('leased_permits') < calls('each_send') / 2)
})

test.run()
