/**
 * Follows the keys under a prefix of the key-value service with a full read and subsequent watches.
 * The full read is repeated after an outage, when the watch history is lost, and periodically as a
 * safeguard against watches that miss a change.
 *
 * @module
 */
import type { Clock, Teardown } from 'bendfall-node'
import { backoffMs, pause } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'

/**
 * Shares of `boundMs` for the wait of a watch and for the delay of its response beyond that.
 * A silent connection is detected after both, and a read on a new connection takes some
 * milliseconds more. With a wait of 2 s and a slack of 1.2 s, 1,200 calls of a caller reached a
 * replica that had been draining for more than 2 s.
 */
const WATCH_WAIT_SHARE = 0.5
const WATCH_SLACK_SHARE = 0.3

/**
 * Share of `boundMs` between two watches if the first one returned a change, so that successive
 * changes are batched: in a fleet of 84 replicas some registration changed three times per second,
 * and each of 68 entries sent as many watches. Changes in between are known within this share.
 */
const BATCH_SHARE = 0.35

/** Number of changes that are delivered immediately before batching starts; an isolated change isn't delayed. */
const MAX_IMMEDIATE_CHANGES = 3

/** Minimum wait of a watch; a shorter one would amount to a read. */
const MIN_WATCH_WAIT_MS = 50

/** A watch whose response is later than requested by this much is treated like an outage. */
const LATE_WATCH_THRESHOLD_MS = 500

/**
 * Interval of the periodic full reads. Revisions already show that no change was missed; in a
 * fleet of 68 entries, full reads every 8 s amounted to 17 calls per second.
 */
const FULL_READ_INTERVAL_MS = 30_000

/** Bounds of the backoff after failed calls. */
const INITIAL_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 500

/**
 * Time after an outage within which expired entries are written again if their owners are alive:
 * two seconds as specified by the platform, plus slack for a heartbeat.
 */
const OUTAGE_RECOVERY_MS = 2_400

/**
 * Time within which entries of a restored backup expire unless their owners write them again:
 * three heartbeats, plus slack for a heartbeat.
 */
const BACKUP_EXPIRY_MS = 4_000

const WALL_RESOLUTION_MS = 1

/** Time of a request on the monotonic and the wall clock. */
interface RequestTime {
  readonly atMs: number
  readonly wallMs: number
}

/** Receives the changes under a prefix. */
export interface FollowListener {
  readonly onUpserted: (entries: readonly KeyValueEntry[]) => void
  readonly onDeleted: (keys: readonly string[]) => void
  /**
   * Called with keys that are missing shortly after an outage, which may have expired or have been
   * deleted, and with keys from a restored backup that their owners haven't written since. For each
   * of them `onUpserted` or `onDeleted` follows within the time in which expired entries are
   * written again, or entries of the backup expire.
   */
  readonly onMissing: (keys: readonly string[], sinceRecoveryMs: number) => void
  /**
   * Called when all changes so far have been delivered; `staleMs` is the time since the previous
   * call. `provenAtMs` is the time of the request whose response proved this; nothing is known
   * about later changes. It is undefined while a restored backup may lack the latest writes.
   */
  readonly onSynced: (staleMs: number, provenAtMs: number | undefined) => void
  /** Called when the service becomes unreachable or reachable again. */
  readonly onReachable: (isReachable: boolean, detail: string) => void
}

/** Prefix to follow, with its dependencies and time limit. */
export interface FollowOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly prefix: string
  /** Time after which a change must be known, even if connections fail. */
  readonly boundMs: number
  readonly listener: FollowListener
}

/** A running follower of a prefix. */
export interface Follower {
  /** Reads all keys immediately, independently of the watches, and notifies the listener. */
  readonly refresh: () => Promise<void>
  readonly close: Teardown
}

/**
 * Starts to follow a prefix.
 *
 * @param options - key-value service, prefix and listener
 * @returns the follower
 */
export function followPrefix (options: FollowOptions): Follower {
  const { boundMs, clock, listener, port, prefix } = options
  const watchWaitMs = boundMs * WATCH_WAIT_SHARE
  const watchSlackMs = boundMs * WATCH_SLACK_SHARE
  const batchMs = boundMs * BATCH_SHARE
  const abortController = new AbortController()
  const knownKeys = new Set<string>()
  let failureCount = 0
  let isReachable = true
  let recoveredAtMs = -Infinity
  let fullReadAtMs = -Infinity
  // Entries up to this revision come from a restored backup; their owners haven't written them since.
  let backupRevision = -Infinity
  let backupExpiresAtMs = -Infinity
  // Time by which owners have rewritten the entries that were lost in the restore.
  let rewrittenByMs = -Infinity
  let isBackupUnread = false
  let syncedAtMs = clock.nowMs()
  let credit = MAX_IMMEDIATE_CHANGES
  let creditAtMs = clock.nowMs()

  const readClocks = (): RequestTime => ({ atMs: clock.nowMs(), wallMs: clock.wallMs() })

  function reportSynced (requestedAt: RequestTime): void {
    listener.onSynced(clock.nowMs() - syncedAtMs, provenAtMs(requestedAt))
    syncedAtMs = clock.nowMs()
  }

  // Uses the larger age of both clocks, since the monotonic clock doesn't advance during a suspension. Two readings of
  // the wall clock may be further apart than the time between them, by its resolution.
  function provenAtMs (requestedAt: RequestTime): number | undefined {
    if (requestedAt.atMs < rewrittenByMs) return undefined
    const ageMs = clock.nowMs() - requestedAt.atMs
    const wallAgeMs = clock.wallMs() - requestedAt.wallMs
    return clock.nowMs() - (wallAgeMs - ageMs > WALL_RESOLUTION_MS ? wallAgeMs : ageMs)
  }

  function recordFailure (detail: string): void {
    if (abortController.signal.aborted) return
    failureCount += 1
    if (isReachable) listener.onReachable(false, detail)
    isReachable = false
  }

  function recordSuccess (wasDelayed: boolean): void {
    failureCount = 0
    if (!isReachable || wasDelayed) recoveredAtMs = clock.nowMs()
    if (!isReachable) listener.onReachable(true, prefix)
    isReachable = true
  }

  const isRecovering = (): boolean => clock.nowMs() - recoveredAtMs < OUTAGE_RECOVERY_MS

  function handleUpserts (entries: readonly KeyValueEntry[]): void {
    for (const { key } of entries) knownKeys.add(key)
    if (entries.length > 0) listener.onUpserted(entries)
  }

  function handleDeletions (keys: readonly string[]): void {
    const deleted = keys.filter((key) => knownKeys.has(key))
    if (deleted.length === 0) return
    // Entries that expired in an outage may be written again soon, which a later full read shows.
    // The listener is notified immediately, since they may also have been deleted: when replicas
    // were replaced after a partition from the service, entries kept using the old ones for 2.2 s.
    if (isRecovering()) return listener.onMissing(deleted, clock.nowMs() - recoveredAtMs)
    for (const key of deleted) knownKeys.delete(key)
    listener.onDeleted(deleted)
  }

  // A restored backup lists entries of processes that have ended since until the entries expire,
  // while live owners write theirs again one by one.
  function reportUnrenewed (entries: readonly KeyValueEntry[]): void {
    const unrenewed = entries.filter(({ revision }) => revision <= backupRevision).map(({ key }) => key)
    if (unrenewed.length > 0) listener.onMissing(unrenewed, clock.nowMs() - recoveredAtMs)
  }

  // An owner may have written its entry again before this process first read the restored backup,
  // and not since. An entry that outlasts the expiry of the backup is renewed by its owner.
  function updateBackupRevision (storeRevision: number): void {
    if (isBackupUnread) backupRevision = storeRevision
    isBackupUnread = false
    if (clock.nowMs() >= backupExpiresAtMs) backupRevision = -Infinity
  }

  async function readAll (): Promise<number | undefined> {
    const requestedAt = readClocks()
    const outcome = await port.list(prefix)
    if (outcome.type === 'unavailable') {
      recordFailure(outcome.detail)
      return undefined
    }
    recordSuccess(false)
    const present = new Set(outcome.entries.map(({ key }) => key))
    handleUpserts(outcome.entries)
    handleDeletions([...knownKeys].filter((key) => !present.has(key)))
    updateBackupRevision(outcome.storeRevision)
    reportUnrenewed(outcome.entries)
    reportSynced(requestedAt)
    fullReadAtMs = clock.nowMs()
    return outcome.storeRevision
  }

  // A full read is due periodically, once after expired entries could be written again, and once after a
  // restored backup has expired.
  function nextFullReadInMs (): number {
    const onceAtMs = [recoveredAtMs + OUTAGE_RECOVERY_MS, backupExpiresAtMs].filter((atMs) => fullReadAtMs < atMs)
    return Math.min(fullReadAtMs + FULL_READ_INTERVAL_MS, ...onceAtMs) - clock.nowMs()
  }

  // Returns the time to wait before the next watch after a change.
  function spendCredit (): number {
    credit = Math.min(MAX_IMMEDIATE_CHANGES, credit + (clock.nowMs() - creditAtMs) / batchMs) - 1
    creditAtMs = clock.nowMs()
    return Math.max(0, -credit * batchMs)
  }

  async function watchFrom (initialRevision: number): Promise<void> {
    for (let revision = initialRevision; !abortController.signal.aborted && nextFullReadInMs() > 0;) {
      const requestedAt = readClocks()
      // Measured from the last response, so that a pause before the watch doesn't extend the total time.
      const remainingMs = syncedAtMs + watchWaitMs - requestedAt.atMs
      const waitMs = Math.ceil(Math.max(MIN_WATCH_WAIT_MS, Math.min(remainingMs, nextFullReadInMs())))
      const outcome = await port.watch(prefix, revision, waitMs, watchSlackMs)
      if (outcome.type === 'unavailable') return recordFailure(outcome.detail)
      if (outcome.type === 'history_lost') return
      recordSuccess(clock.nowMs() - requestedAt.atMs > waitMs + LATE_WATCH_THRESHOLD_MS)
      revision = outcome.storeRevision
      if (outcome.type === 'changed') {
        handleUpserts(outcome.entries)
        handleDeletions(outcome.deletedKeys)
      }
      reportSynced(requestedAt)
      const pauseMs = outcome.type === 'changed' ? Math.min(spendCredit(), nextFullReadInMs()) : 0
      if (pauseMs > 0) await pause(clock, pauseMs, abortController.signal)
    }
  }

  // The restored backup is older than the known state, and owners write their entries again within
  // the same time as after an outage. Unlike then, a full read follows immediately.
  const stopListening = port.onEra?.(() => {
    recoveredAtMs = clock.nowMs()
    fullReadAtMs = -Infinity
    backupExpiresAtMs = clock.nowMs() + BACKUP_EXPIRY_MS
    rewrittenByMs = clock.nowMs() + OUTAGE_RECOVERY_MS
    isBackupUnread = true
  })

  async function run (): Promise<void> {
    while (!abortController.signal.aborted) {
      const revision = await readAll()
      if (revision !== undefined) await watchFrom(revision)
      if (!isReachable) await pause(clock, backoffMs(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, Math.min(failureCount, 10)), abortController.signal)
    }
  }

  run().catch((error: unknown) => { throw error })
  return {
    close: () => {
      abortController.abort()
      stopListening?.()
    },
    refresh: async () => { await readAll() }
  }
}
