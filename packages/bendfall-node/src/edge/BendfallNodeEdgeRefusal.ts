/**
 * Refusals as callers see them: status, headers and one JSON body.
 *
 * @module
 */
import type { Outcome, RefusalReason, RequestEnd, RequestId } from 'bendfall-core'

/** Outcome that a refusal may tell. */
export type RefusedOutcome = Extract<Outcome, 'not_run' | 'unknown'>

/** A request that gets no whole answer. */
export interface Refusal {
  readonly status: number
  readonly outcome: RefusedOutcome
  readonly reason: RefusalReason
  readonly message: string
  readonly requestId: RequestId
  /** When the caller may come back; 0 when coming back is of no use. */
  readonly retryAfterMs: number
}

/** Input that the edge refuses by itself; it never reaches the reducer. */
export interface BadInput {
  readonly status: number
  readonly reason: RefusalReason
  readonly message: string
  /** 0 or absent when coming back is of no use. */
  readonly retryAfterMs?: number
}

const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  bad_request: 400,
  caller_left: 499,
  capacity: 503,
  client_share: 429,
  config_invalid: 500,
  config_missing: 503,
  deadline: 504,
  draining: 503,
  duplicate_running: 409,
  home_moved: 503,
  key_conflict: 409,
  key_too_old: 409,
  lease_lapsed: 503,
  model_unknown: 404,
  no_upstream: 503,
  prefill_lost: 503,
  retry_budget: 503,
  route_unknown: 404,
  slow_reader: 503,
  transfer_stalled: 503,
  upstream_failed: 502,
  upstream_unreachable: 503
}

const TYPE_BY_STATUS: Readonly<Record<number, string>> = {
  400: 'invalid_request',
  404: 'not_found',
  405: 'method_not_allowed',
  408: 'request_timeout',
  409: 'conflict',
  413: 'body_too_large',
  429: 'rate_limited',
  431: 'headers_too_large',
  500: 'misconfigured',
  502: 'upstream_failed',
  503: 'unavailable',
  504: 'deadline_exceeded'
}

const UNAVAILABLE = 503
const BAD_GATEWAY = 502

/**
 * Makes the refusal of a request that the reducer ended without an answer.
 *
 * @param end - how the request ended
 * @returns the refusal; an end that proves nothing tells `unknown`
 */
export function refusalOfEnd (end: RequestEnd): Refusal {
  const { reason = 'upstream_failed', requestId, retryAfterMs } = end
  const outcome = end.outcome === 'not_run' ? 'not_run' : 'unknown'
  const message = end.detail === '' ? reason : end.detail
  return { status: statusOf(reason, outcome), outcome, reason, message, requestId, retryAfterMs }
}

/**
 * Makes the refusal of input that never reached the reducer.
 *
 * @param input - what is wrong
 * @param requestId - id under which the refusal can be found in the log
 * @returns the refusal, always `not_run`
 */
export function refusalOfInput (input: BadInput, requestId: RequestId): Refusal {
  const { message, reason, retryAfterMs = 0, status } = input
  return { status, outcome: 'not_run', reason, message, requestId, retryAfterMs }
}

/**
 * Formats the body of a refusal.
 *
 * @param refusal - the refusal
 * @returns JSON text
 */
export function formatRefusal (refusal: Refusal): string {
  const { message, outcome, reason, requestId, retryAfterMs, status } = refusal
  const type = TYPE_BY_STATUS[status] ?? 'refused'
  return JSON.stringify({ error: { type, outcome, reason, message, requestId, retryAfterMs } })
}

/**
 * Lists the headers that tell when to come back.
 *
 * @param refusal - the refusal
 * @returns `Retry-After` in whole seconds, rounded up, or nothing
 */
export function retryHeaders (refusal: Refusal): Readonly<Record<string, string>> {
  if (refusal.retryAfterMs <= 0) return {}
  return { 'retry-after': String(Math.ceil(refusal.retryAfterMs / 1000)) }
}

// Clients and balancers repeat a 503 by themselves; a request that may have
// run must not invite that.
function statusOf (reason: RefusalReason, outcome: RefusedOutcome): number {
  const status = STATUS_BY_REASON[reason]
  return outcome === 'unknown' && status === UNAVAILABLE ? BAD_GATEWAY : status
}
