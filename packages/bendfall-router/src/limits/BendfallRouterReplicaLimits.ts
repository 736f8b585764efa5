/**
 * What an entry knows of the limits that replicas name, and the permits that it has leased
 * for sends to them.
 *
 * @module
 */
import type { NamedLimit, PermitAsk, PermitOutcome } from './BendfallRouterPermitKeeper.js'
import { PERMIT_MS } from './BendfallRouterPermitKeeper.js'

/** What the head of an answer says of a limit on the requests of all entries together. */
export type LimitNotice =
  | { readonly type: 'named', readonly perS: number }
  | { readonly type: 'none' }
  /** It names one that can't be read. */
  | { readonly type: 'unreadable', readonly text: string }

/** Limit of the process of a replica. */
export interface ReplicaLimit {
  readonly processName: string
  perS: number
  /** When the last notice of it came, to whichever entry. */
  heardAtMs: number
  /** When the request was sent whose answer said so. */
  sentAtMs: number
  permits: number
  /** When the permits lapse. */
  lapseAtMs: number
  /** Permits that lapsed unused and are to be given back. */
  returned: number
  /** Sends before the limit was known that the keeper does not know of. */
  sentBefore: number
  isAsking: boolean
  askedAtMs: number
  /** The keeper has no permit for this entry sooner. */
  nextAskAtMs: number
  /** Sends that were made or wanted since the last ask. */
  wanted: number
  wantedSinceMs: number
  /** Entries that share the limit, as the keeper counts them. */
  entries: number
}

/** Limits by the name of the process, oldest first. */
export type ReplicaLimits = Map<string, ReplicaLimit>

/** Limits that are known at a time; more than replicas in need in a fleet of 12,000. */
const MOST_KNOWN = 4_096

/** A limit of which no entry heard in this time is forgotten. */
const FORGOTTEN_MS = 60_000

/** Permits are asked for the demand of so long. */
const ASKED_AHEAD_MS = 200

/** The demand is measured over so long at least. */
const LEAST_MEASURED_MS = 100

/** Asked for at once; the keeper leases less of small limits. */
const MOST_WANTED = 1_000

/** Without an answer of the keeper it is asked again after this. */
const UNREACHABLE_MS = 200

/** What a notice changed. */
export type LimitChange = 'named' | 'changed' | 'lifted' | 'nothing'

/**
 * Takes what an answer says of a limit. A notice that loosens a limit counts only in the answer
 * to a request that was sent after the last notice came: answers overtake each other.
 *
 * @param limits - changed in place
 * @param processName - of the replica
 * @param notice - from the head of its answer
 * @param sentAtMs - when its request was sent
 * @param nowMs - the time
 * @returns what it changed
 */
export function takeLimitNotice (limits: ReplicaLimits, processName: string, notice: LimitNotice, sentAtMs: number, nowMs: number): LimitChange {
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
 * Adds a limit that other entries have heard of.
 *
 * @param limits - changed in place
 * @param told - the limit
 * @param nowMs - the time
 */
export function addLearnedLimit (limits: ReplicaLimits, { perS, processName }: NamedLimit, nowMs: number): void {
  if (!limits.has(processName)) addLimit(limits, { processName, perS, heardAtMs: nowMs, sentAtMs: -Infinity }, nowMs)
}

function addLimit (limits: ReplicaLimits, told: Pick<ReplicaLimit, 'processName' | 'perS' | 'heardAtMs' | 'sentAtMs'>, nowMs: number): void {
  limits.set(told.processName, { ...told, permits: 0, lapseAtMs: -Infinity, returned: 0, sentBefore: 0, isAsking: false, askedAtMs: -Infinity, nextAskAtMs: -Infinity, wanted: 0, wantedSinceMs: nowMs, entries: 1 })
  const [oldest] = limits.keys()
  if (limits.size > MOST_KNOWN && oldest !== undefined) limits.delete(oldest)
}

/**
 * Tells whether a replica may be sent a request by the permits at hand.
 *
 * @param limit - of the replica; absent: it names none
 * @param nowMs - the time
 * @returns true without a limit and with a permit
 */
export function hasPermit (limit: ReplicaLimit | undefined, nowMs: number): boolean {
  return limit === undefined || (limit.permits > 0 && nowMs < limit.lapseAtMs)
}

/**
 * Uses a permit.
 *
 * @param limit - has one; see {@link hasPermit}
 */
export function usePermit (limit: ReplicaLimit): void {
  limit.permits -= 1
  limit.wanted += 1
}

/**
 * Gives a permit back that was used for a send which was not made.
 *
 * @param limit - of the replica
 */
export function returnPermit (limit: ReplicaLimit): void {
  limit.returned += 1
}

/**
 * Makes the next ask to the keeper.
 *
 * @param limit - of the replica; changed in place
 * @param entry - name of this entry
 * @param nowMs - the time
 * @returns the ask
 */
export function createAsk (limit: ReplicaLimit, entry: string, nowMs: number): PermitAsk {
  const { heardAtMs, perS, processName, sentAtMs, sentBefore } = limit
  if (nowMs >= limit.lapseAtMs) dropPermits(limit)
  const demand = limit.wanted * ASKED_AHEAD_MS / Math.max(LEAST_MEASURED_MS, nowMs - limit.wantedSinceMs)
  const wanted = Math.min(MOST_WANTED, Math.max(1, Math.ceil(demand)))
  const ask = { processName, entry, perS, heardAgoMs: nowMs - heardAtMs, sentAgoMs: nowMs - sentAtMs, wanted, returned: limit.returned, sentBefore }
  Object.assign(limit, { isAsking: true, askedAtMs: nowMs, wanted: 0, wantedSinceMs: nowMs, returned: 0, sentBefore: 0 })
  return ask
}

/**
 * Makes the ask that tells the keeper of a limit which was lifted.
 *
 * @param processName - of the replica
 * @param entry - name of this entry
 * @param sentAgoMs - time since the request was sent whose answer named no limit
 * @returns the ask, for no permits
 */
export function createLiftedAsk (processName: string, entry: string, sentAgoMs: number): PermitAsk {
  return { processName, entry, heardAgoMs: 0, sentAgoMs, wanted: 0, returned: 0, sentBefore: 0 }
}

/**
 * Drops permits that lapsed; they are given back with the next ask.
 *
 * @param limit - changed in place
 */
export function dropPermits (limit: ReplicaLimit): void {
  limit.returned += limit.permits
  limit.permits = 0
}

/**
 * Takes the keeper's answer.
 *
 * @param limits - changed in place
 * @param limit - that it was asked for
 * @param ask - that it answers
 * @param outcome - the answer
 * @param nowMs - the time
 * @returns what it changed
 */
export function takePermits (limits: ReplicaLimits, limit: ReplicaLimit, ask: PermitAsk, outcome: PermitOutcome, nowMs: number): LimitChange {
  limit.isAsking = false
  if (outcome.type === 'unreachable') {
    // The keeper may have taken the ask: permits given back twice would be leased beyond the limit.
    limit.sentBefore += ask.sentBefore
    limit.nextAskAtMs = nowMs + UNREACHABLE_MS
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
  limit.nextAskAtMs = nowMs + outcome.nextInMs
  limit.entries = outcome.entries
  const isNewer = heardAtMs > limit.heardAtMs
  const change = isNewer && outcome.perS !== limit.perS ? 'changed' : 'nothing'
  if (isNewer) Object.assign(limit, { perS: outcome.perS, heardAtMs })
  return change
}

/**
 * Forgets limits of which nobody heard for long.
 *
 * @param limits - changed in place
 * @param nowMs - the time
 */
export function forgetLimits (limits: ReplicaLimits, nowMs: number): void {
  for (const [name, { heardAtMs, isAsking }] of limits) {
    if (!isAsking && nowMs - heardAtMs >= FORGOTTEN_MS) limits.delete(name)
  }
}
