/**
 * Leases permits for the limits that replicas advertise. One entry, the leader, leases permits for single
 * sends to all entries, so that together they stay within a limit however callers are distributed.
 *
 * The platform bounds the requests that reach a replica in a sliding window. Requests that an entry sent
 * before it knew of the limit fall into the first windows too, so that they are reported once and
 * withheld from the first permits.
 *
 * @module
 */
import type { BucketLimit, TokenBucket } from '../allotments/BendfallRouterTokenBucket.js'
import { createBucket, giveBackUnits, takeUnits } from '../allotments/BendfallRouterTokenBucket.js'

/** How long a permit is valid at the entry that leased it. */
export const PERMIT_MS = 400

/** Part of the first window that lies before the limit was learned; sends in it are reported to the leader. */
export const SENT_BEFORE_MS = 1_000

/** An entry's request for permits of a replica, with what it knows of the limit. */
export interface PermitRequest {
  /** Name of the replica's process. */
  readonly processName: string
  /** Name of the requesting entry. */
  readonly entry: string
  /** Requests per second that the replica accepts; absent if the limit was lifted. */
  readonly perS?: number
  /** Time since the entry received that notice. */
  readonly heardAgoMs: number
  /** Time since the request was sent whose response carried the notice. */
  readonly sentAgoMs: number
  /** Permits that the entry could use. */
  readonly wanted: number
  /** Permits that expired unused. */
  readonly returned: number
  /** Sends without a permit from before the entry knew of the limit. */
  readonly sentBefore: number
}

/** Result of a permit request. */
export type PermitOutcome =
  | {
    readonly type: 'leased'
    readonly permits: number
    /** Requests per second that the replica accepts, by the latest notice to any entry; absent if the limit was lifted. */
    readonly perS?: number
    /** Time since that notice. */
    readonly heardAgoMs: number
    /** Time before which no permit will be available for this entry. */
    readonly nextInMs: number
    /** Number of entries that recently requested permits of this replica. */
    readonly entries: number
  }
  /** The leader did not respond, or the process is not the leader. */
  | { readonly type: 'unreachable' }

/** A limit that the process of a replica advertises. */
export interface NamedLimit {
  readonly processName: string
  /** Requests per second that it accepts from all entries together. */
  readonly perS: number
}

/** State of the leader, kept for one term. */
export interface PermitLeaderState {
  /** When this process became leader; before that, another process may have leased permits. */
  readonly sinceMs: number
  readonly limits: Map<string, LimitState>
}

interface LimitState {
  perS?: number
  heardAtMs: number
  askedAtMs: number
  readonly bucket: TokenBucket
  /** Sends without a permit in the current window. */
  sentBefore: number
  sentBeforeSinceMs: number
  /** When the latest of these sends leaves the window, so that no permit is withheld for them any more. */
  withheldUntilMs: number
  /** Entries that requested permits in the current interval, and in the one before. */
  entries: Set<string>
  previousEntries: Set<string>
  entriesSinceMs: number
}

/** Minimum requests per second of all entries: a replica that accepts none is still probed for whether it does. */
const MIN_PER_S = 0.2

/** Permits available at once after an idle period: a fixed number, plus those of a period at the limit. */
const BURST_PERMITS = 2
const BURST_S = 0.2

/** Initial value for a bucket whose limit is passed with each use. */
const NO_BURST: BucketLimit = { unitsPerS: 0, burstUnits: 0 }

/** Permits of a limit that are available when leadership begins, so that it is soon known whether a small limit still applies. */
const INITIAL_PERMITS = 1

/** Permits are leased for this period at a time, but at least one, so that one entry does not take all. */
const LEASE_BATCH_S = 0.2

/** Maximum time until a waiting entry requests again, since others may not use the permits that it waits for. */
const MAX_WAIT_MS = 2_000

/** The platform's bound on the requests in a window: its length, the factor on the limit, and a constant allowance. */
const WINDOW_MS = 4_000
const WINDOW_FACTOR = 1.5
const WINDOW_ALLOWANCE = 5

/** Multiple of the bound from which nothing is withheld; the entries' counts are not exact. */
const EXCEEDED_FACTOR = 1.5

/** Sends without a permit that need not be withheld: a fixed number, plus those of two seconds at the limit, for which the permits of a window leave room. */
const EXEMPT_SENDS = 2
const EXEMPT_S = 2

/** Interval over which entries are counted. */
const ENTRY_COUNT_INTERVAL_MS = 1_000

/** A limit for which no permit is requested in this time is dropped. */
const LIMIT_TTL_MS = 60_000

const MS_PER_SECOND = 1_000

/**
 * Creates the state of a leader that has leased nothing.
 *
 * @param sinceMs - when the process became leader
 * @returns the state
 */
export function createPermitLeaderState (sinceMs: number): PermitLeaderState {
  return { sinceMs, limits: new Map() }
}

/**
 * Leases permits to an entry, and updates the limit from what the entry reports of the replica.
 *
 * @param state - its limits are changed in place
 * @param request - request of the entry
 * @param nowMs - current time
 * @param share - share of each limit that may be leased, from 0 to 1
 * @returns the leased permits and the current limit
 */
export function leasePermits (state: PermitLeaderState, request: PermitRequest, nowMs: number, share = 1): PermitOutcome {
  const limit = limitOf(state, request, nowMs)
  updateLimit(limit, request, nowMs)
  recordEntry(limit, request.entry, nowMs)
  const { perS } = limit
  const response = { type: 'leased', perS, heardAgoMs: nowMs - limit.heardAtMs, entries: Math.max(limit.entries.size, limit.previousEntries.size) } as const
  if (perS === undefined) return { ...response, permits: 0, nextInMs: 0 }
  const bounds = bucketLimitOf(perS * share)
  giveBackUnits(limit.bucket, bounds, request.returned, nowMs)
  releaseWithheldPermits(limit, nowMs)
  withholdPermits(limit, perS, request.sentBefore, nowMs)
  return { ...response, ...takePermits(limit, bounds, request.wanted, nowMs) }
}

/**
 * Lists the limits that replicas currently advertise.
 *
 * @param state - state of the leader
 * @returns the limits
 */
export function namedLimits ({ limits }: PermitLeaderState): NamedLimit[] {
  return [...limits].flatMap(([processName, { perS }]) => perS === undefined ? [] : [{ processName, perS }])
}

function takePermits ({ bucket, withheldUntilMs }: LimitState, bounds: BucketLimit, wanted: number, nowMs: number): { readonly permits: number, readonly nextInMs: number } {
  if (wanted < 1) return { permits: 0, nextInMs: 0 }
  const first = takeUnits(bucket, bounds, 1, nowMs)
  const maxWaitMs = Math.max(MAX_WAIT_MS, MS_PER_SECOND / bounds.unitsPerS)
  // Entries that were given a later time request again sooner than that, so that reservations beyond
  // the maximum must not delay others.
  bucket.latestRetryAtMs = Math.min(bucket.latestRetryAtMs, nowMs + maxWaitMs)
  if (first.type === 'refused') return { permits: 0, nextInMs: Math.min(first.retryAfterMs, maxWaitMs, withheldUntilMs > nowMs ? withheldUntilMs - nowMs : Infinity) }
  const maxPermits = Math.max(1, Math.ceil(bounds.unitsPerS * LEASE_BATCH_S))
  const additional = Math.min(wanted - 1, maxPermits - 1, Math.floor(bucket.units))
  bucket.units -= Math.max(0, additional)
  return { permits: 1 + Math.max(0, additional), nextInMs: 0 }
}

function bucketLimitOf (perS: number): BucketLimit {
  return { unitsPerS: Math.max(MIN_PER_S, perS), burstUnits: BURST_PERMITS + perS * BURST_S }
}

function limitOf ({ limits, sinceMs }: PermitLeaderState, { processName }: PermitRequest, nowMs: number): LimitState {
  const existing = limits.get(processName)
  // Reinserts the limit, so that those without recent requests come first.
  limits.delete(processName)
  dropUnusedLimits(limits, nowMs)
  const limit = existing ?? {
    heardAtMs: -Infinity,
    askedAtMs: nowMs,
    // Nothing was leased of this limit since the process became leader.
    bucket: { ...createBucket(NO_BURST, sinceMs), units: INITIAL_PERMITS },
    sentBefore: 0,
    sentBeforeSinceMs: -Infinity,
    withheldUntilMs: -Infinity,
    entries: new Set<string>(),
    previousEntries: new Set<string>(),
    entriesSinceMs: nowMs
  }
  limit.askedAtMs = nowMs
  limits.set(processName, limit)
  return limit
}

function dropUnusedLimits (limits: Map<string, LimitState>, nowMs: number): void {
  for (const [name, { askedAtMs }] of limits) {
    if (nowMs - askedAtMs < LIMIT_TTL_MS) return
    limits.delete(name)
  }
}

// The latest notice counts, whichever entry received it. One that loosens the limit counts only if its
// request was sent after the last notice arrived, since responses can overtake each other.
function updateLimit (limit: LimitState, { heardAgoMs, perS, sentAgoMs }: PermitRequest, nowMs: number): void {
  const heardAtMs = nowMs - heardAgoMs
  const isLooser = (perS ?? Infinity) > (limit.perS ?? Infinity)
  if (heardAtMs <= limit.heardAtMs || (isLooser && nowMs - sentAgoMs <= limit.heardAtMs)) return
  limit.perS = perS
  limit.heardAtMs = heardAtMs
}

function recordEntry (limit: LimitState, entry: string, nowMs: number): void {
  if (nowMs - limit.entriesSinceMs >= ENTRY_COUNT_INTERVAL_MS) {
    limit.previousEntries = nowMs - limit.entriesSinceMs < 2 * ENTRY_COUNT_INTERVAL_MS ? limit.entries : new Set()
    limit.entries = new Set()
    limit.entriesSinceMs = nowMs
  }
  limit.entries.add(entry)
}

// Sends that have left the window no longer count, however many permits are still withheld for them.
function releaseWithheldPermits ({ bucket, withheldUntilMs }: LimitState, nowMs: number): void {
  if (nowMs >= withheldUntilMs) bucket.units = Math.max(0, bucket.units)
}

// A window that far exceeds its bound by these sends alone does so whatever is leased.
function withholdPermits (limit: LimitState, perS: number, sends: number, nowMs: number): void {
  if (nowMs - limit.sentBeforeSinceMs > WINDOW_MS) {
    limit.sentBefore = 0
    limit.sentBeforeSinceMs = nowMs
  }
  if (sends > 0) limit.withheldUntilMs = nowMs + WINDOW_MS
  const previous = withheldPermits(limit.sentBefore, perS)
  limit.sentBefore += sends
  limit.bucket.units -= withheldPermits(limit.sentBefore, perS) - previous
}

function withheldPermits (sends: number, perS: number): number {
  if (sends > EXCEEDED_FACTOR * (WINDOW_FACTOR * perS * WINDOW_MS / MS_PER_SECOND + WINDOW_ALLOWANCE)) return 0
  return Math.max(0, sends - EXEMPT_S * perS - EXEMPT_SENDS)
}
