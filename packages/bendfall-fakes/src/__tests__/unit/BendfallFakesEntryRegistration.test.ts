import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { withEntryHarness } from './EntryHarness.js'

const KEY = 'bendfall/entries/entry-1'

/** Returns whether the store lists the entry, or not, within two seconds. */
async function becomes (store: FleetStore, isListed: boolean): Promise<boolean> {
  const isReached = (): boolean => store.documents().some(({ key }) => key === KEY) === isListed
  for (let i = 0; i < 100 && !isReached(); i++) await sleep(20)
  return isReached()
}

test('an entry is listed while it runs', () => withEntryHarness(async ({ entry, store }) => {
  assert.ok(await becomes(store, true), 'listed after its start')
  await entry.stop()
  assert.ok(await becomes(store, false), 'not listed after its stop')
}))

test('an entry whose registration is lost registers again', () => withEntryHarness(async ({ store }) => {
  assert.ok(await becomes(store, true))
  store.remove(KEY)
  assert.ok(await becomes(store, false))
  assert.ok(await becomes(store, true), 'listed again after its removal')
}))

test('an entry registers again after the store was restored from an older copy', () => withEntryHarness(async ({ store }) => {
  assert.ok(await becomes(store, true))
  await store.restore({ backupAgeMs: 60_000, outageMs: 100 })
  assert.ok(await becomes(store, false) || store.era() > 1)
  assert.ok(await becomes(store, true), 'listed in the new era')
}))

test.run()
