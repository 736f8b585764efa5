/**
 * Keeps the limits that replicas name: one entry leases permits for single sends to all
 * entries, so that together they stay within a limit, whoever has the callers.
 *
 * The platform bounds what reaches a replica in a window that slides. What an entry had sent
 * before it knew of the limit lies in the first windows as well, so that it is told once and
 * held back from the first permits.
 *
 * @module
 */
import type { BucketLimit, TokenBucket } from '../allotments/BendfallRouterTokenBucket.js'
import { createBucket, giveBackUnits, takeUnits } from '../allotments/BendfallRouterTokenBucket.js'

/** Time for which a permit holds at the entry that leased it. */
export const PERMIT_MS = 400

/** Part of the first window that lies before the limit was named. */
export const SENT_BEFORE_MS = 1_000

/** What an entry tells the keeper of a replica, and asks of it. */
export interface PermitAsk {
  /** Name of the replica's process. */
  readonly processName: string
  /** Entry that asks. */
  readonly entry: string
  /** Requests a second that the replica takes; absent: it lifted its limit. */
  readonly perS?: number
  /** Time since the entry heard so. */
  readonly heardAgoMs: number
  /** Time since the request was sent whose answer said so. */
  readonly sentAgoMs: number
  /** Permits that it could use. */
  readonly wanted: number
  /** Permits that lapsed unused. */
  readonly returned: number
  /** Sends that had no permit, since the entry did not know of the limit. */
  readonly sentBefore: number
}

/** Outcome of an ask. */
export type PermitOutcome =
  | {
    readonly type: 'leased'
    readonly permits: number
    /** Requests a second that the replica takes by the newest notice to any entry; absent: it lifted its limit. */
    readonly perS?: number
    /** Time since that notice. */
    readonly heardAgoMs: number
    /** No permit is free for this entry sooner. */
    readonly nextInMs: number
    /** Entries that asked for permits of this replica of late. */
    readonly entries: number
  }
  /** No answer, or its process doesn't hold the duty. */
  | { readonly type: 'unreachable' }

/** A limit that the process of a replica names. */
export interface NamedLimit {
  readonly processName: string
  /** Requests a second that it takes from all entries together. */
  readonly perS: number
}

/** Limits of one time of holding the duty. */
export interface PermitKeeper {
  /** Since when the duty is held; before, another process may have leased. */
  readonly sinceMs: number
  readonly limits: Map<string, KeptLimit>
}

interface KeptLimit {
  perS?: number
  heardAtMs: number
  askedAtMs: number
  readonly bucket: TokenBucket
  /** Sends without a permit, of the window that is new. */
  sentBefore: number
  sentBeforeSinceMs: number
  /** Entries that asked in this second and in the one before. */
  entries: Set<string>
  formerEntries: Set<string>
  entriesSinceMs: number
}

/** Requests a second at least, of all entries: one that takes none is still asked whether it does. */
const LEAST_PER_S = 0.2

/** Permits that are free at once after a time without use: this many, and those of so long. */
const BURST_PERMITS = 2
const BURST_S = 0.2

/** Of a bucket whose limit is told with each use. */
const NO_BURST: BucketLimit = { unitsPerS: 0, burstUnits: 0 }

/** Permits of a limit that are free when the duty begins, so that it is heard of soon whether a small one still holds. */
const FIRST_PERMITS = 1

/** Permits of so long are leased at once, one at least, so that one entry does not take all. */
const LEASED_AT_ONCE_S = 0.2

/** Entries that were told to wait ask again within this, since others may not use what they wait for. */
const LONGEST_WAIT_MS = 2_000

/** Of the platform's bound: a window, its factor and what it allows beside. */
const WINDOW_MS = 4_000
const WINDOW_FACTOR = 1.5
const WINDOW_BESIDE = 5

/** Of the bound; counts of entries are not exact. */
const FAR_OVER = 1.5

/** Sends without a permit that need not be held back, beside those of two seconds: permits of a window leave room for them. */
const UNHELD_SENDS = 2
const UNHELD_S = 2

/** Entries are counted by spans of this. */
const ENTRIES_MS = 1_000

/** A limit that nobody asked for in this time is forgotten. */
const FORGOTTEN_MS = 60_000

const MS_PER_SECOND = 1_000

/**
 * Makes a keeper that has leased nothing.
 *
 * @param sinceMs - since when the duty is held
 * @returns the keeper
 */
export function createPermitKeeper (sinceMs: number): PermitKeeper {
  return { sinceMs, limits: new Map() }
}

/**
 * Leases permits to an entry, and takes what it tells of the replica.
 *
 * @param keeper - its limits are changed in place
 * @param ask - of the entry
 * @param nowMs - the time
 * @param share - of each limit that may be leased, from 0 to 1
 * @returns the permits
 */
export function leasePermits (keeper: PermitKeeper, ask: PermitAsk, nowMs: number, share = 1): PermitOutcome {
  const limit = limitOf(keeper, ask, nowMs)
  learnLimit(limit, ask, nowMs)
  noteEntry(limit, ask.entry, nowMs)
  const { perS } = limit
  const answer = { type: 'leased', perS, heardAgoMs: nowMs - limit.heardAtMs, entries: Math.max(limit.entries.size, limit.formerEntries.size) } as const
  if (perS === undefined) return { ...answer, permits: 0, nextInMs: 0 }
  const bounds = bucketLimitOf(perS * share)
  giveBackUnits(limit.bucket, bounds, ask.returned, nowMs)
  holdBack(limit, perS, ask.sentBefore, nowMs)
  return { ...answer, ...take(limit.bucket, bounds, ask.wanted, nowMs) }
}

/**
 * Lists the limits that replicas name now.
 *
 * @param keeper - that keeps them
 * @returns the limits
 */
export function namedLimits ({ limits }: PermitKeeper): NamedLimit[] {
  return [...limits].flatMap(([processName, { perS }]) => perS === undefined ? [] : [{ processName, perS }])
}

function take (bucket: TokenBucket, bounds: BucketLimit, wanted: number, nowMs: number): { readonly permits: number, readonly nextInMs: number } {
  if (wanted < 1) return { permits: 0, nextInMs: 0 }
  const first = takeUnits(bucket, bounds, 1, nowMs)
  const longestMs = Math.max(LONGEST_WAIT_MS, MS_PER_SECOND / bounds.unitsPerS)
  // Entries that were told a later time ask sooner: what was promised beyond does not keep others waiting.
  bucket.returnsUntilMs = Math.min(bucket.returnsUntilMs, nowMs + longestMs)
  if (first.type === 'refused') return { permits: 0, nextInMs: Math.min(first.retryAfterMs, longestMs) }
  const most = Math.max(1, Math.ceil(bounds.unitsPerS * LEASED_AT_ONCE_S))
  const further = Math.min(wanted - 1, most - 1, Math.floor(bucket.units))
  bucket.units -= Math.max(0, further)
  return { permits: 1 + Math.max(0, further), nextInMs: 0 }
}

function bucketLimitOf (perS: number): BucketLimit {
  return { unitsPerS: Math.max(LEAST_PER_S, perS), burstUnits: BURST_PERMITS + perS * BURST_S }
}

function limitOf ({ limits, sinceMs }: PermitKeeper, { processName }: PermitAsk, nowMs: number): KeptLimit {
  const known = limits.get(processName)
  // In the order of the last asks, so that those that nobody asks for are first.
  limits.delete(processName)
  forgetUnasked(limits, nowMs)
  const limit = known ?? {
    heardAtMs: -Infinity,
    askedAtMs: nowMs,
    // Nothing was leased of it since the duty began.
    bucket: { ...createBucket(NO_BURST, sinceMs), units: FIRST_PERMITS },
    sentBefore: 0,
    sentBeforeSinceMs: -Infinity,
    entries: new Set<string>(),
    formerEntries: new Set<string>(),
    entriesSinceMs: nowMs
  }
  limit.askedAtMs = nowMs
  limits.set(processName, limit)
  return limit
}

function forgetUnasked (limits: Map<string, KeptLimit>, nowMs: number): void {
  for (const [name, { askedAtMs }] of limits) {
    if (nowMs - askedAtMs < FORGOTTEN_MS) return
    limits.delete(name)
  }
}

// What was heard last counts, by whichever entry. One that loosens the limit was asked for
// after that: answers overtake each other.
function learnLimit (limit: KeptLimit, { heardAgoMs, perS, sentAgoMs }: PermitAsk, nowMs: number): void {
  const heardAtMs = nowMs - heardAgoMs
  const isLooser = (perS ?? Infinity) > (limit.perS ?? Infinity)
  if (heardAtMs <= limit.heardAtMs || (isLooser && nowMs - sentAgoMs <= limit.heardAtMs)) return
  limit.perS = perS
  limit.heardAtMs = heardAtMs
}

function noteEntry (limit: KeptLimit, entry: string, nowMs: number): void {
  if (nowMs - limit.entriesSinceMs >= ENTRIES_MS) {
    limit.formerEntries = nowMs - limit.entriesSinceMs < 2 * ENTRIES_MS ? limit.entries : new Set()
    limit.entries = new Set()
    limit.entriesSinceMs = nowMs
  }
  limit.entries.add(entry)
}

// A window that is far over its bound by these sends alone is so whatever is leased.
function holdBack (limit: KeptLimit, perS: number, sends: number, nowMs: number): void {
  if (nowMs - limit.sentBeforeSinceMs > WINDOW_MS) {
    limit.sentBefore = 0
    limit.sentBeforeSinceMs = nowMs
  }
  const former = heldBackOf(limit.sentBefore, perS)
  limit.sentBefore += sends
  limit.bucket.units -= heldBackOf(limit.sentBefore, perS) - former
}

function heldBackOf (sends: number, perS: number): number {
  if (sends > FAR_OVER * (WINDOW_FACTOR * perS * WINDOW_MS / MS_PER_SECOND + WINDOW_BESIDE)) return 0
  return Math.max(0, sends - UNHELD_S * perS - UNHELD_SENDS)
}
