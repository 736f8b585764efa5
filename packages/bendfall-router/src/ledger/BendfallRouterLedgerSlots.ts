/**
 * Prompts at one replica: those that a prefill replica has, and those that a
 * decode replica reads itself.
 *
 * @module
 */
import type { LedgerState, MemoryAsk, Waiting } from './BendfallRouterLedgerState.js'
import { isLate } from './BendfallRouterLedgerCrowd.js'

/**
 * Prompts that a prefill replica is given at once: two and a half of the users'
 * mean prompt. More wait in the ledger, where the order is by due time: in bursts
 * of a calm day four lay at each replica, 600 ms each, with their decode memory
 * booked and unused.
 */
const PREFILL_SLOT_TOKENS = 8_000

/**
 * Prompts that a decode replica reads itself at once. It reads them one after the
 * other, so that a second one only keeps memory that nobody uses yet.
 */
const IN_PLACE_TOKENS = 4_000

/** Time to read a prompt token with all that comes with a prompt: 140 ms for 3,200 tokens at a busy replica. */
const READ_MS_PER_TOKEN = 0.045

/**
 * Tells whether the replica reads prompts for others.
 *
 * @param state - of the ledger
 * @returns true for prefill replicas
 */
export function isPrefill ({ report }: LedgerState): boolean {
  return report?.stage === 'prefill'
}

/**
 * Tells whether a prefill replica may be given another prompt.
 *
 * @param state - of the ledger
 * @param ask - the prompt
 * @returns true when it has room for it, or nothing else to do
 */
export function hasSlot (state: LedgerState, { promptTokens }: MemoryAsk): boolean {
  return state.bookings.size === 0 || bookedTokens(state) + promptTokens <= PREFILL_SLOT_TOKENS
}

/**
 * Foresees when a prefill replica may be given another prompt behind those that wait.
 *
 * @param state - of the ledger
 * @returns milliseconds
 */
export function slotDelayMs (state: LedgerState): number {
  const waitingTokens = state.waiting.reduce((sum, { promptTokens }) => sum + promptTokens, 0)
  return Math.max(0, bookedTokens(state) + waitingTokens - PREFILL_SLOT_TOKENS) * READ_MS_PER_TOKEN
}

/**
 * Tokens of prompts that a new one finds before it.
 *
 * @param state - of the ledger
 * @param nowMs - the time
 * @returns tokens
 */
export function backlogTokens (state: LedgerState, nowMs: number): number {
  return isPrefill(state) ? bookedTokens(state) + aheadTokens(state.waiting, nowMs) : readingTokens(state)
}

/**
 * Tells whether a decode replica may begin to read a prompt itself.
 *
 * @param state - of the ledger
 * @param ask - the prompt
 * @returns true when it reads no other one, or both are short
 */
export function canRead (state: LedgerState, { promptTokens }: MemoryAsk): boolean {
  const underWayTokens = readingTokens(state)
  return underWayTokens === 0 || underWayTokens + promptTokens <= IN_PLACE_TOKENS
}

// A prompt is read when its request has made an event.
function readingTokens ({ bookings, lastRuns }: LedgerState): number {
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

// Late requests wait behind a new one.
function aheadTokens (waiting: readonly Waiting[], nowMs: number): number {
  return waiting.reduce((sum, ask) => isLate(ask, nowMs) ? sum : sum + ask.promptTokens, 0)
}
