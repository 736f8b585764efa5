/**
 * Budget of sends beyond the first of each request, so that retries never add
 * more than a share to the load of a service. Each entry keeps to its own
 * share, without waiting for the others.
 *
 * @module
 */

/** Counts of one window and the one before it. */
export interface RetryBudget {
  windowStartMs: number
  requests: number
  extraSends: number
  previousRequests: number
  previousExtraSends: number
}

/** What an entry may spend. */
export interface BudgetLimits {
  /** Extra sends for each request. */
  readonly ratio: number
  /** Extra sends of a window that need no requests. */
  readonly reserve: number
  readonly windowMs: number
}

/**
 * Extra sends of one entry: three quarters of the 0.2 that the deployments
 * allow, so that a window which slides over two of ours stays within it, and
 * two a window so that a lone request may be retried.
 */
export const ENTRY_BUDGET: BudgetLimits = { ratio: 0.15, reserve: 2, windowMs: 5_000 }

/**
 * Makes an unused budget.
 *
 * @param nowMs - the time
 * @returns the budget
 */
export function createBudget (nowMs: number): RetryBudget {
  return { windowStartMs: nowMs, requests: 0, extraSends: 0, previousRequests: 0, previousExtraSends: 0 }
}

/**
 * Counts a first send.
 *
 * @param budget - changed in place
 * @param nowMs - the time
 * @param limits - what may be spent
 */
export function countRequest (budget: RetryBudget, nowMs: number, limits: BudgetLimits = ENTRY_BUDGET): void {
  turnWindow(budget, nowMs, limits)
  budget.requests += 1
}

/**
 * Takes an extra send out of the budget.
 *
 * @param budget - changed in place when the send is within it
 * @param nowMs - the time
 * @param limits - what may be spent
 * @returns whether the send may be made
 */
export function spendExtra (budget: RetryBudget, nowMs: number, limits: BudgetLimits = ENTRY_BUDGET): boolean {
  turnWindow(budget, nowMs, limits)
  const allowed = limits.ratio * (budget.requests + budget.previousRequests) + limits.reserve
  if (budget.extraSends + budget.previousExtraSends + 1 > allowed) return false
  budget.extraSends += 1
  return true
}

function turnWindow (budget: RetryBudget, nowMs: number, { windowMs }: BudgetLimits): void {
  const elapsedWindows = Math.floor((nowMs - budget.windowStartMs) / windowMs)
  if (elapsedWindows <= 0) return
  budget.previousRequests = elapsedWindows === 1 ? budget.requests : 0
  budget.previousExtraSends = elapsedWindows === 1 ? budget.extraSends : 0
  budget.requests = 0
  budget.extraSends = 0
  budget.windowStartMs += elapsedWindows * windowMs
}
