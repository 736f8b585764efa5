/**
 * Decides whether a request may be retried, by its kind, its remaining time and the retry budget.
 *
 * @module
 */
import { isSuspectedCause } from './BendfallRouterCrashes.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { remainingMs } from './BendfallRouterContext.js'
import type { SendFailure } from './BendfallRouterEvents.js'
import { FIRST_EVENT_MS } from './BendfallRouterPrefillPlacement.js'
import { reserveSends, countSendsOfNextAttempt } from './BendfallRouterSend.js'
import type { RequestState } from './BendfallRouterRequest.js'

/**
 * Maximum number of sends of one request to replicas, whatever their outcome; a bound against loops.
 * Calls to ledgers do not count: when they did, a request that had waited for a slot was never
 * retried, and its stream was never resumed.
 */
const MAX_SENDS = 5

/** Whether a kind of failure means that the request has certainly not run. */
const IS_NOT_RUN: Readonly<Record<SendFailure, boolean>> = { not_run: true, wrong_replica: true, not_sent: true, unknown: false, connection_lost: false }

/**
 * Checks whether a failed send has certainly not run.
 *
 * @param failure - how the send failed
 * @returns true if another replica may run the request, even one that is not idempotent
 */
export function hasNotRun (failure: SendFailure): boolean {
  return IS_NOT_RUN[failure]
}

/**
 * Checks whether a request may run more than once.
 *
 * @param request - request whose route decides
 * @returns true for idempotent calls and resumable streams
 */
export function mayRunAgain ({ route }: RequestState): boolean {
  return route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable)
}

/**
 * Decides whether to retry a request and reserves the retry budget for its sends.
 *
 * @param context - state, time and effects of the current event
 * @param request - request whose last send failed
 * @param failure - how that send failed
 * @returns true if the request is to be sent again; its sends are reserved then
 */
export function authorizeRetry (context: RouterContext, request: RequestState, failure: SendFailure): boolean {
  if (context.state.decisions.retries === 'none') return false
  if (request.sends >= MAX_SENDS || remainingMs(context, request) < shortestResponseMs(context, request)) return false
  if (!hasNotRun(failure) && (!mayRunAgain(request) || request.runs >= request.route.maxAttempts)) return false
  if (isSuspectedCause(context, request)) return false
  return reserveSends(context, request, countSendsOfNextAttempt(request))
}

// Time that a response takes at the fastest replica without a queue; what is left must suffice for it.
function shortestResponseMs ({ state }: RouterContext, { route, service }: RequestState): number {
  if (route.hasPrompt) return FIRST_EVENT_MS
  const latenciesMs = (state.usedByService.get(service) ?? []).map(({ idleLatencyMs }) => idleLatencyMs)
  return latenciesMs.length === 0 ? 0 : Math.min(...latenciesMs)
}
