/**
 * Status that replicas report in the heads of their responses: that they are shutting down, or that they want
 * no requests for a time. A notice applies to one process; a process that restarts under the same
 * replica id is not bound by it.
 *
 * @module
 */

import type { LimitNotice } from '../limits/BendfallRouterReplicaLimits.js'

/** Status of the replica in a response head. */
export interface ReplicaNotice {
  /** Whether the replica is shutting down. */
  readonly isLeaving: boolean
  /** Time for which it wants no requests; absent if it did not report one. */
  readonly backoffMs?: number
  /** Limit on the requests of all entries; absent if the response has no information on limits. */
  readonly limit?: LimitNotice
  /** Names of headers with further status that is not decoded; absent: none. */
  readonly undecoded?: readonly string[]
}

/** Accumulated status of one process. */
interface ProcessStatus {
  readonly isLeaving: boolean
  readonly backoffUntilMs: number
  /** When the last notice was received. */
  readonly heardAtMs: number
}

/** Notices by process name, oldest first. */
export type ReplicaNotices = Map<string, ProcessStatus>

/** Maximum processes whose notices are kept; more than shut down or back off at once in a fleet of 12,000. */
const MAX_PROCESSES = 4_096

/** What a notice changed. */
export type NoticeChange = 'leaves' | 'backs_off' | 'nothing'

/**
 * Records a notice. A shutdown is never revoked by a later notice, and a backoff is not shortened by a
 * later response without one.
 *
 * @param notices - changed in place
 * @param processName - name of the responding process
 * @param notice - status in the head of its response
 * @param nowMs - current time
 * @returns what it changed
 */
export function recordNotice (notices: ReplicaNotices, processName: string, { backoffMs = 0, isLeaving }: ReplicaNotice, nowMs: number): NoticeChange {
  if (!isLeaving && backoffMs <= 0) return 'nothing'
  const known = notices.get(processName) ?? { isLeaving: false, backoffUntilMs: -Infinity, heardAtMs: -Infinity }
  const backoffUntilMs = Math.max(known.backoffUntilMs, nowMs + backoffMs)
  notices.delete(processName)
  notices.set(processName, { isLeaving: known.isLeaving || isLeaving, backoffUntilMs, heardAtMs: nowMs })
  const [oldest] = notices.keys()
  if (notices.size > MAX_PROCESSES && oldest !== undefined) notices.delete(oldest)
  if (isLeaving && !known.isLeaving) return 'leaves'
  return known.backoffUntilMs <= nowMs && backoffMs > 0 ? 'backs_off' : 'nothing'
}

/**
 * Moves the notices of a process to the name under which it is known from now on.
 *
 * @param notices - changed in place
 * @param from - name under which they were recorded
 * @param to - name of the process that sent them
 */
export function moveNotices (notices: ReplicaNotices, from: string, to: string): void {
  const status = notices.get(from)
  notices.delete(from)
  if (status !== undefined) notices.set(to, status)
}

/**
 * Moves a backoff to a process that may have requested it, where it can't be told from the previous one. It is
 * shortened, since that one may have requested a long time.
 *
 * @param notices - changed in place
 * @param from - name under which it was recorded
 * @param to - name of the process that may have requested it
 * @param sinceMs - notices before this time are of the previous process and are dropped
 * @param maxUntilMs - latest end of the backoff
 */
export function moveAmbiguousBackoff (notices: ReplicaNotices, from: string, to: string, sinceMs: number, maxUntilMs: number): void {
  const status = notices.get(from)
  notices.delete(from)
  if (status === undefined || status.heardAtMs < sinceMs) return
  notices.set(to, { ...status, isLeaving: false, backoffUntilMs: Math.min(status.backoffUntilMs, maxUntilMs) })
}

/**
 * Returns whether a process has reported that it is shutting down.
 *
 * @param notices - notices received so far
 * @param processName - name of the replica's process
 * @returns true once it has
 */
export function isProcessLeaving (notices: ReplicaNotices, processName: string): boolean {
  return notices.get(processName)?.isLeaving === true
}

/**
 * Returns the remaining time for which a process wants no requests.
 *
 * @param notices - notices received so far
 * @param processName - name of the replica's process
 * @param nowMs - current time
 * @returns milliseconds; 0 if it accepts requests
 */
export function backoffLeftMs (notices: ReplicaNotices, processName: string, nowMs: number): number {
  return Math.max(0, (notices.get(processName)?.backoffUntilMs ?? 0) - nowMs)
}
