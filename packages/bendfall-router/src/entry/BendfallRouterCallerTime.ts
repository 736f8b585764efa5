/**
 * Time that the caller of a request has, which bounds every wait of the request.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import { remainingMs } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** Share of the time that a caller has left for which it honours `Retry-After`. */
const MAX_RETRY_SHARE = 1 / 3

/** Smallest delay that `Retry-After` expresses with two decimals; 0 would send callers back into the same queue. */
const MIN_RETRY_MS = 10

/**
 * Returns the longest `Retry-After` that the caller of a request honours. Returns that are spread beyond it would
 * come together at its end.
 *
 * @param context - context of the current event
 * @param request - request that is refused
 * @returns milliseconds; 0 when the deadline has passed
 */
export function maxRetryMs (context: RouterContext, request: RequestState): number {
  return MAX_RETRY_SHARE * remainingMs(context, request)
}

/**
 * Limits a predicted delay to what its caller honours: one that is told more comes back sooner than it is told.
 *
 * @param callerMs - time that the caller has left; undefined if it named none
 * @param retryAfterMs - predicted delay; undefined for none
 * @returns milliseconds; the predicted delay for a caller without time, which does not come back in this request's time
 */
export function honouredRetryMs (callerMs: number | undefined, retryAfterMs: number | undefined): number | undefined {
  if (retryAfterMs === undefined || callerMs === undefined || callerMs <= 0) return retryAfterMs
  return Math.max(MIN_RETRY_MS, Math.min(retryAfterMs, MAX_RETRY_SHARE * callerMs))
}

/**
 * Returns when the caller gives up: at its deadline, or after the longest gap without an event of a stream.
 *
 * @param request - request of the caller
 * @returns the time; the gap of an interrupted stream counts from its last event
 */
export function callerTimeoutAtMs ({ arrivedAtMs, deadlineAtMs, interruptedAtMs, route }: RequestState): number {
  return route.kind === 'streaming' ? Math.min((interruptedAtMs ?? arrivedAtMs) + route.patienceMs, deadlineAtMs) : deadlineAtMs
}

/**
 * Returns when the response of a request is due by the latency target of its route, counted from the arrival of this
 * attempt: repeats are requests of their own.
 *
 * @param request - request of the caller
 * @returns the time
 */
export function targetAtMs ({ arrivedAtMs, route }: RequestState): number {
  return arrivedAtMs + route.targetLatencyMs
}

/**
 * Compares two requests that wait: by priority, then those that have not missed their latency targets, by target, then
 * the others, by the time that their callers have left.
 *
 * @param one - request that waits
 * @param other - request that waits
 * @param nowMs - current time
 * @returns negative if the first is served first
 */
export function compareWaiting (one: RequestState, other: RequestState, nowMs: number): number {
  const lateRank = (request: RequestState): number => targetAtMs(request) > nowMs ? 0 : 1
  const dueAtMs = (request: RequestState): number => lateRank(request) === 0 ? targetAtMs(request) : callerTimeoutAtMs(request)
  return one.priority - other.priority || lateRank(one) - lateRank(other) || dueAtMs(one) - dueAtMs(other)
}

/**
 * Compares two requests that wait by the order in which they are served once both have missed their latency targets.
 *
 * @param one - request that waits
 * @param other - request that waits
 * @returns negative if the first is served first
 */
export function compareLate (one: RequestState, other: RequestState): number {
  return one.priority - other.priority || callerTimeoutAtMs(one) - callerTimeoutAtMs(other)
}
