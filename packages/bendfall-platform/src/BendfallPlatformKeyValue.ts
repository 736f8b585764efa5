/**
 * Port of the platform's key-value service. Every outcome is typed; the outcome of a write
 * whose response was lost is `unknown` and must be resolved by reading the key.
 *
 * @module
 */

/** A value with the revision of the write that set it. */
export interface KeyValueEntry {
  readonly key: string
  readonly value: string
  /** Revision of the whole store at the last write of the key. */
  readonly revision: number
  /** Revision of the whole store at the key's creation; absent if the service does not report it. */
  readonly createdRevision?: number
  /** Lease to which the key is bound; empty for a permanent key. */
  readonly leaseId: string
}

/** Outcome of a read. */
export type ReadOutcome =
  | { readonly type: 'found', readonly entry: KeyValueEntry }
  | { readonly type: 'missing', readonly storeRevision: number }
  | { readonly type: 'unavailable', readonly detail: string }

/** Outcome of a read of all keys with a prefix. */
export type ListOutcome =
  | { readonly type: 'listed', readonly entries: readonly KeyValueEntry[], readonly storeRevision: number }
  | { readonly type: 'unavailable', readonly detail: string }

/** Outcome of a write. `unknown`: it may have taken effect. */
export type WriteOutcome =
  | { readonly type: 'applied', readonly revision: number }
  | { readonly type: 'conflict', readonly currentRevision: number }
  | { readonly type: 'unknown', readonly detail: string }
  | { readonly type: 'unavailable', readonly detail: string }

/** Outcome of a lease call. */
export type LeaseOutcome =
  | { readonly type: 'granted', readonly leaseId: string, readonly ttlMs: number }
  | { readonly type: 'lapsed' }
  | { readonly type: 'unavailable', readonly detail: string }

/** Outcome of a watch call, which waits at the service for a change. */
export type WatchOutcome =
  | { readonly type: 'changed', readonly entries: readonly KeyValueEntry[], readonly deletedKeys: readonly string[], readonly storeRevision: number }
  | { readonly type: 'unchanged', readonly storeRevision: number }
  /** The service no longer has the changes since the revision; the keys must be listed again. */
  | { readonly type: 'history_lost' }
  | { readonly type: 'unavailable', readonly detail: string }

/** A write that applies only if the key has the expected revision. */
export interface CompareAndSwap {
  readonly key: string
  /** Expected revision of the key; 0 if the key must not exist. */
  readonly expectedRevision: number
  /** New value; `null` deletes the key. */
  readonly value: string | null
  /** Lease to which the key is to be bound; empty for a permanent key. */
  readonly leaseId: string
}

/** Options of a read. */
export interface ReadOptions {
  /** Allows a value that is some seconds old, if that makes the read cheaper for the service. */
  readonly allowStale?: boolean
}

/**
 * Reports that the service was restored from a backup. Writes and leases since the backup are
 * lost, and their owners write them again. Revisions of the new era are above all previous ones.
 */
export interface EraChange {
  readonly era: number
  readonly formerEra: number
}

/** Access to the platform's key-value service. Never throws. */
export interface KeyValuePort {
  readonly get: (key: string, options?: ReadOptions) => Promise<ReadOutcome>
  readonly list: (prefix: string) => Promise<ListOutcome>
  readonly compareAndSwap: (write: CompareAndSwap) => Promise<WriteOutcome>
  readonly grantLease: (ttlMs: number) => Promise<LeaseOutcome>
  readonly renewLease: (leaseId: string) => Promise<LeaseOutcome>
  readonly revokeLease: (leaseId: string) => Promise<LeaseOutcome>
  /**
   * Waits up to `waitMs` for a change after `sinceRevision`. If there is no response another
   * `slackMs` later, the call is abandoned, since its connection may have stopped responding.
   */
  readonly watch: (prefix: string, sinceRevision: number, waitMs: number, slackMs?: number) => Promise<WatchOutcome>
  /**
   * Subscribes to new eras; absent if the service has none. Listeners run before the response
   * that reported the era is returned, and no data of an earlier era is returned afterwards.
   *
   * @returns function that removes the listener
   */
  readonly onEra?: (listener: (change: EraChange) => void) => () => void
  /** @returns the highest era that a response reported; 0 before the first. Absent if the service has none. */
  readonly era?: () => number
  /** Aborts pending calls and closes the connections. */
  readonly close: () => Promise<void>
}
