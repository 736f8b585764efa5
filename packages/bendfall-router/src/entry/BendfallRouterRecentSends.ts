/**
 * Counts the sends of an entry to a replica in the last second: what a limit that the
 * replica names then counts as well.
 *
 * @module
 */
import { SENT_BEFORE_MS } from '../limits/BendfallRouterPermitKeeper.js'

/** Spans that are counted apart. */
const SPANS = 4
const SPAN_MS = SENT_BEFORE_MS / SPANS

/** Sends to one replica. */
export interface RecentSends {
  /** Number of the newest span. */
  newest: number
  /** By number of the span, modulo those that are kept: the last second and the span in which it began. */
  readonly counts: number[]
}

/** @returns counts of a replica that was sent nothing */
export function createRecentSends (): RecentSends {
  return { newest: -Infinity, counts: Array.from({ length: SPANS + 1 }, () => 0) }
}

/**
 * Counts a send.
 *
 * @param recent - changed in place
 * @param nowMs - the time
 */
export function noteRecentSend (recent: RecentSends, nowMs: number): void {
  turn(recent, nowMs)
  const place = recent.newest % recent.counts.length
  recent.counts[place] = (recent.counts[place] ?? 0) + 1
}

/**
 * Counts the sends of the last second.
 *
 * @param recent - of the replica; absent: none
 * @param nowMs - the time
 * @returns sends; of the span in which the second began a part
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
