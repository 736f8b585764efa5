/**
 * An entry's view of the limits that replicas advertise, and the permits that it has leased for
 * sends to them.
 *
 * @module
 */
import type { NamedLimit, PermitRequest, PermitOutcome } from './BendfallRouterPermitLeader.js'
import { PERMIT_MS } from './BendfallRouterPermitLeader.js'

/** The limit on the requests of all entries together in a response head. */
export type LimitNotice =
  | { readonly type: 'named', readonly perS: number }
  | { readonly type: 'none' }
  /** It contains a limit that can't be parsed. */
  | { readonly type: 'unreadable', readonly text: string }

/** Limit of the process of a replica. */
export interface ReplicaLimit {
  readonly processName: string
  perS: number
  /** When the last notice of the limit arrived, at any entry. */
  heardAtMs: number
  /** When the request was sent whose response carried the notice. */
  sentAtMs: number
  permits: number
  /** When the permits expire. */
  lapseAtMs: number
  /** Permits that expired unused and are to be returned to the leader. */
  returned: number
  /** Sends from before the limit was known that have not been reported to the leader. */
  sentBefore: number
  isAsking: boolean
  askedAtMs: number
  /** Time before which the leader has no permit for this entry. */
  nextRequestAtMs: number
  /** Sends made or wanted since the last permit request. */
  wanted: number
  wantedSinceMs: number
  /** Number of entries that share the limit, as counted by the leader. */
  entries: number
  /** Whether the leader did not respond last time, so that it is not known when there are permits. */
  isLeaderSilent: boolean
}

/** Limits by process name, oldest first. */
export type ReplicaLimits = Map<string, ReplicaLimit>

/** Maximum limits kept at a time; more than the replicas that need one in a fleet of 12,000. */
const MAX_LIMITS = 4_096

/** A limit of which no entry received a notice in this time is dropped. */
const LIMIT_TTL_MS = 60_000

/** Permits are requested for the demand of this period. */
const REQUEST_AHEAD_MS = 200

/** Minimum period over which demand is measured. */
const MIN_MEASURED_MS = 100

/** Maximum permits per request; the leader leases fewer of small limits. */
const MAX_WANTED = 1_000

/** Delay before the leader is asked again if it did not respond. */
const UNREACHABLE_RETRY_MS = 200

/** What a notice changed. */
export type LimitChange = 'named' | 'changed' | 'lifted' | 'nothing'

/**
 * Applies the limit in a response. A notice that loosens a limit counts only in the response to a request
 * that was sent after the last notice arrived, since responses can overtake each other.
 *
 * @param limits - changed in place
 * @param processName - name of the responding process
 * @param notice - limit in the head of its response
 * @param sentAtMs - when the request was sent
 * @param nowMs - current time
 * @returns what it changed
 */
export function applyLimitNotice (limits: ReplicaLimits, processName: string, notice: LimitNotice, sentAtMs: number, nowMs: number): LimitChange {
  const known = limits.get(processName)
  if (notice.type === 'unreadable') return 'nothing'
  if (notice.type === 'none') {
    if (known === undefined || sentAtMs <= known.heardAtMs) return 'nothing'
    limits.delete(processName)
    return 'lifted'
  }
  if (known === undefined) {
    addLimit(limits, { processName, perS: notice.perS, heardAtMs: nowMs, sentAtMs }, nowMs)
    return 'named'
  }
  if (notice.perS > known.perS && sentAtMs <= known.heardAtMs) return 'nothing'
  const change = notice.perS === known.perS ? 'nothing' : 'changed'
  Object.assign(known, { perS: notice.perS, heardAtMs: nowMs, sentAtMs })
  return change
}

/**
 * Moves the limit of a process to the name under which it is known from now on.
 *
 * @param limits - changed in place
 * @param from - name under which it was learned
 * @param to - name of the process that advertised it
 */
export function moveLimit (limits: ReplicaLimits, from: string, to: string): void {
  const limit = limits.get(from)
  limits.delete(from)
  // The permits that were asked for under the former name are of no use under this one.
  if (limit !== undefined) addLimit(limits, { ...limit, processName: to }, limit.wantedSinceMs)
}

/**
 * Adds a limit that other entries have learned.
 *
 * @param limits - changed in place
 * @param learned - the limit
 * @param nowMs - current time
 */
export function addLearnedLimit (limits: ReplicaLimits, { perS, processName }: NamedLimit, nowMs: number): void {
  if (!limits.has(processName)) addLimit(limits, { processName, perS, heardAtMs: nowMs, sentAtMs: -Infinity }, nowMs)
}

function addLimit (limits: ReplicaLimits, learned: Pick<ReplicaLimit, 'processName' | 'perS' | 'heardAtMs' | 'sentAtMs'>, nowMs: number): void {
  limits.set(learned.processName, { ...learned, permits: 0, lapseAtMs: -Infinity, returned: 0, sentBefore: 0, isAsking: false, askedAtMs: -Infinity, nextRequestAtMs: -Infinity, wanted: 0, wantedSinceMs: nowMs, entries: 1, isLeaderSilent: false })
  const [oldest] = limits.keys()
  if (limits.size > MAX_LIMITS && oldest !== undefined) limits.delete(oldest)
}

/**
 * Returns whether a request may be sent to a replica with the permits at hand.
 *
 * @param limit - limit of the replica; undefined if it advertises none
 * @param nowMs - current time
 * @returns true without a limit, or with an unexpired permit
 */
export function hasPermit (limit: ReplicaLimit | undefined, nowMs: number): boolean {
  return limit === undefined || (limit.permits > 0 && nowMs < limit.lapseAtMs)
}

/**
 * Uses a permit.
 *
 * @param limit - limit with a permit; see {@link hasPermit}
 */
export function usePermit (limit: ReplicaLimit): void {
  limit.permits -= 1
  limit.wanted += 1
}

/**
 * Returns a permit that was used for a send which did not take place.
 *
 * @param limit - limit of the replica; changed in place
 */
export function returnPermit (limit: ReplicaLimit): void {
  limit.returned += 1
}

/**
 * Creates the next permit request to the leader.
 *
 * @param limit - limit of the replica; changed in place
 * @param entry - name of this entry
 * @param nowMs - current time
 * @returns the permit request
 */
export function createPermitRequest (limit: ReplicaLimit, entry: string, nowMs: number): PermitRequest {
  const { heardAtMs, perS, processName, sentAtMs, sentBefore } = limit
  if (nowMs >= limit.lapseAtMs) dropPermits(limit)
  const demand = limit.wanted * REQUEST_AHEAD_MS / Math.max(MIN_MEASURED_MS, nowMs - limit.wantedSinceMs)
  const wanted = Math.min(MAX_WANTED, Math.max(1, Math.ceil(demand)))
  const request = { processName, entry, perS, heardAgoMs: nowMs - heardAtMs, sentAgoMs: nowMs - sentAtMs, wanted, returned: limit.returned, sentBefore }
  Object.assign(limit, { isAsking: true, askedAtMs: nowMs, wanted: 0, wantedSinceMs: nowMs, returned: 0, sentBefore: 0 })
  return request
}

/**
 * Creates the request that notifies the leader of a lifted limit.
 *
 * @param processName - name of the replica's process
 * @param entry - name of this entry
 * @param sentAgoMs - time since the request was sent whose response carried no limit
 * @returns the request, for no permits
 */
export function createLimitLiftedRequest (processName: string, entry: string, sentAgoMs: number): PermitRequest {
  return { processName, entry, heardAgoMs: 0, sentAgoMs, wanted: 0, returned: 0, sentBefore: 0 }
}

/**
 * Drops permits that expired; they are returned with the next permit request.
 *
 * @param limit - changed in place
 */
export function dropPermits (limit: ReplicaLimit): void {
  limit.returned += limit.permits
  limit.permits = 0
}

/**
 * Applies the leader's response to a permit request.
 *
 * @param limits - changed in place
 * @param limit - limit for which permits were requested
 * @param request - the permit request
 * @param outcome - the response
 * @param nowMs - current time
 * @returns what it changed
 */
export function applyPermitOutcome (limits: ReplicaLimits, limit: ReplicaLimit, request: PermitRequest, outcome: PermitOutcome, nowMs: number): LimitChange {
  limit.isAsking = false
  limit.isLeaderSilent = outcome.type === 'unreachable'
  if (outcome.type === 'unreachable') {
    // The leader may have processed the request: permits returned twice would be leased beyond the limit.
    limit.sentBefore += request.sentBefore
    limit.nextRequestAtMs = nowMs + UNREACHABLE_RETRY_MS
    return 'nothing'
  }
  const heardAtMs = nowMs - outcome.heardAgoMs
  if (outcome.perS === undefined) {
    if (heardAtMs <= limit.heardAtMs) return 'nothing'
    limits.delete(limit.processName)
    return 'lifted'
  }
  dropPermits(limit)
  limit.permits = outcome.permits
  limit.lapseAtMs = limit.askedAtMs + PERMIT_MS
  limit.nextRequestAtMs = nowMs + outcome.nextInMs
  limit.entries = outcome.entries
  const isNewer = heardAtMs > limit.heardAtMs
  const change = isNewer && outcome.perS !== limit.perS ? 'changed' : 'nothing'
  if (isNewer) Object.assign(limit, { perS: outcome.perS, heardAtMs })
  return change
}

/**
 * Drops limits of which no entry has received a notice for long.
 *
 * @param limits - changed in place
 * @param nowMs - current time
 */
export function dropStaleLimits (limits: ReplicaLimits, nowMs: number): void {
  for (const [name, { heardAtMs, isAsking }] of limits) {
    if (!isAsking && nowMs - heardAtMs >= LIMIT_TTL_MS) limits.delete(name)
  }
}
