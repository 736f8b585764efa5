/**
 * Memory of a replica as its ledger sees it: free now, and foreseen.
 *
 * @module
 */
import type { Forecast, Occupant } from './BendfallRouterForecast.js'
import type { Booking, LedgerState, MemoryAsk, ReportedRun } from './BendfallRouterLedgerState.js'
import { expectOutput } from './BendfallRouterOutputModel.js'

/** Growth of the running answers for which room is kept: within it one of a dozen answers of three seconds ends. */
const HEADROOM_MS = 400

/** Share of memory that is kept free for answers longer than expected. */
const MARGIN_SHARE = 0.03

/** Output that a run without a booking is given on top of what it has. */
const UNKNOWN_TOKENS = 300

/**
 * Memory that is free already and promised to nobody. When a running answer will
 * end is too uncertain to read a prompt for the memory that it will free: of 640
 * prompts read on such a promise 113 found the memory occupied when their result
 * lapsed, on a calm day near full load.
 *
 * @param state - of the ledger
 * @param nowMs - the time
 * @returns tokens; negative when more is promised than free
 */
export function freeTokens (state: LedgerState, nowMs: number): number {
  const { report } = state
  if (report === undefined) return 0
  const growth = state.lastRuns.size * state.tokensPerMs * (nowMs - state.lastReportAtMs + HEADROOM_MS)
  let promised = 0
  for (const { promptTokens, requestId } of state.bookings.values()) {
    if (!state.lastRuns.has(requestId)) promised += promptTokens
  }
  return report.capacityTokens - report.usedTokens - promised - growth
}

/**
 * Foresees the memory of what runs, was granted or waits.
 *
 * @param state - of the ledger
 * @param nowMs - the time
 * @returns the forecast
 */
export function forecastWithWaiting (state: LedgerState, nowMs: number): Forecast {
  const forecast = forecastOf(state, nowMs)
  return { ...forecast, occupants: [...forecast.occupants, ...state.waiting.map((ask) => toOccupant(state, ask, nowMs))] }
}

/**
 * Foresees the memory of what runs and of what was granted.
 *
 * @param state - of the ledger
 * @param nowMs - the time
 * @returns the forecast
 */
export function forecastOf (state: LedgerState, nowMs: number): Forecast {
  const capacityTokens = Math.floor((state.report?.capacityTokens ?? 0) * (1 - MARGIN_SHARE))
  const bookings = [...state.bookings.values()]
  const byRequest = new Map(bookings.map((booking) => [booking.requestId, booking]))
  const runs = [...state.lastRuns.values()].map((run) => runOccupant(state, run, byRequest.get(run.requestId)))
  const expected = bookings
    .filter(({ requestId }) => !state.lastRuns.has(requestId))
    .map((booking) => toOccupant(state, booking, Math.max(nowMs - booking.leadMs, booking.grantedAtMs)))
  return { nowMs, capacityTokens, occupants: [...runs, ...expected] }
}

function runOccupant (state: LedgerState, run: ReportedRun, booking: Booking | undefined): Occupant {
  const endTokens = booking === undefined
    ? run.tokensInMemory + UNKNOWN_TOKENS
    : booking.promptTokens + expectedOutput(state, booking, run.tokensInMemory - booking.promptTokens)
  const endMs = state.lastReportAtMs + (endTokens - run.tokensInMemory) / state.tokensPerMs
  return { startMs: state.lastReportAtMs, endMs, startTokens: run.tokensInMemory, endTokens }
}

/**
 * Memory of a request that does not run yet.
 *
 * @param state - of the ledger
 * @param ask - the request
 * @param fromMs - when its prompt begins to be read
 * @returns its memory over time
 */
export function toOccupant (state: LedgerState, ask: MemoryAsk, fromMs: number): Occupant {
  const startMs = fromMs + ask.leadMs
  const outputTokens = expectedOutput(state, ask, 0)
  return { startMs, endMs: startMs + outputTokens / state.tokensPerMs, startTokens: ask.promptTokens, endTokens: ask.promptTokens + outputTokens }
}

/**
 * Expects the length of an answer.
 *
 * @param state - of the ledger
 * @param ask - the request
 * @param madeTokens - made so far
 * @returns tokens in the end
 */
export function expectedOutput (state: LedgerState, ask: MemoryAsk, madeTokens: number): number {
  if (state.decisions.outputs === 'hinted') return Math.max(madeTokens, Math.min(ask.hintTokens, ask.maxOutputTokens))
  return expectOutput(state.output, ask.hintTokens, ask.maxOutputTokens, madeTokens)
}
