/**
 * Prompts at one replica: those assigned to a prefill replica, and those that a decode replica
 * prefills itself.
 *
 * @module
 */
import type { LedgerState, BookingRequest, PendingBooking } from './BendfallRouterLedgerState.js'

/**
 * Prompt tokens assigned to a prefill replica at a time, so that it always has a next prompt. Further
 * prompts wait in the ledger, which orders them by when they are due. In bursts of a calm
 * day, four prompts waited at each replica for 600 ms each while their decode memory was booked
 * and unused.
 */
const MAX_PREFILL_SLOT_TOKENS = 8_000

/**
 * Prompt tokens that a decode replica prefills itself at a time. It processes prompts one after
 * the other, so that a second one only holds memory that is not used yet.
 */
const MAX_IN_PLACE_TOKENS = 4_000

/** Estimated time to prefill one prompt token, including the overhead of a prompt; the observed error of the forecasts corrects it. */
const PREFILL_MS_PER_TOKEN = 0.045

/**
 * Returns whether the replica prefills prompts for decode replicas.
 *
 * @param state - state of the ledger
 * @returns true for prefill replicas
 */
export function isPrefill ({ report }: LedgerState): boolean {
  return report?.stage === 'prefill'
}

/**
 * Returns whether a prefill replica may be assigned another prompt.
 *
 * @param state - state of the ledger
 * @param request - booking request of the prompt
 * @returns true if the prompt fits the limit, or nothing else is booked
 */
export function hasSlot (state: LedgerState, { promptTokens }: BookingRequest): boolean {
  return state.bookings.size === 0 || bookedTokens(state) + promptTokens <= MAX_PREFILL_SLOT_TOKENS
}

/**
 * Forecasts when a prefill replica may be assigned another prompt after some that wait.
 *
 * @param state - state of the ledger
 * @param waiting - the waiting requests that count
 * @returns delay in milliseconds
 */
export function slotDelayMs (state: LedgerState, waiting: readonly PendingBooking[]): number {
  return Math.max(0, bookedTokens(state) + waitingTokens(waiting) - MAX_PREFILL_SLOT_TOKENS) * PREFILL_MS_PER_TOKEN
}

/**
 * Returns the prompt tokens that would be processed before those of a new prompt.
 *
 * @param state - state of the ledger
 * @returns tokens
 */
export function backlogTokens (state: LedgerState): number {
  return isPrefill(state) ? bookedTokens(state) + waitingTokens(state.waiting) : prefillingTokens(state)
}

/**
 * Returns whether a decode replica may start to prefill a prompt itself.
 *
 * @param state - state of the ledger
 * @param request - booking request of the prompt
 * @returns true if it prefills no other prompt, or both are short
 */
export function canPrefill (state: LedgerState, { promptTokens }: BookingRequest): boolean {
  const activeTokens = prefillingTokens(state)
  return activeTokens === 0 || activeTokens + promptTokens <= MAX_IN_PLACE_TOKENS
}

// The prefill of a prompt is complete when its request has produced an event.
function prefillingTokens ({ bookings, lastRuns }: LedgerState): number {
  let tokens = 0
  for (const { promptTokens, readsInPlace, requestId } of bookings.values()) {
    if (readsInPlace && (lastRuns.get(requestId)?.eventsMade ?? 0) === 0) tokens += promptTokens
  }
  return tokens
}

function bookedTokens ({ bookings }: LedgerState): number {
  let tokens = 0
  for (const { promptTokens } of bookings.values()) tokens += promptTokens
  return tokens
}

function waitingTokens (waiting: readonly PendingBooking[]): number {
  return waiting.reduce((sum, { promptTokens }) => sum + promptTokens, 0)
}
