/**
 * Budget of sends beyond the first of each request, so that retries never add more than a
 * share to the load of a service. Each entry keeps to its own share without waiting for the
 * others: in every window that slides, its extra sends stay within half the ratio of its
 * requests in that window and in the one before. Summed over entries that is the mean of what
 * both windows allow, and so never more than what the busier one allows.
 *
 * @module
 */

/** What an entry may spend. */
export interface BudgetLimits {
  /** Extra sends for each request. */
  readonly ratio: number
  /** Extra sends of a window that need no requests. */
  readonly reserve: number
  readonly windowMs: number
}

/** Limits where the platform tells none: a lone request may be retried. */
export const DEFAULT_BUDGET_LIMITS: BudgetLimits = { ratio: 0.2, reserve: 2, windowMs: 10_000 }

/** Parts of a window that are counted together. */
const BUCKETS = 20

/** A window, the one before it, and the bucket that a window begins in. */
const KEPT_BUCKETS = 2 * BUCKETS + 1

/** Counts of an entry for one service. */
export interface RetryBudget {
  readonly limits: BudgetLimits
  /** By number of the bucket, modulo the buckets that are kept. */
  readonly requests: number[]
  readonly extraSends: number[]
  /** Number of the newest bucket. */
  newest: number
  /** Extra sends that were promised to requests and not made yet. */
  promised: number
}

/**
 * Makes an unused budget.
 *
 * @param nowMs - the time
 * @param limits - what may be spent
 * @returns the budget
 */
export function createBudget (nowMs: number, limits: BudgetLimits = DEFAULT_BUDGET_LIMITS): RetryBudget {
  const zeros = (): number[] => Array.from({ length: KEPT_BUCKETS }, () => 0)
  return { limits, requests: zeros(), extraSends: zeros(), newest: bucketOf(limits, nowMs), promised: 0 }
}

/**
 * Counts a request of a caller, whether it is sent or not.
 *
 * @param budget - changed in place
 * @param nowMs - the time
 */
export function countRequest (budget: RetryBudget, nowMs: number): void {
  turn(budget, nowMs)
  budget.requests[placeOf(budget.newest)] += 1
}

/**
 * Promises extra sends, so that what is begun for them is not begun in vain.
 *
 * @param budget - changed in place when all are within it
 * @param nowMs - the time
 * @param count - extra sends
 * @returns whether all of them may be made
 */
export function promiseExtras (budget: RetryBudget, nowMs: number, count: number): boolean {
  if (spareExtras(budget, nowMs) < count) return false
  budget.promised += count
  return true
}

/**
 * Takes promises back that no send used.
 *
 * @param budget - changed in place
 * @param count - extra sends
 */
export function dropPromises (budget: RetryBudget, count: number): void {
  budget.promised -= count
}

/**
 * Makes a promised extra send. It counts from now: windows slide on while a request waits.
 *
 * @param budget - changed in place; the promise is used up in any case
 * @param nowMs - the time
 * @returns whether the send is still within the budget
 */
export function makeExtra (budget: RetryBudget, nowMs: number): boolean {
  turn(budget, nowMs)
  budget.promised -= 1
  if (roomLeft(budget) < 1) return false
  budget.extraSends[placeOf(budget.newest)] += 1
  return true
}

/**
 * Makes an extra send undone that turned out to be none, and promises it again.
 *
 * @param budget - changed in place
 * @param nowMs - the time
 * @param madeAtMs - when it was made
 */
export function undoExtra (budget: RetryBudget, nowMs: number, madeAtMs: number): void {
  turn(budget, nowMs)
  budget.promised += 1
  const bucket = bucketOf(budget.limits, madeAtMs)
  if (bucket > budget.newest - KEPT_BUCKETS) budget.extraSends[placeOf(bucket)] -= 1
}

/**
 * Tells what may still be promised.
 *
 * @param budget - its windows move on
 * @param nowMs - the time
 * @returns extra sends, not rounded; negative when the requests that allowed some are too old
 */
export function spareExtras (budget: RetryBudget, nowMs: number): number {
  turn(budget, nowMs)
  return roomLeft(budget) - budget.promised
}

// Least room of all windows that the newest bucket lies in, by the bucket that they begin in.
// Extra sends of that bucket count whole. Its requests lie in the window or in the one before;
// of that one's first bucket some may be too old, and none counts.
function roomLeft ({ extraSends, limits, newest, requests }: RetryBudget): number {
  let extras = 0
  let earning = 0
  for (let bucket = newest; bucket > newest - BUCKETS; bucket--) earning += requests[placeOf(bucket)]
  let least = Infinity
  for (let start = newest; start >= newest - BUCKETS; start--) {
    extras += extraSends[placeOf(start)]
    least = Math.min(least, limits.ratio * earning / 2 + limits.reserve - extras)
    earning += requests[placeOf(start - BUCKETS)]
  }
  return least
}

function turn (budget: RetryBudget, nowMs: number): void {
  const bucket = bucketOf(budget.limits, nowMs)
  const passed = Math.min(KEPT_BUCKETS, bucket - budget.newest)
  for (let i = 1; i <= passed; i++) {
    budget.requests[placeOf(bucket - passed + i)] = 0
    budget.extraSends[placeOf(bucket - passed + i)] = 0
  }
  budget.newest = Math.max(bucket, budget.newest)
}

function bucketOf ({ windowMs }: BudgetLimits, nowMs: number): number {
  return Math.floor(nowMs / (windowMs / BUCKETS))
}

function placeOf (bucket: number): number {
  return ((bucket % KEPT_BUCKETS) + KEPT_BUCKETS) % KEPT_BUCKETS
}
