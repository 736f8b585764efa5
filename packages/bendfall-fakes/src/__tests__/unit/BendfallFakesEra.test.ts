import type { KeyValuePort } from 'bendfall-platform'
import { createPlatformKeyValue } from 'bendfall-platform-adapter'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { ip } from './EntryScene.js'

const DRILL = { copyAgeMs: 0, awayMs: 30 }

async function withStore (play: (store: FleetStore, port: KeyValuePort) => Promise<void>): Promise<void> {
  const store = await startFleetStore(ip(1))
  const port = createPlatformKeyValue(store.address)
  try {
    await play(store, port)
  } finally {
    await port.close()
    await store.close()
  }
}

async function leaseOf (port: KeyValuePort): Promise<string> {
  const lease = await port.grantLease(60_000)
  if (lease.type !== 'granted') throw new Error(lease.type)
  return lease.leaseId
}

async function revisionOf (port: KeyValuePort, key: string): Promise<number> {
  const read = await port.get(key)
  return read.type === 'found' ? read.entry.revision : 0
}

async function restoreBefore (store: FleetStore, act: () => Promise<void>): Promise<void> {
  const beforeMs = performance.now()
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  await act()
  await store.restore({ ...DRILL, copyAgeMs: performance.now() - beforeMs - 10 })
}

test('a lease of an earlier era has lapsed, also when its number was given out again', async () => {
  await withStore(async (store, port) => {
    store.put('servers/a', 1)
    let former = ''
    await restoreBefore(store, async () => { former = await leaseOf(port) })
    await port.get('servers/a')
    const other = await leaseOf(port)
    assert.is(other.split(':')[1], former.split(':')[1])
    assert.is((await port.renewLease(former)).type, 'lapsed')
    assert.is((await port.compareAndSwap({ key: 'x', expectedRevision: 0, value: 'x', leaseId: former })).type, 'conflict')
    assert.is((await port.renewLease(other)).type, 'granted')
  })
})

test('a watch from a revision of an earlier era has lost its history, also when that was given out again', async () => {
  await withStore(async (store, port) => {
    store.put('servers/a', 1)
    let former = 0
    await restoreBefore(store, async () => {
      store.put('servers/b', 1)
      former = await revisionOf(port, 'servers/b')
    })
    store.put('servers/c', 1)
    const later = await revisionOf(port, 'servers/c')
    assert.ok(later > former, `${later} after ${former}`)
    assert.is((await port.watch('servers/', former, 50)).type, 'history_lost')
  })
})

test('a waiting watch that ends in the next era has lost its history', async () => {
  await withStore(async (store, port) => {
    store.put('servers/a', 1)
    const waiting = port.watch('servers/', await revisionOf(port, 'servers/a'), 2_000)
    await store.restore(DRILL)
    await port.get('servers/a')
    const outcome = await waiting
    assert.ok(outcome.type === 'history_lost' || outcome.type === 'unavailable', outcome.type)
  })
})

test('a write on a revision of an earlier era is a conflict', async () => {
  await withStore(async (store, port) => {
    store.put('x', 1)
    const revision = await revisionOf(port, 'x')
    await store.restore(DRILL)
    await port.get('x')
    assert.is((await port.compareAndSwap({ key: 'x', expectedRevision: revision, value: '2', leaseId: '' })).type, 'conflict')
  })
})

test('the era is told once, to all who listen', async () => {
  await withStore(async (store, port) => {
    const told: object[] = []
    await port.get('x')
    port.onEra?.((change) => told.push(change))
    await store.restore(DRILL)
    await store.restore(DRILL)
    await port.get('x')
    await port.list('servers/')
    assert.equal(told, [{ era: 3, formerEra: 1 }])
  })
})

test.run()
