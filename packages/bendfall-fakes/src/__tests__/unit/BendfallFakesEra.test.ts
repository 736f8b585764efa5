import type { KeyValuePort } from 'bendfall-platform'
import { createPlatformKeyValue } from 'bendfall-platform-adapter'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { ip } from './EntryHarness.js'

const DRILL = { backupAgeMs: 0, outageMs: 30 }

async function withStore (run: (store: FleetStore, port: KeyValuePort) => Promise<void>): Promise<void> {
  const store = await startFleetStore(ip(1))
  const port = createPlatformKeyValue(store.address)
  try {
    await run(store, port)
  } finally {
    await port.close()
    await store.close()
  }
}

async function grantLease (port: KeyValuePort): Promise<string> {
  const lease = await port.grantLease(60_000)
  if (lease.type !== 'granted') throw new Error(lease.type)
  return lease.leaseId
}

async function readRevision (port: KeyValuePort, key: string): Promise<number> {
  const read = await port.get(key)
  return read.type === 'found' ? read.entry.revision : 0
}

async function restoreToBefore (store: FleetStore, act: () => Promise<void>): Promise<void> {
  const beforeMs = performance.now()
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  await act()
  await store.restore({ ...DRILL, backupAgeMs: performance.now() - beforeMs - 10 })
}

test('a lease of a previous era has lapsed, even if its number was reused', async () => {
  await withStore(async (store, port) => {
    store.put('servers/a', 1)
    let previous = ''
    await restoreToBefore(store, async () => { previous = await grantLease(port) })
    await port.get('servers/a')
    const other = await grantLease(port)
    assert.is(other.split(':')[1], previous.split(':')[1])
    assert.is((await port.renewLease(previous)).type, 'lapsed')
    assert.is((await port.compareAndSwap({ key: 'x', expectedRevision: 0, value: 'x', leaseId: previous })).type, 'conflict')
    assert.is((await port.renewLease(other)).type, 'granted')
  })
})

test('a watch from a revision of a previous era has lost its history, even if the revision was reused', async () => {
  await withStore(async (store, port) => {
    store.put('servers/a', 1)
    let previous = 0
    await restoreToBefore(store, async () => {
      store.put('servers/b', 1)
      previous = await readRevision(port, 'servers/b')
    })
    store.put('servers/c', 1)
    const later = await readRevision(port, 'servers/c')
    assert.ok(later > previous, `${later} after ${previous}`)
    assert.is((await port.watch('servers/', previous, 50)).type, 'history_lost')
  })
})

test('a pending watch that ends in the next era has lost its history', async () => {
  await withStore(async (store, port) => {
    store.put('servers/a', 1)
    const waiting = port.watch('servers/', await readRevision(port, 'servers/a'), 2_000)
    await store.restore(DRILL)
    await port.get('servers/a')
    const outcome = await waiting
    assert.ok(outcome.type === 'history_lost' || outcome.type === 'unavailable', outcome.type)
  })
})

test('a write that expects a revision of a previous era is a conflict', async () => {
  await withStore(async (store, port) => {
    store.put('x', 1)
    const revision = await readRevision(port, 'x')
    await store.restore(DRILL)
    await port.get('x')
    assert.is((await port.compareAndSwap({ key: 'x', expectedRevision: revision, value: '2', leaseId: '' })).type, 'conflict')
  })
})

test('era changes between two calls are reported to a listener as one change', async () => {
  await withStore(async (store, port) => {
    const eraChanges: object[] = []
    await port.get('x')
    port.onEra?.((change) => eraChanges.push(change))
    await store.restore(DRILL)
    await store.restore(DRILL)
    await port.get('x')
    await port.list('servers/')
    assert.equal(eraChanges, [{ era: 3, formerEra: 1 }])
  })
})

test.run()
