/**
 * Port of the platform's key-value service. Every outcome is typed; a write
 * whose answer was lost is `unknown` and must be resolved by reading back.
 *
 * @module
 */

/** A value with the revision of the write that set it. */
export interface KeyValueEntry {
  readonly key: string
  readonly value: string
  /** Revision of the whole store at the last write of the key. */
  readonly revision: number
  /** Revision of the whole store at the key's creation; absent where the service does not tell it. */
  readonly createdRevision?: number
  /** Lease the key is bound to; empty when it lasts. */
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
  /** The service no longer has the history since the revision; read all again. */
  | { readonly type: 'history_lost' }
  | { readonly type: 'unavailable', readonly detail: string }

/** A write under the condition that the key stands at a revision. */
export interface CompareAndSwap {
  readonly key: string
  /** Expected revision of the key; 0 when the key must not exist. */
  readonly expectedRevision: number
  /** New value; `null` deletes the key. */
  readonly value: string | null
  /** Lease to bind the key to; empty for a lasting key. */
  readonly leaseId: string
}

/** What a reader asks for. */
export interface ReadOptions {
  /** The value may be some seconds old, where that makes the read cheaper for the service. */
  readonly mayBeOld?: boolean
}

/**
 * The service came back from an older copy: what was written since the copy is gone, leases
 * too, and its owners write it again. Revisions of the new era are above all before.
 */
export interface EraChange {
  readonly era: number
  readonly formerEra: number
}

/** The key-value service in the terms of the platform. Never throws. */
export interface KeyValuePort {
  readonly get: (key: string, options?: ReadOptions) => Promise<ReadOutcome>
  readonly list: (prefix: string) => Promise<ListOutcome>
  readonly compareAndSwap: (write: CompareAndSwap) => Promise<WriteOutcome>
  readonly grantLease: (ttlMs: number) => Promise<LeaseOutcome>
  readonly renewLease: (leaseId: string) => Promise<LeaseOutcome>
  readonly revokeLease: (leaseId: string) => Promise<LeaseOutcome>
  /**
   * Waits up to `waitMs` for a change after `sinceRevision`; an answer that is later than
   * that by `slackMs` is given up, since its connection may have gone silent.
   */
  readonly watch: (prefix: string, sinceRevision: number, waitMs: number, slackMs?: number) => Promise<WatchOutcome>
  /**
   * Tells of each new era, before the answer that told it is handed out; absent where the
   * service has none. What is read of an earlier era is handed out no more.
   *
   * @returns teardown
   */
  readonly onEra?: (listener: (change: EraChange) => void) => () => void
  /** @returns the highest era that an answer told; 0 while none did. Absent where the service has none. */
  readonly era?: () => number
  /** Ends pending calls and frees connections. */
  readonly close: () => Promise<void>
}
