/**
 * Decides whether a request may be sent once more.
 *
 * @module
 */
import { isLikelyCause } from './BendfallRouterCrashes.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { remainingMs } from './BendfallRouterContext.js'
import type { SendFailure } from './BendfallRouterEvents.js'
import { coverSends, sendsOfNextTry } from './BendfallRouterSend.js'
import type { RequestState } from './BendfallRouterRequest.js'

/**
 * Sends of one request to replicas at most, whatever their outcome; a bound against
 * loops. Steps at ledgers are none: counted with them, a request that had waited for a
 * slot was never sent again, nor its stream resumed.
 */
const MAX_SENDS = 5

/** Least time worth another send: a tenth of the shortest target of the users' plain calls. */
const MIN_REMAINING_MS = 20

/** Whether the request has certainly not run, by failure. */
const IS_NOT_RUN: Readonly<Record<SendFailure, boolean>> = { not_run: true, wrong_replica: true, not_sent: true, unknown: false, connection_lost: false }

/**
 * Tells whether a failed send has certainly not run.
 *
 * @param failure - how the send failed
 * @returns true when another replica may run the request, whatever its kind
 */
export function hasNotRun (failure: SendFailure): boolean {
  return IS_NOT_RUN[failure]
}

/**
 * Tells whether a request may run more than once.
 *
 * @param request - the request
 * @returns true for idempotent calls and streams that may be resumed
 */
export function mayRunAgain ({ route }: RequestState): boolean {
  return route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable)
}

/**
 * Decides about another try and has its sends promised by the budget.
 *
 * @param context - of the event
 * @param request - the request
 * @param failure - how the last send failed
 * @returns whether to send again
 */
export function takeRetry (context: RouterContext, request: RequestState, failure: SendFailure): boolean {
  if (context.state.decisions.retries === 'none') return false
  if (request.sends >= MAX_SENDS || remainingMs(context, request) < MIN_REMAINING_MS) return false
  if (!hasNotRun(failure) && (!mayRunAgain(request) || request.runs >= request.route.maxAttempts)) return false
  if (isLikelyCause(context, request)) return false
  return coverSends(context, request, sendsOfNextTry(request))
}
