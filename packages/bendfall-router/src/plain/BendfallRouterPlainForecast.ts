/**
 * Forecast that decides whether a call waits in the entry or is refused at once. Handles
 * calls that arrive faster than replicas accept them. A call waits if its answer is expected before
 * its deadline, and if those that wait already can still be served in time behind it.
 *
 * @module
 */
import type { ForecastError } from '../BendfallRouterForecastError.js'
import { earliestWaitMs, latestWaitMs } from '../BendfallRouterForecastError.js'
import { lateDelayMs } from '../BendfallRouterOnTimeLoad.js'
import { positionOf } from './BendfallRouterPlainOrder.js'
import type { WaitingCall } from './BendfallRouterPlainOrder.js'

/** Maximum number of calls that wait in an entry for one service; bounds the memory and the time for each event. */
export const MAX_WAITING = 1_000

/** Lower bound of `Retry-After`: a caller that returns sooner meets the same queue. */
const MIN_RETRY_MS = 50

/** Capacity of an entry at the replicas of a service. */
export interface PlainCapacity {
  /** Calls that its limits permit per millisecond. */
  readonly perMs: number
  /** Expected time until the next place is free. */
  readonly nextPlaceInMs: number
  /** Time that few responses exceed, and their mean time. */
  readonly responseMs: number
  readonly meanResponseMs: number
  /** Returns the rate at which calls arrive that go before a late one of a priority. */
  readonly onTimePerMs: (priority: number) => number
  /** Observed error of the waits that were forecast. */
  readonly error: ForecastError
}

/**
 * Returns how long a call is expected to wait for a place. Before a late one go those that arrive meanwhile and can meet
 * their targets.
 *
 * @param call - call that waits
 * @param capacity - capacity of the entry
 * @param ahead - calls that are served before
 * @returns milliseconds; infinite for a late call while the others need all places
 */
export function forecastWaitMs ({ isLate, priority }: WaitingCall, { nextPlaceInMs, onTimePerMs, perMs }: PlainCapacity, ahead: number): number {
  const waitMs = perMs > 0 ? nextPlaceInMs + ahead / perMs : Infinity
  return isLate ? lateDelayMs(waitMs, onTimePerMs(priority) / perMs) : waitMs
}

/**
 * Decides whether a call is likely to meet its latency target without making another one miss its own.
 *
 * @param call - call without a place, which is not late yet
 * @param waiting - calls that wait, in their order
 * @param capacity - capacity of the entry
 * @param nowMs - current time
 * @returns false if it is late
 */
export function isExpectedOnTime (call: WaitingCall, waiting: readonly WaitingCall[], capacity: PlainCapacity, nowMs: number): boolean {
  const ahead = positionOf(waiting, call)
  if (!meetsTarget(call, ahead, capacity, nowMs)) return false
  return !waiting.some((other, i) => i >= ahead && other.priority === call.priority && !other.isLate && meetsTarget(other, i, capacity, nowMs) && !meetsTarget(other, i + 1, capacity, nowMs))
}

function meetsTarget (call: WaitingCall, ahead: number, capacity: PlainCapacity, nowMs: number): boolean {
  return nowMs + latestWaitMs(capacity.error, forecastWaitMs(call, capacity, ahead)) + capacity.meanResponseMs <= call.targetAtMs
}

/**
 * Decides whether a call waits.
 *
 * @param call - call without a place
 * @param waiting - calls that wait, in their order
 * @param capacity - capacity of the entry
 * @param nowMs - current time
 * @returns false if it is refused at once
 */
export function canWait (call: WaitingCall, waiting: readonly WaitingCall[], capacity: PlainCapacity, nowMs: number): boolean {
  if (waiting.length >= MAX_WAITING) return false
  const ahead = positionOf(waiting, call)
  if (!isServedInTime(call, ahead, capacity, nowMs)) return false
  // A more urgent call may displace less urgent ones; any other one takes no place that was promised.
  return !waiting.some((other, i) => i >= ahead && other.priority === call.priority && other.isLate === call.isLate && isServedInTime(other, i, capacity, nowMs) && !isServedInTime(other, i + 1, capacity, nowMs))
}

function isServedInTime (call: WaitingCall, ahead: number, capacity: PlainCapacity, nowMs: number): boolean {
  return nowMs + latestWaitMs(capacity.error, forecastWaitMs(call, capacity, ahead)) + capacity.responseMs <= call.deadlineAtMs
}

/**
 * Returns when a waiting call is known to be out of time, if nothing changes until then.
 *
 * @param call - call that waits
 * @param ahead - calls that are served before
 * @param capacity - capacity of the entry
 * @returns the time; in the past if it can't be served before its deadline any more
 */
export function hopelessAtMs (call: WaitingCall, ahead: number, capacity: PlainCapacity): number {
  return call.deadlineAtMs - capacity.responseMs - earliestWaitMs(capacity.error, forecastWaitMs(call, capacity, ahead))
}

/**
 * Draws the `Retry-After` of a refused call. Callers that are refused together return spread from the
 * time at which a place is expected up to the end of what they honour.
 *
 * @param maxMs - longest delay that the caller honours
 * @param waitMs - expected wait for a place
 * @param unit - random number in [0, 1)
 * @returns milliseconds
 */
export function spreadRetryMs (maxMs: number, waitMs: number, unit: number): number {
  const firstMs = Math.min(Math.max(MIN_RETRY_MS, waitMs), maxMs / 2)
  return Math.round(firstMs + unit * (maxMs - firstMs))
}
