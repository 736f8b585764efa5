/**
 * What replicas say of themselves in their answers: that they leave, or that they want no
 * request for a time. Each notice belongs to one process; one that starts again under its
 * id is not bound by it.
 *
 * @module
 */

import type { LimitNotice } from '../limits/BendfallRouterReplicaLimits.js'

/** What the head of an answer says of its replica. */
export interface ReplicaNotice {
  /** The replica leaves. */
  readonly isLeaving: boolean
  /** Time for which it wants no request; absent: it did not say. */
  readonly backoffMs?: number
  /** Of a limit on the requests of all entries; absent: nothing is said either way. */
  readonly limit?: LimitNotice
  /** Names of headers in which it said more that nobody decodes; absent: none. */
  readonly undecoded?: readonly string[]
}

/** What one process has said. */
interface KnownNotice {
  readonly isLeaving: boolean
  readonly backoffUntilMs: number
}

/** Notices by the name of the process, oldest first. */
export type ReplicaNotices = Map<string, KnownNotice>

/** Processes whose notices are kept; more than leave or back off at once in a fleet of 12,000. */
const MOST_KNOWN = 4_096

/** What a notice changed. */
export type NoticeChange = 'leaves' | 'backs_off' | 'nothing'

/**
 * Takes a notice. One that leaves does not say later that it stays, and a backoff is not
 * shortened by a later answer without one.
 *
 * @param notices - changed in place
 * @param processName - of the replica
 * @param notice - from the head of its answer
 * @param nowMs - the time
 * @returns what it changed
 */
export function takeNotice (notices: ReplicaNotices, processName: string, { backoffMs = 0, isLeaving }: ReplicaNotice, nowMs: number): NoticeChange {
  if (!isLeaving && backoffMs <= 0) return 'nothing'
  const known = notices.get(processName) ?? { isLeaving: false, backoffUntilMs: -Infinity }
  const backoffUntilMs = Math.max(known.backoffUntilMs, nowMs + backoffMs)
  notices.delete(processName)
  notices.set(processName, { isLeaving: known.isLeaving || isLeaving, backoffUntilMs })
  const [oldest] = notices.keys()
  if (notices.size > MOST_KNOWN && oldest !== undefined) notices.delete(oldest)
  if (isLeaving && !known.isLeaving) return 'leaves'
  return known.backoffUntilMs <= nowMs && backoffMs > 0 ? 'backs_off' : 'nothing'
}

/**
 * Tells whether a process has said that it leaves.
 *
 * @param notices - known so far
 * @param processName - of the replica
 * @returns true once it has
 */
export function hasSaidLeaving (notices: ReplicaNotices, processName: string): boolean {
  return notices.get(processName)?.isLeaving === true
}

/**
 * Time for which a process still wants no request.
 *
 * @param notices - known so far
 * @param processName - of the replica
 * @param nowMs - the time
 * @returns milliseconds; 0 when it takes requests
 */
export function backoffLeftMs (notices: ReplicaNotices, processName: string, nowMs: number): number {
  return Math.max(0, (notices.get(processName)?.backoffUntilMs ?? 0) - nowMs)
}
