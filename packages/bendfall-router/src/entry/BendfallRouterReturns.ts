/**
 * Time after which a caller that is refused for lack of capacity is to return. In a burst many callers
 * are refused within the same second with similar forecasts, and would return together into the next
 * shortage, so that their returns are spread: one after the other, at the entry's mean gap between grants.
 *
 * @module
 */
import type { RouterDecisions } from '../BendfallRouterDecisions.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { draw } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** Longest gap between two grants that counts: a longer one tells nothing about the pace under load. */
const MAX_GAP_MS = 4_000

/** Lower bound of the predicted time, so that a caller does not meet the same queue. */
const MIN_RETRY_MS = 400

/** Delay where the settings disable predicted times. */
const FIXED_RETRY_MS = 1_000

/** Largest spread, as a share of the predicted time. */
const SPREAD_SHARE = 0.5

/** Weight of the newest gap in the mean time between two grants. */
const GAP_WEIGHT = 0.1

/** Returns of the callers of one service that an entry has refused. */
export interface ReturnSchedule {
  lastGrantAtMs: number
  /** Mean time between two grants to this entry: its share of the capacity. */
  meanGapMs: number
  /** When the last of the refused callers is to return. */
  lastReturnAtMs: number
}

type Way = (context: RouterContext, service: string, predictedMs: number, maxMs: number) => number

const DELAY_STRATEGIES: Readonly<Record<RouterDecisions['retryAfter'], Way>> = {
  slots: nextSlotMs,
  spread: ({ state }, _service, predictedMs, maxMs) => Math.min(maxMs / (1 + SPREAD_SHARE), predictedMs) * (1 + SPREAD_SHARE * draw(state)),
  forecast: (_context, _service, predictedMs) => predictedMs,
  fixed: (_context, _service, _predictedMs, maxMs) => Math.min(maxMs, FIXED_RETRY_MS)
}

/**
 * Returns the delay after which a refused caller is to return.
 *
 * @param context - context of the current event
 * @param service - name of the schedule, by service or by customer
 * @param waitMs - predicted time until there is capacity, may be infinite
 * @param maxMs - longest delay that the caller honours
 * @returns milliseconds
 */
export function returnDelayMs (context: RouterContext, service: string, waitMs: number, maxMs: number): number {
  const predictedMs = Math.min(maxMs, Math.max(MIN_RETRY_MS, waitMs))
  return DELAY_STRATEGIES[context.state.decisions.retryAfter](context, service, predictedMs, maxMs)
}

/**
 * Records that memory was granted to a request, by which the share of this entry is known.
 *
 * @param context - context of the current event
 * @param service - name of the schedule, by service or by customer
 */
export function recordGrant ({ nowMs, state }: RouterContext, service: string): void {
  const schedule = scheduleOf(state.returns, service)
  const gapMs = Math.min(MAX_GAP_MS, nowMs - schedule.lastGrantAtMs)
  schedule.meanGapMs += GAP_WEIGHT * (gapMs - schedule.meanGapMs)
  schedule.lastGrantAtMs = nowMs
}

/**
 * Returns the schedule that a request's caller returns by: each customer has its own, so that the callers of
 * one that is refused often do not delay those of the others.
 *
 * @param context - context of the current event
 * @param request - request that was granted or refused
 * @returns name of the schedule; the service without a customer
 */
export function scheduleNameOf ({ state }: RouterContext, { customer, service }: RequestState): string {
  return customer === undefined || state.decisions.fairShares === 'none' ? service : `${service}/${customer.name}`
}

// One caller after the other, at the mean gap between grants. Beyond the upper bound they are spread over its second half.
function nextSlotMs ({ nowMs, state }: RouterContext, service: string, predictedMs: number, maxMs: number): number {
  const schedule = scheduleOf(state.returns, service)
  const returnAtMs = Math.max(nowMs + predictedMs, schedule.lastReturnAtMs + schedule.meanGapMs)
  if (returnAtMs > nowMs + maxMs) return maxMs * (1 - SPREAD_SHARE * draw(state))
  schedule.lastReturnAtMs = returnAtMs
  return returnAtMs - nowMs
}

function scheduleOf (schedules: Map<string, ReturnSchedule>, service: string): ReturnSchedule {
  const known = schedules.get(service) ?? { lastGrantAtMs: -Infinity, meanGapMs: 0, lastReturnAtMs: -Infinity }
  schedules.set(service, known)
  return known
}
