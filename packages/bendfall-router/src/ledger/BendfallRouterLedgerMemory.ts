/**
 * Memory of a replica as seen by its ledger: free now, and forecast.
 *
 * @module
 */
import type { Allocation, Forecast } from './BendfallRouterForecast.js'
import type { Booking, LedgerState, BookingRequest, ReportedRun } from './BendfallRouterLedgerState.js'
import { predictOutput } from './BendfallRouterOutputModel.js'

/** Duration of the growth of running requests for which memory is kept free. Of a dozen outputs of three seconds each, one ends within it. */
const GROWTH_HEADROOM_MS = 400

/** Share of the memory that is kept free for outputs longer than predicted. */
const RESERVED_MEMORY_SHARE = 0.03

/** Further output assumed for a run without a booking. */
const UNBOOKED_OUTPUT_TOKENS = 300

/**
 * Returns the memory that is free now and not booked. Memory that running requests will release is not
 * counted: their end is too uncertain to prefill a prompt for it. Of 640 prompts prefilled on
 * that expectation, 113 found the memory still occupied when their prefill result expired (calm day,
 * near full load).
 *
 * @param state - state of the ledger
 * @param nowMs - current time
 * @returns tokens; negative if more is booked than free
 */
export function freeTokens (state: LedgerState, nowMs: number): number {
  const { report } = state
  if (report === undefined) return 0
  const growthTokens = state.lastRuns.size * state.tokensPerMs * (nowMs - state.lastReportAtMs + GROWTH_HEADROOM_MS)
  let bookedTokens = 0
  for (const { promptTokens, requestId } of state.bookings.values()) {
    if (!state.lastRuns.has(requestId)) bookedTokens += promptTokens
  }
  return report.capacityTokens - report.usedTokens - bookedTokens - growthTokens
}

/**
 * Forecasts the memory of running and granted requests.
 *
 * @param state - state of the ledger
 * @param nowMs - current time
 * @returns the forecast
 */
export function forecastOf (state: LedgerState, nowMs: number): Forecast {
  const capacityTokens = Math.floor((state.report?.capacityTokens ?? 0) * (1 - RESERVED_MEMORY_SHARE))
  const bookings = [...state.bookings.values()]
  const byRequest = new Map(bookings.map((booking) => [booking.requestId, booking]))
  const runs = [...state.lastRuns.values()].map((run) => runAllocation(state, run, byRequest.get(run.requestId)))
  const granted = bookings
    .filter(({ requestId }) => !state.lastRuns.has(requestId))
    .map((booking) => toAllocation(state, booking, Math.max(nowMs - booking.leadMs, booking.grantedAtMs)))
  return { nowMs, capacityTokens, allocations: [...runs, ...granted] }
}

function runAllocation (state: LedgerState, run: ReportedRun, booking: Booking | undefined): Allocation {
  const endTokens = booking === undefined
    ? run.tokensInMemory + UNBOOKED_OUTPUT_TOKENS
    : booking.promptTokens + expectedOutputTokens(state, booking, run.tokensInMemory - booking.promptTokens)
  const endMs = state.lastReportAtMs + (endTokens - run.tokensInMemory) / state.tokensPerMs
  return { startMs: state.lastReportAtMs, endMs, startTokens: run.tokensInMemory, endTokens }
}

/**
 * Returns the memory of a request that does not run yet.
 *
 * @param state - state of the ledger
 * @param request - booking request or booking
 * @param fromMs - when its prompt starts to be prefilled
 * @returns its memory over time
 */
export function toAllocation (state: LedgerState, request: BookingRequest, fromMs: number): Allocation {
  const startMs = fromMs + request.leadMs
  const outputTokens = expectedOutputTokens(state, request, 0)
  return { startMs, endMs: startMs + outputTokens / state.tokensPerMs, startTokens: request.promptTokens, endTokens: request.promptTokens + outputTokens }
}

/**
 * Returns the expected output length of a request.
 *
 * @param state - state of the ledger
 * @param request - booking request or booking
 * @param generatedTokens - output generated so far
 * @returns total output in tokens
 */
export function expectedOutputTokens (state: LedgerState, request: BookingRequest, generatedTokens: number): number {
  if (state.decisions.outputs === 'hinted') return Math.max(generatedTokens, Math.min(request.hintTokens, request.maxOutputTokens))
  return predictOutput(state.output, request.hintTokens, request.maxOutputTokens, generatedTokens)
}
