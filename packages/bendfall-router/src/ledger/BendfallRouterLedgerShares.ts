/**
 * Fair shares of customers within one priority. A customer that asks for many times its usual load would
 * fill the queue of a replica and take the capacity of the others. Requests of a customer that was lately
 * granted much more than its share therefore wait behind those of the others. This applies only while requests of
 * their priority lack capacity: loads of customers may differ at all times.
 *
 * @module
 */
import type { BookingRequest, LedgerState } from './BendfallRouterLedgerState.js'

/** Half-life of granted tokens: some 25 requests at a replica in a burst, enough to tell many from few. */
const HALF_LIFE_MS = 5_000

/** Multiple of its share up to which a customer is not put behind: loads of customers vary. With 2 and 8,000 tokens beyond, 520 instead of 560 of 576 streams of the others were on time beside a flood. */
const SHARE_SLACK = 1.5

/** Tokens beyond that, one and a half mean prompts: a customer's requests reach one replica rarely and in groups. */
const SLACK_TOKENS = 5_000

/** Share of the memory that requests beyond their customer's share leave free for those of the others: two of the larger prompts. Without it 484 of 576 streams of the others were on time. */
const HEADROOM_SHARE = 0.35

/** Time for which shares apply after a request of a customer lacked capacity: bursts last some seconds, and a replica gets a few requests a second. */
const CONTENTION_MS = 5_000

/** Tokens below which an account is dropped. */
const MIN_TOKENS = 100

/** Tokens lately granted to one customer. */
interface ShareAccount {
  readonly tokens: number
  /** Absent without an allotment: the customer counts as a mean one. */
  readonly weight?: number
}

/** Accounts of the customers that were lately granted memory or a slot, by the hash of their names. */
export interface LedgerShares {
  readonly accounts: Map<number, ShareAccount>
  /** Sum over the accounts, and the mean of the weights that are known. */
  totalTokens: number
  meanWeight: number
  /** Time up to which the decay is applied. */
  atMs: number
  /** When a request of a customer last lacked capacity, by priority. */
  readonly contendedAtMs: Map<number, number>
}

/** @returns no accounts */
export function createLedgerShares (): LedgerShares {
  return { accounts: new Map(), totalTokens: 0, meanWeight: 1, atMs: 0, contendedAtMs: new Map() }
}

/**
 * Records that a request was granted.
 *
 * @param state - changed in place
 * @param request - the booking request
 * @param nowMs - current time
 */
export function recordShare ({ shares }: LedgerState, { customerHash, customerWeight, promptTokens }: BookingRequest, nowMs: number): void {
  if (customerHash === undefined) return
  const remaining = remainingShare(shares, nowMs)
  shares.atMs = nowMs
  for (const [hash, account] of shares.accounts) {
    const tokens = account.tokens * remaining
    if (tokens < MIN_TOKENS) shares.accounts.delete(hash)
    else shares.accounts.set(hash, { ...account, tokens })
  }
  shares.accounts.set(customerHash, { tokens: (shares.accounts.get(customerHash)?.tokens ?? 0) + promptTokens, weight: customerWeight })
  const accounts = [...shares.accounts.values()]
  const weights = accounts.flatMap(({ weight }) => weight ?? [])
  shares.totalTokens = accounts.reduce((sum, { tokens }) => sum + tokens, 0)
  shares.meanWeight = weights.length === 0 ? 1 : weights.reduce((sum, weight) => sum + weight, 0) / weights.length
}

function remainingShare ({ atMs }: LedgerShares, nowMs: number): number {
  return 0.5 ** (Math.max(0, nowMs - atMs) / HALF_LIFE_MS)
}

/**
 * Records that a request can't be granted at once, so that shares apply to the requests of its priority from now on. Those of
 * customers within their share often don't ask a replica whose load tells that it is full.
 *
 * @param state - changed in place
 * @param request - the booking request
 * @param nowMs - current time
 */
export function recordContention (state: LedgerState, request: BookingRequest, nowMs: number): void {
  if (request.customerHash !== undefined) state.shares.contendedAtMs.set(request.priority, nowMs)
}

/**
 * Returns whether a request yields to those of other customers: its customer was lately granted much more than its
 * share while requests lack capacity.
 *
 * @param state - state of the ledger
 * @param request - the booking request
 * @param nowMs - current time
 * @returns false without a customer, and where only one was lately granted anything
 */
export function isOverShare (state: LedgerState, request: BookingRequest, nowMs: number): boolean {
  const contendedAtMs = state.shares.contendedAtMs.get(request.priority) ?? -Infinity
  return nowMs - contendedAtMs < CONTENTION_MS && exceedsShare(state, request, nowMs)
}

/**
 * Returns whether a request's customer was lately granted much more than its share.
 *
 * @param state - state of the ledger
 * @param request - the booking request
 * @param nowMs - current time
 * @returns false without a customer, and where only one was lately granted anything
 */
export function exceedsShare ({ decisions, shares }: LedgerState, { customerHash }: BookingRequest, nowMs: number): boolean {
  const account = customerHash === undefined ? undefined : shares.accounts.get(customerHash)
  if (account === undefined || decisions.fairShares === 'none' || shares.accounts.size === 1) return false
  const remaining = remainingShare(shares, nowMs)
  const share = (account.weight ?? shares.meanWeight) / (shares.meanWeight * shares.accounts.size)
  return account.tokens * remaining > SHARE_SLACK * shares.totalTokens * remaining * share + SLACK_TOKENS
}

/**
 * Returns the memory that a request leaves free for customers within their share. Streams run for seconds, so
 * that the others would wait for them although they go first.
 *
 * @param state - state of the ledger
 * @param request - the booking request
 * @param nowMs - current time
 * @returns tokens; 0 for customers within their share and for streams that are continued
 */
export function shareReserveTokens (state: LedgerState, request: BookingRequest, nowMs: number): number {
  return !request.isContinuation && isOverShare(state, request, nowMs) ? HEADROOM_SHARE * (state.report?.capacityTokens ?? 0) : 0
}
