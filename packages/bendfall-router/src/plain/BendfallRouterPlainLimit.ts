/**
 * Concurrency limit of one entry at one plain replica. Handles more calls than a replica
 * runs and queues, sent by many entries that know nothing of each other. Only refusals of the replica
 * create a limit, since a short queue in the replica keeps it busy.
 *
 * A limit may be a fraction. Its whole part is a number of calls in flight. The rest is one further
 * place that is free again only some time after its use, so that it is used for that share of the
 * time. With 25 entries at one replica the share of an entry can be below one call.
 *
 * @module
 */

/** What one entry may have in flight at one replica. */
export interface PlainLimit {
  /** Calls in flight, may be a fraction. */
  calls: number
  /** Calls that it permitted at the last refusal. */
  refusedCalls: number
  /** When a refusal last lowered it; for a replica that came back, when it was first tried. */
  loweredAtMs: number
  /** Time up to which the rise is applied. */
  raisedAtMs: number
  /** When the fractional place may be used again. */
  fractionFreeAtMs: number
}

/** Share of the limit that remains after a refusal. */
const REMAINING_SHARE = 0.7

/** Lower bound: with the response times of a full replica, one call in one to two seconds. */
const MIN_CALLS = 0.05

/** Longest pause between two calls, so that a replica that serves again is noticed. */
const MAX_PAUSE_MS = 1_000

/** Rise per second while answers take no time at all; with 25 entries at a replica each learns from some ten answers a second, and a faster rise overshoots. */
const RISE_PER_S = 0.15

/** Upper bound of the fall per second while answers take long, which shortens the queue in the replica before it refuses calls. */
const MAX_FALL_PER_S = 0.2

/** Part of the rise that does not depend on the limit, in calls: it evens out the shares of the entries. */
const EVEN_CALLS = 0.1

/** Share of the calls in flight at the last refusal below which long answers do not lower a limit: the slots of a replica whose answers always take long stay in use. */
const SLOW_MIN_SHARE = 0.5

/** Time without a refusal in which that lower bound doubles, so that it rises as well where answers always take long. */
const SLOW_DOUBLING_MS = 10_000

/** Rise for a call that a replica without a queue answered, in calls: a replica that refuses nothing any more is used again within seconds. */
const MIN_QUICK_RISE_CALLS = 0.25
const MAX_QUICK_RISE_CALLS = 0.5

/**
 * Time for which an unused fractional place is kept. Calls arrive at an entry at random; without it, the places of the
 * entries that have no call at the moment are lost while others refuse calls: 25 entries at one replica and 1.1 times its
 * capacity used 0.95 of it. With 300 ms more calls arrive at the replica together, and it refuses more.
 */
const KEPT_PLACE_MS = 50

/** Time without a refusal after which a limit that keeps nothing waiting is dropped. */
const DROP_AFTER_MS = 10_000

/** Share of the limit at other replicas with which a replica that came back is tried. */
const FIRST_TRY_SHARE = 0.5

const MS_PER_SECOND = 1_000

/**
 * Lowers a limit after a refusal, or creates one.
 *
 * @param known - limit so far, changed in place; absent before the first refusal
 * @param inFlight - calls of the entry at the replica, with the refused one
 * @param sentAtMs - when the refused call was sent
 * @param nowMs - current time
 * @returns the limit
 */
export function lowerLimit (known: PlainLimit | undefined, inFlight: number, sentAtMs: number, nowMs: number): PlainLimit {
  const limit = known ?? { calls: Infinity, refusedCalls: Infinity, loweredAtMs: -Infinity, raisedAtMs: nowMs, fractionFreeAtMs: nowMs }
  // Calls that were sent before the last refusal say nothing about the limit since.
  if (sentAtMs < limit.loweredAtMs) return limit
  limit.refusedCalls = Math.min(limit.calls, Math.max(1, inFlight))
  limit.calls = Math.max(MIN_CALLS, REMAINING_SHARE * limit.refusedCalls)
  limit.loweredAtMs = nowMs
  limit.raisedAtMs = nowMs
  return limit
}

/**
 * Creates the limit of a replica that came back while others of its service refuse calls.
 *
 * @param others - limits of this entry at those
 * @param nowMs - current time
 * @returns the limit; undefined if no other replica has one
 */
export function createFirstLimit (others: readonly PlainLimit[], nowMs: number): PlainLimit | undefined {
  if (others.length === 0) return undefined
  const calls = Math.min(...others.map((one) => one.calls))
  return { calls: Math.max(MIN_CALLS, FIRST_TRY_SHARE * calls), refusedCalls: calls, loweredAtMs: nowMs, raisedAtMs: nowMs, fractionFreeAtMs: nowMs }
}

/**
 * Changes a limit for the time since its last change: raises it while answers are quick, and lowers it
 * while they take long.
 *
 * @param limit - changed in place
 * @param slowness - response time of the replica, as a multiple of the one from which it has a queue; 0 while that is not known
 * @param nowMs - current time
 */
export function advanceLimit (limit: PlainLimit, slowness: number, nowMs: number): void {
  const seconds = Math.min(1, (nowMs - limit.raisedAtMs) / MS_PER_SECOND)
  limit.raisedAtMs = nowMs
  const perS = Math.max(-MAX_FALL_PER_S, RISE_PER_S * (1 - slowness))
  const lowest = Math.max(MIN_CALLS, SLOW_MIN_SHARE * limit.refusedCalls * 2 ** ((nowMs - limit.loweredAtMs) / SLOW_DOUBLING_MS))
  limit.calls += perS > 0 ? perS * seconds * (limit.calls + EVEN_CALLS) : perS * seconds * limit.calls
  limit.calls = Math.max(lowest, limit.calls)
}
/**
 * Raises a limit for a call that a replica without a queue answered.
 *
 * @param limit - changed in place
 */
export function raiseForQuickAnswer (limit: PlainLimit): void {
  limit.calls += Math.min(MAX_QUICK_RISE_CALLS, Math.max(MIN_QUICK_RISE_CALLS, limit.calls))
}

/**
 * Checks whether a limit is no longer needed.
 *
 * @param limit - limit to check
 * @param inFlight - calls of the entry at the replica
 * @param nowMs - current time
 * @returns true if it was not lowered for long and is far above the calls in flight
 */
export function isLimitObsolete ({ calls, loweredAtMs }: PlainLimit, inFlight: number, nowMs: number): boolean {
  return nowMs - loweredAtMs > DROP_AFTER_MS && calls > 2 * inFlight + 2
}

/**
 * Returns when a limit permits the next call.
 *
 * @param limit - limit of the entry; absent if the replica refused none
 * @param inFlight - calls of the entry at the replica
 * @param nowMs - current time
 * @returns milliseconds; 0 if a call may be sent now, Infinity if one has to end first
 */
export function placeFreeInMs (limit: PlainLimit | undefined, inFlight: number, nowMs: number): number {
  if (limit === undefined || inFlight < Math.floor(limit.calls)) return 0
  if (inFlight >= Math.ceil(limit.calls)) return Infinity
  return Math.max(0, limit.fractionFreeAtMs - nowMs)
}

/**
 * Returns when a limit is expected to permit the next call, also while one has to end first.
 *
 * @param limit - limit of the entry; absent if the replica refused none
 * @param inFlight - calls of the entry at the replica
 * @param latencyMs - mean response time of the replica
 * @param nowMs - current time
 * @returns milliseconds
 */
export function nextPlaceInMs (limit: PlainLimit | undefined, inFlight: number, latencyMs: number, nowMs: number): number {
  if (limit === undefined) return 0
  const turnMs = latencyMs / limit.calls
  // Below one call, the pause after a call lasts longer than the call.
  const isPaused = inFlight < Math.ceil(limit.calls) || limit.calls < 1
  return isPaused ? Math.min(turnMs, Math.max(0, limit.fractionFreeAtMs - nowMs)) : turnMs
}

/**
 * Uses a place for a call that is sent now.
 *
 * @param limit - changed in place
 * @param inFlight - calls of the entry at the replica, without this one
 * @param latencyMs - mean response time of the replica
 * @param nowMs - current time
 */
export function usePlace (limit: PlainLimit, inFlight: number, latencyMs: number, nowMs: number): void {
  const whole = Math.floor(limit.calls)
  if (inFlight < whole) return
  limit.fractionFreeAtMs = Math.max(limit.fractionFreeAtMs, nowMs - KEPT_PLACE_MS) + Math.min(MAX_PAUSE_MS, latencyMs / Math.max(MIN_CALLS, limit.calls - whole))
}
