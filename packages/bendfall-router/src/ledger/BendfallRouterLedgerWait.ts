/**
 * Whether a booking request can still be granted in the time that its caller has.
 *
 * @module
 */
import { earliestWaitMs, latestWaitMs } from '../BendfallRouterForecastError.js'
import type { LedgerState, PendingBooking } from './BendfallRouterLedgerState.js'

/**
 * Returns until when a grant is of use: later, the caller has given up before its response begins.
 *
 * @param pending - booking request that waits
 * @returns the time
 */
export function latestGrantAtMs ({ askedAtMs, maxWaitMs }: PendingBooking): number {
  return askedAtMs + maxWaitMs
}

/**
 * Checks whether a request is very likely to be granted in time.
 *
 * @param state - state of the ledger, which has the observed error of its forecasts
 * @param pending - booking request
 * @param delayMs - forecast delay of its grant
 * @param nowMs - current time
 * @returns false if it should not start to wait
 */
export function isGrantedInTime (state: LedgerState, pending: PendingBooking, delayMs: number, nowMs: number): boolean {
  return isGrantedBy(state, latestGrantAtMs(pending), delayMs, nowMs)
}

/**
 * Checks whether a request is very likely to be granted by a time.
 *
 * @param state - state of the ledger, which has the observed error of its forecasts
 * @param byMs - the time
 * @param delayMs - forecast delay of its grant
 * @param nowMs - current time
 * @returns false if it may take longer
 */
export function isGrantedBy ({ waitError }: LedgerState, byMs: number, delayMs: number, nowMs: number): boolean {
  return nowMs + latestWaitMs(waitError, delayMs) <= byMs
}

/**
 * Checks whether a request is very unlikely to be granted in time.
 *
 * @param state - state of the ledger, which has the observed error of its forecasts
 * @param pending - booking request that waits
 * @param delayMs - forecast delay of its grant
 * @param nowMs - current time
 * @returns true if it should not wait any longer
 */
export function isHopeless ({ waitError }: LedgerState, pending: PendingBooking, delayMs: number, nowMs: number): boolean {
  return nowMs + earliestWaitMs(waitError, delayMs) > latestGrantAtMs(pending)
}
