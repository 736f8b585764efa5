/**
 * Follows the slots of a pool in the key-value service: one read of all, then
 * one waiting watch after the other.
 *
 * @module
 */
import type { PoolName } from 'bendfall-core'
import type { KeyValueEntry, KeyValuePort, WatchOutcome } from 'bendfall-platform'
import type { HolderEntry } from './BendfallNodeHomeEntry.js'
import { homePrefix, readHolder, slotOfKey } from './BendfallNodeHomeEntry.js'

/** The slots of a pool as last read. */
export interface HomeView {
  /** Holders by slot; a slot without one is free. */
  readonly holders: ReadonlyMap<number, HolderEntry>
  /** True once all slots were read. */
  readonly isRead: () => boolean
  /**
   * Reads on: lists at first, waits for a change after that.
   *
   * @returns false when the service did not answer
   */
  readonly readOn: (waitMs: number) => Promise<boolean>
  /** Takes in what another call told of a slot. */
  readonly learn: (entry: KeyValueEntry) => void
  /** Takes in that a slot was seen without a holder. */
  readonly learnMissing: (slot: number, storeRevision: number) => void
  /** Forgets all, so that the next read lists. */
  readonly reset: () => void
}

/**
 * Makes the view of a pool's slots.
 *
 * @param keyValue - the key-value service
 * @param pool - the pool
 * @param onChange - called after each change
 * @returns the view, not read yet
 */
export function createHomeView (keyValue: KeyValuePort, pool: PoolName, onChange: () => void): HomeView {
  const holders = new Map<number, HolderEntry>()
  const prefix = homePrefix(pool)
  let cursor = -1

  function put (entry: KeyValueEntry): void {
    const holder = readHolder(entry)
    const known = holders.get(holder.slot)
    if (known === undefined || known.revision < holder.revision) holders.set(holder.slot, holder)
  }

  function remove (slot: number, storeRevision: number): void {
    const known = holders.get(slot)
    if (known !== undefined && known.revision <= storeRevision) holders.delete(slot)
  }

  async function listAll (): Promise<boolean> {
    const outcome = await keyValue.list(prefix)
    if (outcome.type === 'unavailable') return false
    const listed = new Set(outcome.entries.map((entry) => slotOfKey(entry.key)))
    for (const slot of [...holders.keys()]) {
      if (!listed.has(slot)) remove(slot, outcome.storeRevision)
    }
    outcome.entries.forEach(put)
    cursor = outcome.storeRevision
    onChange()
    return true
  }

  async function waitForChange (waitMs: number): Promise<boolean> {
    const outcome = await keyValue.watch(prefix, cursor, waitMs)
    if (outcome.type === 'unavailable' || outcome.type === 'history_lost') {
      cursor = -1
      return false
    }
    cursor = outcome.storeRevision
    if (outcome.type === 'changed') applyChange(outcome)
    return true
  }

  function applyChange (change: Extract<WatchOutcome, { type: 'changed' }>): void {
    for (const key of change.deletedKeys) remove(slotOfKey(key), change.storeRevision)
    change.entries.forEach(put)
    onChange()
  }

  return {
    holders,
    isRead: () => cursor >= 0,
    readOn: (waitMs) => cursor < 0 ? listAll() : waitForChange(waitMs),
    learn: put,
    learnMissing: remove,
    reset: () => {
      cursor = -1
      holders.clear()
    }
  }
}
