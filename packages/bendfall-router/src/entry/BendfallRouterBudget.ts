/**
 * Retry budget: limits all sends beyond the first of each request, so that retries never add more
 * than a fixed share to the load of a service. Each entry enforces its own share without
 * coordination: in every sliding window, its extra sends stay within half the ratio of its requests
 * in that window and in the one before. Summed over all entries this is the mean of what both
 * windows allow, and therefore never more than what the busier one allows.
 *
 * @module
 */

/** Limits on the extra sends of one entry. */
export interface BudgetLimits {
  /** Extra sends allowed per request. */
  readonly ratio: number
  /** Extra sends allowed per window regardless of the number of requests. */
  readonly reserve: number
  readonly windowMs: number
}

/** Limits used when the platform sets none: a single request may be retried. */
export const DEFAULT_BUDGET_LIMITS: BudgetLimits = { ratio: 0.2, reserve: 2, windowMs: 10_000 }

/** Buckets that a window is divided into. */
const BUCKETS_PER_WINDOW = 20

/** Two full windows, and the bucket that a window begins in. */
const KEPT_BUCKETS = 2 * BUCKETS_PER_WINDOW + 1

/** Requests and extra sends of an entry for one service. */
export interface RetryBudget {
  readonly limits: BudgetLimits
  /** Indexed by bucket number modulo the number of kept buckets. */
  readonly requests: number[]
  readonly extraSends: number[]
  /** Number of the newest bucket. */
  newestBucket: number
  /** Extra sends that are reserved for requests and not sent yet. */
  reservedSends: number
}

/**
 * Creates an unused budget.
 *
 * @param nowMs - current time
 * @param limits - limits to enforce
 * @returns the budget
 */
export function createBudget (nowMs: number, limits: BudgetLimits = DEFAULT_BUDGET_LIMITS): RetryBudget {
  const zeros = (): number[] => Array.from({ length: KEPT_BUCKETS }, () => 0)
  return { limits, requests: zeros(), extraSends: zeros(), newestBucket: bucketOf(limits, nowMs), reservedSends: 0 }
}

/**
 * Counts a caller's request, whether it is sent or not.
 *
 * @param budget - changed in place
 * @param nowMs - current time
 */
export function countRequest (budget: RetryBudget, nowMs: number): void {
  advanceWindow(budget, nowMs)
  budget.requests[indexOfBucket(budget.newestBucket)] += 1
}

/**
 * Reserves extra sends, so that work is started only if the sends that it leads to are allowed.
 *
 * @param budget - changed in place if all of them fit
 * @param nowMs - current time
 * @param count - number of extra sends
 * @returns whether all of them were reserved
 */
export function reserveExtraSends (budget: RetryBudget, nowMs: number, count: number): boolean {
  if (availableExtraSends(budget, nowMs) < count) return false
  budget.reservedSends += count
  return true
}

/**
 * Cancels reservations that were not used.
 *
 * @param budget - changed in place
 * @param count - number of extra sends
 */
export function cancelReservedSends (budget: RetryBudget, count: number): void {
  budget.reservedSends -= count
}

/**
 * Spends a reserved extra send. It is checked and counted at this time, since the windows advance
 * while a request waits.
 *
 * @param budget - changed in place; the reservation is used up in any case
 * @param nowMs - current time
 * @returns whether the send is still within the budget
 */
export function spendExtraSend (budget: RetryBudget, nowMs: number): boolean {
  advanceWindow(budget, nowMs)
  budget.reservedSends -= 1
  if (remainingExtraSends(budget) < 1) return false
  budget.extraSends[indexOfBucket(budget.newestBucket)] += 1
  return true
}

/**
 * Refunds an extra send that did not count after all, and reserves it again.
 *
 * @param budget - changed in place
 * @param nowMs - current time
 * @param sentAtMs - when it was spent
 */
export function refundExtraSend (budget: RetryBudget, nowMs: number, sentAtMs: number): void {
  advanceWindow(budget, nowMs)
  budget.reservedSends += 1
  const bucket = bucketOf(budget.limits, sentAtMs)
  if (bucket > budget.newestBucket - KEPT_BUCKETS) budget.extraSends[indexOfBucket(bucket)] -= 1
}

/**
 * Returns how many extra sends may still be reserved.
 *
 * @param budget - its windows are advanced to the current time
 * @param nowMs - current time
 * @returns extra sends, not rounded; negative when the requests that allowed some have left the windows
 */
export function availableExtraSends (budget: RetryBudget, nowMs: number): number {
  advanceWindow(budget, nowMs)
  return remainingExtraSends(budget) - budget.reservedSends
}

// Minimum over all windows that contain the newest bucket, by the bucket in which they begin. All extra sends of that
// first bucket count. Its requests are in the window or in the one before; some requests of the first bucket of the
// window before may be too old, so none of them count.
function remainingExtraSends ({ extraSends, limits, newestBucket, requests }: RetryBudget): number {
  let extras = 0
  let requestCount = 0
  for (let bucket = newestBucket; bucket > newestBucket - BUCKETS_PER_WINDOW; bucket--) requestCount += requests[indexOfBucket(bucket)]
  let remaining = Infinity
  for (let start = newestBucket; start >= newestBucket - BUCKETS_PER_WINDOW; start--) {
    extras += extraSends[indexOfBucket(start)]
    remaining = Math.min(remaining, limits.ratio * requestCount / 2 + limits.reserve - extras)
    requestCount += requests[indexOfBucket(start - BUCKETS_PER_WINDOW)]
  }
  return remaining
}

function advanceWindow (budget: RetryBudget, nowMs: number): void {
  const bucket = bucketOf(budget.limits, nowMs)
  const passed = Math.min(KEPT_BUCKETS, bucket - budget.newestBucket)
  for (let i = 1; i <= passed; i++) {
    budget.requests[indexOfBucket(bucket - passed + i)] = 0
    budget.extraSends[indexOfBucket(bucket - passed + i)] = 0
  }
  budget.newestBucket = Math.max(bucket, budget.newestBucket)
}

function bucketOf ({ windowMs }: BudgetLimits, nowMs: number): number {
  return Math.floor(nowMs / (windowMs / BUCKETS_PER_WINDOW))
}

function indexOfBucket (bucket: number): number {
  return ((bucket % KEPT_BUCKETS) + KEPT_BUCKETS) % KEPT_BUCKETS
}
