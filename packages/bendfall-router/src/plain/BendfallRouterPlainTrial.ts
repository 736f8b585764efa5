/**
 * Limit of the calls that an entry has in flight at a plain replica which came back or lost a connection, until it has
 * answered some. Handles replicas that go down and come back in turns: each return took a burst of calls that were lost with
 * it, also such as may run only once. With one call of each of 25 entries at first, as many were lost as without a limit.
 *
 * @module
 */
import { placeFreeInMs } from './BendfallRouterPlainLimit.js'
import type { PlainLimit } from './BendfallRouterPlainLimit.js'

/** Calls in flight at first; 25 entries together send two at once. */
const FIRST_CALLS = 0.1

/** Calls from which the trial is over: more than an entry has in flight at one of three replicas in a burst. */
const LAST_CALLS = 16

/** Time over which the first calls of the entries, which all learn of the return at once, are spread. */
const FIRST_SPREAD_MS = 1_000

/**
 * Starts a trial.
 *
 * @param unit - random number in [0, 1)
 * @param nowMs - current time
 * @returns limit of the calls in flight
 */
export function startTrial (unit: number, nowMs: number): PlainLimit {
  return { calls: FIRST_CALLS, refusedCalls: Infinity, loweredAtMs: nowMs, raisedAtMs: nowMs, fractionFreeAtMs: nowMs + unit * FIRST_SPREAD_MS }
}

/**
 * Continues a trial after an answer of the replica: twice as many calls are permitted.
 *
 * @param trial - limit, changed in place; undefined without a trial
 * @returns the limit; undefined once the trial is over
 */
export function continueTrial (trial: PlainLimit | undefined): PlainLimit | undefined {
  if (trial === undefined || 2 * trial.calls > LAST_CALLS) return undefined
  trial.calls *= 2
  return trial
}

/**
 * Returns the replicas that a call may be sent to. Trials make no call wait: where all replicas have as many as their trials
 * permit, each may get more.
 *
 * @param views - replicas that have a place
 * @param nowMs - current time
 * @returns those whose trials permit a call, else all
 */
export function withinTrials<T extends { readonly inFlight: number, readonly trial?: PlainLimit }> (views: T[], nowMs: number): T[] {
  const within = views.filter(({ inFlight, trial }) => placeFreeInMs(trial, inFlight, nowMs) === 0)
  return within.length > 0 ? within : views
}
