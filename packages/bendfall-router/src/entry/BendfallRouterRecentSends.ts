/**
 * Counts the sends of an entry to a replica in the last second with a sliding window. A rate limit
 * that the replica advertises applies to these sends as well.
 *
 * @module
 */
import { SENT_BEFORE_MS } from '../limits/BendfallRouterPermitLeader.js'

/** Buckets of the sliding window. */
const BUCKETS = 4
const BUCKET_MS = SENT_BEFORE_MS / BUCKETS

/** Sliding window over the sends to one replica. */
export interface RecentSends {
  /** Sequence number of the newest bucket. */
  newestBucket: number
  /** Ring buffer of counts, indexed by sequence number modulo its length: one bucket more than a second, since the window starts inside a bucket. */
  readonly counts: number[]
}

/** @returns a window without sends */
export function createRecentSends (): RecentSends {
  return { newestBucket: -Infinity, counts: Array.from({ length: BUCKETS + 1 }, () => 0) }
}

/**
 * Records a send.
 *
 * @param recent - window of the replica, changed in place
 * @param nowMs - monotonic time of the send
 */
export function recordRecentSend (recent: RecentSends, nowMs: number): void {
  advance(recent, nowMs)
  const index = recent.newestBucket % recent.counts.length
  recent.counts[index] = (recent.counts[index] ?? 0) + 1
}

/**
 * Counts the sends of the last second.
 *
 * @param recent - window of the replica; undefined counts as no sends
 * @param nowMs - monotonic time at which the second ends
 * @returns number of sends; the bucket in which the second starts counts in proportion
 */
export function countRecentSends (recent: RecentSends | undefined, nowMs: number): number {
  if (recent === undefined) return 0
  advance(recent, nowMs)
  const { counts, newestBucket: newest } = recent
  const oldest = counts[(newest + 1) % counts.length] ?? 0
  const elapsedShare = nowMs / BUCKET_MS - newest
  return Math.round(counts.reduce((sum, count) => sum + count, 0) - oldest * elapsedShare)
}

function advance (recent: RecentSends, nowMs: number): void {
  const bucket = Math.floor(nowMs / BUCKET_MS)
  const { counts, newestBucket: newest } = recent
  for (let elapsed = Math.max(newest + 1, bucket - BUCKETS); elapsed <= bucket; elapsed++) counts[elapsed % counts.length] = 0
  recent.newestBucket = Math.max(newest, bucket)
}
