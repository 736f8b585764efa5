/**
 * In-memory store of the key-value stand-in, with revisions, leases and watches.
 *
 * @module
 */
import type { CompareAndSwap, KeyValueEntry, LeaseOutcome, ListOutcome, ReadOutcome, WatchOutcome, WriteOutcome } from 'bendfall-platform'

interface Lease {
  readonly ttlMs: number
  timer: NodeJS.Timeout
}

/** Operations of the store. */
export interface KeyValueStore {
  readonly get: (key: string) => ReadOutcome
  readonly list: (prefix: string) => ListOutcome
  readonly compareAndSwap: (write: CompareAndSwap) => WriteOutcome
  readonly grantLease: (ttlMs: number) => LeaseOutcome
  readonly renewLease: (leaseId: string) => LeaseOutcome
  /** Ends a lease and deletes the keys attached to it. */
  readonly endLease: (leaseId: string) => LeaseOutcome
  /** Resolves at the first change after a revision, when `waitMs` has passed, or when the caller disconnects. */
  readonly watch: (prefix: string, sinceRevision: number, waitMs: number, disconnected: AbortSignal) => Promise<WatchOutcome>
  readonly close: () => void
}

/**
 * Creates an empty store.
 *
 * @returns the store; close it to stop its timers
 */
export function createKeyValueStore (): KeyValueStore {
  const entries = new Map<string, KeyValueEntry>()
  const deletions = new Map<string, number>()
  const leases = new Map<string, Lease>()
  const watchers = new Set<() => void>()
  let storeRevision = 0
  let grantedLeases = 0

  function get (key: string): ReadOutcome {
    const entry = entries.get(key)
    return entry === undefined ? { type: 'missing', storeRevision } : { type: 'found', entry }
  }

  function select (prefix: string, sinceRevision: number): KeyValueEntry[] {
    return [...entries.values()].filter((entry) => entry.key.startsWith(prefix) && entry.revision > sinceRevision)
  }

  function applyChange (key: string, value: string | null, leaseId: string): void {
    storeRevision += 1
    if (value === null) {
      entries.delete(key)
      deletions.set(key, storeRevision)
    } else {
      entries.set(key, { key, value, revision: storeRevision, leaseId })
      deletions.delete(key)
    }
    for (const wake of [...watchers]) wake()
  }

  function compareAndSwap (write: CompareAndSwap): WriteOutcome {
    const currentRevision = entries.get(write.key)?.revision ?? 0
    if (currentRevision !== write.expectedRevision) return { type: 'conflict', currentRevision }
    if (write.leaseId !== '' && !leases.has(write.leaseId)) return { type: 'unavailable', detail: 'lease lapsed' }
    if (write.value !== null || currentRevision !== 0) applyChange(write.key, write.value, write.leaseId)
    return { type: 'applied', revision: storeRevision }
  }

  function startExpiryTimer (leaseId: string, ttlMs: number): NodeJS.Timeout {
    return setTimeout(() => endLease(leaseId), ttlMs)
  }

  function grantLease (ttlMs: number): LeaseOutcome {
    grantedLeases += 1
    const leaseId = `lease-${grantedLeases}`
    leases.set(leaseId, { ttlMs, timer: startExpiryTimer(leaseId, ttlMs) })
    return { type: 'granted', leaseId, ttlMs }
  }

  function renewLease (leaseId: string): LeaseOutcome {
    const lease = leases.get(leaseId)
    if (lease === undefined) return { type: 'lapsed' }
    lease.timer.refresh()
    return { type: 'granted', leaseId, ttlMs: lease.ttlMs }
  }

  function endLease (leaseId: string): LeaseOutcome {
    clearTimeout(leases.get(leaseId)?.timer)
    leases.delete(leaseId)
    const attached = [...entries.values()].filter((entry) => entry.leaseId === leaseId)
    for (const { key } of attached) applyChange(key, null, '')
    return { type: 'lapsed' }
  }

  function changedSince (prefix: string, sinceRevision: number): WatchOutcome {
    const changed = select(prefix, sinceRevision)
    const deletedKeys = [...deletions].filter(([key, revision]) => key.startsWith(prefix) && revision > sinceRevision).map(([key]) => key)
    if (changed.length + deletedKeys.length === 0) return { type: 'unchanged', storeRevision }
    return { type: 'changed', entries: changed, deletedKeys, storeRevision }
  }

  function watch (prefix: string, sinceRevision: number, waitMs: number, disconnected: AbortSignal): Promise<WatchOutcome> {
    return new Promise((resolve) => {
      const timer = setTimeout(finish, waitMs)
      const wake = (): void => { if (changedSince(prefix, sinceRevision).type === 'changed') finish() }
      function finish (): void {
        clearTimeout(timer)
        watchers.delete(wake)
        disconnected.removeEventListener('abort', finish)
        resolve(changedSince(prefix, sinceRevision))
      }
      watchers.add(wake)
      disconnected.addEventListener('abort', finish)
      wake()
    })
  }

  return {
    get,
    list: (prefix) => ({ type: 'listed', entries: select(prefix, 0), storeRevision }),
    compareAndSwap,
    grantLease,
    renewLease,
    endLease,
    watch,
    close: () => { for (const lease of leases.values()) clearTimeout(lease.timer) }
  }
}
