/**
 * Counts the sends of an entry to a replica in the last second with a sliding window. A rate limit
 * that the replica advertises applies to these sends as well.
 *
 * @module
 */
import { SENT_BEFORE_MS } from '../limits/BendfallRouterPermitKeeper.js'

/** Buckets of the sliding window. */
const SPANS = 4
const SPAN_MS = SENT_BEFORE_MS / SPANS

/** Sliding window over the sends to one replica. */
export interface RecentSends {
  /** Sequence number of the newest bucket. */
  newest: number
  /** Ring buffer of counts, indexed by sequence number modulo its length: one bucket more than a second, since the window starts inside a bucket. */
  readonly counts: number[]
}

/** @returns a window without sends */
export function createRecentSends (): RecentSends {
  return { newest: -Infinity, counts: Array.from({ length: SPANS + 1 }, () => 0) }
}

/**
 * Records a send.
 *
 * @param recent - window of the replica, changed in place
 * @param nowMs - monotonic time of the send
 */
export function noteRecentSend (recent: RecentSends, nowMs: number): void {
  turn(recent, nowMs)
  const place = recent.newest % recent.counts.length
  recent.counts[place] = (recent.counts[place] ?? 0) + 1
}

/**
 * Counts the sends of the last second.
 *
 * @param recent - window of the replica; undefined counts as no sends
 * @param nowMs - monotonic time at which the second ends
 * @returns number of sends; the bucket in which the second starts counts in proportion
 */
export function countSent (recent: RecentSends | undefined, nowMs: number): number {
  if (recent === undefined) return 0
  turn(recent, nowMs)
  const { counts, newest } = recent
  const oldest = counts[(newest + 1) % counts.length] ?? 0
  const passedShare = nowMs / SPAN_MS - newest
  return Math.round(counts.reduce((sum, count) => sum + count, 0) - oldest * passedShare)
}

function turn (recent: RecentSends, nowMs: number): void {
  const span = Math.floor(nowMs / SPAN_MS)
  const { counts, newest } = recent
  for (let passed = Math.max(newest + 1, span - SPANS); passed <= span; passed++) counts[passed % counts.length] = 0
  recent.newest = Math.max(newest, span)
}
