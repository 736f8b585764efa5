/**
 * Follows the keys under a prefix of the key-value service: a full read, then
 * watches; a full read again after an outage, when history is lost, and now
 * and then as an insurance against watches that miss a change.
 *
 * @module
 */
import type { Clock, Teardown } from 'bendfall-node'
import { backoffMs, pause } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'

/**
 * Shares of the time after which a change must be known that one watch waits, and that
 * its answer may be late. A connection that went silent is noticed after both, and a
 * read on a new one takes some milliseconds more. With a watch of 2 s and a slack of
 * 1.2 s, 1,200 calls of a caller reached a replica that had drained for more than 2 s.
 */
const WATCH_WAIT_SHARE = 0.5
const WATCH_SLACK_SHARE = 0.3

/**
 * Share of that time from one watch to the next when the first one told a change, so that
 * changes that come one after the other are told together: in a fleet of 84 replicas some
 * registration changed three times a second, and each of 68 entries asked as often. What
 * changes meanwhile is known within this share of the bound.
 */
const BATCH_SHARE = 0.35

/** Changes that are told at once before they are told together: one that comes alone waits for nothing. */
const AT_ONCE = 3

/** Shortest wait of a watch: less would be a read. */
const SHORTEST_WAIT_MS = 50

/** A watch that answers this much later than asked was held up. */
const LATE_WATCH_MS = 500

/**
 * Between two full reads without a cause. Revisions already tell that nothing was missed;
 * of a fleet of 68 entries that read all every 8 s, these were 17 calls a second.
 */
const REREAD_MS = 30_000

/** Pauses after failed calls. */
const FIRST_PAUSE_MS = 50
const LONGEST_PAUSE_MS = 500

/** Entries that lapsed in an outage are back this long after its end if their owners live: two seconds by the platform's word, and a heartbeat's slack. */
const RETURN_MS = 2_400

/** Entries of an older copy lapse within this unless their owners write them again: three heartbeats, and a heartbeat's slack. */
const COPY_LASTS_MS = 4_000

/** When something was asked, by both clocks. */
interface AskTime {
  readonly atMs: number
  readonly wallMs: number
}

/** Takes what is read. */
export interface FollowListener {
  readonly onPresent: (entries: readonly KeyValueEntry[]) => void
  readonly onGone: (keys: readonly string[]) => void
  /**
   * Keys that are missing shortly after an outage, which may have lapsed in it or have
   * been removed, or that an older copy lists and their owners have not written since.
   * Each is told present or gone within the time in which lapsed ones return, or lapse.
   */
  readonly onMissing: (keys: readonly string[], returnedMs: number) => void
  /**
   * All changes up to now were told; `staleMs` is the time since they last were. `provenAtMs`
   * is the time of the question whose answer told it, later than which nothing is known;
   * absent while a copy may lack what was written last.
   */
  readonly onCurrent: (staleMs: number, provenAtMs: number | undefined) => void
  /** The service was lost or is back. */
  readonly onReachable: (isReachable: boolean, detail: string) => void
}

/** What to follow. */
export interface FollowOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly prefix: string
  /** Time after which a change must be known, whatever becomes of connections. */
  readonly boundMs: number
  readonly listener: FollowListener
}

/** A prefix that is followed. */
export interface Follower {
  /** Reads all keys now, beside the watches; tells the listener what it read. */
  readonly refresh: () => Promise<void>
  readonly close: Teardown
}

/**
 * Starts to follow a prefix.
 *
 * @param options - service, prefix and listener
 * @returns the follower
 */
export function followPrefix (options: FollowOptions): Follower {
  const { boundMs, clock, listener, port, prefix } = options
  const watchWaitMs = boundMs * WATCH_WAIT_SHARE
  const watchSlackMs = boundMs * WATCH_SLACK_SHARE
  const batchMs = boundMs * BATCH_SHARE
  const ended = new AbortController()
  const known = new Set<string>()
  let tried = 0
  let isReachable = true
  let returnedAtMs = -Infinity
  let fullReadAtMs = -Infinity
  // Entries of up to this revision are those of a copy, which their owners have not written since.
  let copyRevision = -Infinity
  let copyLastsUntilMs = -Infinity
  // When what was written last before the copy was restored has been written again.
  let rewrittenAtMs = -Infinity
  let isCopyUnread = false
  let currentAtMs = clock.nowMs()
  let credit = AT_ONCE
  let creditAtMs = clock.nowMs()

  const readClocks = (): AskTime => ({ atMs: clock.nowMs(), wallMs: clock.wallMs() })

  function noteCurrent (asked: AskTime): void {
    listener.onCurrent(clock.nowMs() - currentAtMs, provenAtMs(asked))
    currentAtMs = clock.nowMs()
  }

  // By both clocks: the monotonic one does not count a suspension of the machine.
  function provenAtMs (asked: AskTime): number | undefined {
    if (asked.atMs < rewrittenAtMs) return undefined
    return clock.nowMs() - Math.max(clock.nowMs() - asked.atMs, clock.wallMs() - asked.wallMs)
  }

  function noteFailure (detail: string): void {
    if (ended.signal.aborted) return
    tried += 1
    if (isReachable) listener.onReachable(false, detail)
    isReachable = false
  }

  function noteAnswer (wasHeldUp: boolean): void {
    tried = 0
    if (!isReachable || wasHeldUp) returnedAtMs = clock.nowMs()
    if (!isReachable) listener.onReachable(true, prefix)
    isReachable = true
  }

  const isReturning = (): boolean => clock.nowMs() - returnedAtMs < RETURN_MS

  function takePresent (entries: readonly KeyValueEntry[]): void {
    for (const { key } of entries) known.add(key)
    if (entries.length > 0) listener.onPresent(entries)
  }

  function takeGone (keys: readonly string[]): void {
    const gone = keys.filter((key) => known.has(key))
    if (gone.length === 0) return
    // What lapsed in an outage may be back soon: the full read after it decides. The
    // listener hears of it at once, since it may as well have been removed: on a day on
    // which replicas were replaced after a cut, entries used them for 2.2 s otherwise.
    if (isReturning()) return listener.onMissing(gone, clock.nowMs() - returnedAtMs)
    for (const key of gone) known.delete(key)
    listener.onGone(gone)
  }

  // What left before a copy was restored is listed by it until it lapses, while owners that
  // live write again one after the other.
  function takeUnwritten (entries: readonly KeyValueEntry[]): void {
    const unwritten = entries.filter(({ revision }) => revision <= copyRevision).map(({ key }) => key)
    if (unwritten.length > 0) listener.onMissing(unwritten, clock.nowMs() - returnedAtMs)
  }

  // An owner may have written again before this process first read the copy, and not since:
  // what is listed beyond the time in which the copy lapses is kept up by its owner.
  function noteCopy (storeRevision: number): void {
    if (isCopyUnread) copyRevision = storeRevision
    isCopyUnread = false
    if (clock.nowMs() >= copyLastsUntilMs) copyRevision = -Infinity
  }

  async function readAll (): Promise<number | undefined> {
    const asked = readClocks()
    const outcome = await port.list(prefix)
    if (outcome.type === 'unavailable') {
      noteFailure(outcome.detail)
      return undefined
    }
    noteAnswer(false)
    const present = new Set(outcome.entries.map(({ key }) => key))
    takePresent(outcome.entries)
    takeGone([...known].filter((key) => !present.has(key)))
    noteCopy(outcome.storeRevision)
    takeUnwritten(outcome.entries)
    noteCurrent(asked)
    fullReadAtMs = clock.nowMs()
    return outcome.storeRevision
  }

  // A full read is due now and then, and once when what lapsed in an outage is back or a copy has lapsed.
  function readDueInMs (): number {
    const onceAtMs = [returnedAtMs + RETURN_MS, copyLastsUntilMs].filter((atMs) => fullReadAtMs < atMs)
    return Math.min(fullReadAtMs + REREAD_MS, ...onceAtMs) - clock.nowMs()
  }

  // Time until the next watch after a change.
  function spendCredit (): number {
    credit = Math.min(AT_ONCE, credit + (clock.nowMs() - creditAtMs) / batchMs) - 1
    creditAtMs = clock.nowMs()
    return Math.max(0, -credit * batchMs)
  }

  async function watchFrom (first: number): Promise<void> {
    for (let revision = first; !ended.signal.aborted && readDueInMs() > 0;) {
      const asked = readClocks()
      // Counted from the last answer, so that a pause before the watch prolongs nothing.
      const leftMs = currentAtMs + watchWaitMs - asked.atMs
      const waitMs = Math.ceil(Math.max(SHORTEST_WAIT_MS, Math.min(leftMs, readDueInMs())))
      const outcome = await port.watch(prefix, revision, waitMs, watchSlackMs)
      if (outcome.type === 'unavailable') return noteFailure(outcome.detail)
      if (outcome.type === 'history_lost') return
      noteAnswer(clock.nowMs() - asked.atMs > waitMs + LATE_WATCH_MS)
      revision = outcome.storeRevision
      if (outcome.type === 'changed') {
        takePresent(outcome.entries)
        takeGone(outcome.deletedKeys)
      }
      noteCurrent(asked)
      const pauseMs = outcome.type === 'changed' ? Math.min(spendCredit(), readDueInMs()) : 0
      if (pauseMs > 0) await pause(clock, pauseMs, ended.signal)
    }
  }

  // The copy is older than what was read, and what its owners write again comes within the
  // time in which lapsed entries return: as after an outage, but read at once.
  const stopListening = port.onEra?.(() => {
    returnedAtMs = clock.nowMs()
    fullReadAtMs = -Infinity
    copyLastsUntilMs = clock.nowMs() + COPY_LASTS_MS
    rewrittenAtMs = clock.nowMs() + RETURN_MS
    isCopyUnread = true
  })

  async function run (): Promise<void> {
    while (!ended.signal.aborted) {
      const revision = await readAll()
      if (revision !== undefined) await watchFrom(revision)
      if (!isReachable) await pause(clock, backoffMs(FIRST_PAUSE_MS, LONGEST_PAUSE_MS, Math.min(tried, 10)), ended.signal)
    }
  }

  run().catch((error: unknown) => { throw error })
  return {
    close: () => {
      ended.abort()
      stopListening?.()
    },
    refresh: async () => { await readAll() }
  }
}
