/**
 * Remembers the last registration of replicas that left. A key-value service that is restored from
 * an older backup lists them again as they were, ready and at a higher revision. Such a registration
 * counts only if it is newer by the replica's own heartbeat count, or belongs to a later process.
 *
 * @module
 */
import type { Replica } from '../BendfallRouterTypes.js'
import type { RouterContext } from './BendfallRouterContext.js'

/** Backups are some seconds old, and what they list expires after three missed heartbeats. */
const REMEMBERED_MS = 60_000

/** Maximum number of remembered replicas; in a fleet of 12,000 some 1,900 are replaced a day. */
const MAX_REMEMBERED = 1_024

/** Last registration of a replica that is no longer registered. */
export interface DepartedReplica {
  readonly startedAtMs?: number
  readonly heartbeats: number
  readonly goneAtMs: number
}

/**
 * Remembers a replica whose registration is gone.
 *
 * @param context - context of the current event
 * @param replica - its last registration
 */
export function recordDeparted ({ nowMs, state }: RouterContext, { heartbeats, replicaId, startedAtMs }: Replica): void {
  const { departed } = state
  for (const [oldest, { goneAtMs }] of departed) {
    if (departed.size < MAX_REMEMBERED && nowMs - goneAtMs < REMEMBERED_MS) break
    departed.delete(oldest)
  }
  departed.delete(replicaId)
  departed.set(replicaId, { startedAtMs, heartbeats, goneAtMs: nowMs })
}

/**
 * Returns whether a registration is no newer than the one a departed replica had last. This can't be
 * decided where the platform does not report the start time of processes; false is returned there.
 *
 * @param context - context of the current event
 * @param replica - registration of a replica that is not known at the moment
 * @returns true for an outdated registration; a newer one removes the remembered replica
 */
export function isStaleRegistration ({ effects, nowMs, state }: RouterContext, replica: Replica): boolean {
  const { replicaId, startedAtMs } = replica
  const previous = state.departed.get(replicaId)
  if (previous === undefined) return false
  const isRemembered = nowMs - previous.goneAtMs < REMEMBERED_MS
  if (!isRemembered || startedAtMs === undefined || previous.startedAtMs === undefined || isNewer(replica, previous)) {
    state.departed.delete(replicaId)
    return false
  }
  effects.push({ type: 'log', decision: 'replica_word_old', requestId: '', inputs: { replica: replicaId, heartbeats: replica.heartbeats, lastHeartbeats: previous.heartbeats, goneForMs: Math.round(nowMs - previous.goneAtMs) } })
  return true
}

function isNewer ({ heartbeats, startedAtMs = 0 }: Replica, previous: DepartedReplica): boolean {
  const { startedAtMs: previousStartMs = 0 } = previous
  return startedAtMs === previousStartMs ? heartbeats > previous.heartbeats : startedAtMs > previousStartMs
}
