/**
 * Writes of a holder. A write whose answer was lost is resolved by reading the
 * key back; one that takes effect later still is met by the watch.
 *
 * @module
 */
import type { PoolName } from 'bendfall-core'
import type { CompareAndSwap, KeyValuePort } from 'bendfall-platform'
import { homeKey, writeHolder } from './BendfallNodeHomeEntry.js'
import type { HolderIdentity } from './BendfallNodeHomeEntry.js'
import type { HomeView } from './BendfallNodeHomeView.js'

/** Writes of a holder; what they find out goes into the view. */
export interface HomeWrites {
  /** Claims a free slot under a lease. */
  readonly claim: (slot: number, leaseId: string) => Promise<void>
  /** Deletes the key of a slot that stands at a revision. */
  readonly release: (slot: number, revision: number) => Promise<void>
  /** Ends a lease of another process. */
  readonly evict: (leaseId: string) => Promise<void>
}

/**
 * Makes the writes of a holder.
 *
 * @param keyValue - the key-value service
 * @param pool - the pool
 * @param self - this process
 * @param view - view of the slots, brought up to date
 * @returns the writes
 */
export function createHomeWrites (keyValue: KeyValuePort, pool: PoolName, self: HolderIdentity, view: HomeView): HomeWrites {
  async function write (slot: number, swap: Omit<CompareAndSwap, 'key'>): Promise<void> {
    const key = homeKey(pool, slot)
    const outcome = await keyValue.compareAndSwap({ key, ...swap })
    if (outcome.type === 'unavailable') return
    if (outcome.type !== 'applied') return readBack(slot)
    if (swap.value === null) return view.learnMissing(slot, outcome.revision)
    view.learn({ key, value: swap.value, revision: outcome.revision, leaseId: swap.leaseId })
  }

  async function readBack (slot: number): Promise<void> {
    const outcome = await keyValue.get(homeKey(pool, slot))
    if (outcome.type === 'found') view.learn(outcome.entry)
    if (outcome.type === 'missing') view.learnMissing(slot, outcome.storeRevision)
  }

  return {
    claim: (slot, leaseId) => write(slot, { expectedRevision: 0, value: writeHolder(self), leaseId }),
    release: (slot, revision) => write(slot, { expectedRevision: revision, value: null, leaseId: '' }),
    evict: async (leaseId) => { await keyValue.revokeLease(leaseId) }
  }
}
