/**
 * Tracks the share of runs that a service refuses. While most are refused, a prompt that is
 * prefilled before its run is likely to be wasted work.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import { reserveSends } from './BendfallRouterSend.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** Half-life of an outcome; replicas that refused accept work again within seconds. */
const HALF_LIFE_MS = 2_000

/** Decayed number of outcomes below which the refused share is reported as 0. */
const MIN_OUTCOMES = 3

/** Accepted probability that a prefill is wasted: it delays the prompts of the other callers. */
const MAX_WASTED_SHARE = 0.2

/** Maximum number of retries of one request for which retry budget is reserved. */
const MAX_RETRIES = 4

/** Exponentially decayed counts of run outcomes at a service. */
export interface RunOutcomes {
  refused: number
  taken: number
  /** Time up to which the decay is applied. */
  atMs: number
}

/**
 * Records whether a replica accepted a run or refused it.
 *
 * @param context - state, time and effects of the current event
 * @param service - name of the service that the replica belongs to
 * @param outcome - decision of the replica; `taken` if it accepted the run
 */
export function recordRunOutcome ({ nowMs, state }: RouterContext, service: string, outcome: 'refused' | 'taken'): void {
  const outcomes = decayedOutcomes(state.runOutcomes.get(service), nowMs)
  outcomes[outcome] += 1
  state.runOutcomes.set(service, outcomes)
}

function decayedOutcomes (known: RunOutcomes | undefined, nowMs: number): RunOutcomes {
  if (known === undefined) return { refused: 0, taken: 0, atMs: nowMs }
  const remaining = 0.5 ** ((nowMs - known.atMs) / HALF_LIFE_MS)
  return { refused: known.refused * remaining, taken: known.taken * remaining, atMs: nowMs }
}

/**
 * Returns the share of recent runs that a service refused.
 *
 * @param context - state, time and effects of the current event
 * @param service - name of the service
 * @returns share from 0 to 1; 0 while there are too few outcomes
 */
export function refusedShare ({ nowMs, state }: RouterContext, service: string): number {
  const { refused, taken } = decayedOutcomes(state.runOutcomes.get(service), nowMs)
  return refused + taken < MIN_OUTCOMES ? 0 : refused / (refused + taken)
}

/**
 * Reserves retry budget for the runs that a request is expected to need at the current refused
 * share, so that its prefill is unlikely to be wasted.
 *
 * @param context - state, time and effects of the current event
 * @param request - request whose prompt is not processed yet
 * @returns true if the budget is reserved or none is needed; false if the prefill would most likely be wasted
 */
export function reserveExpectedRuns (context: RouterContext, request: RequestState): boolean {
  const share = refusedShare(context, request.service)
  if (share <= MAX_WASTED_SHARE) return true
  const retries = retriesFor(share)
  return retries <= MAX_RETRIES && reserveSends(context, request, 1 + retries)
}

// Number of retries after which the probability that all runs are refused is at most the accepted share.
function retriesFor (refused: number): number {
  return refused >= 1 ? Infinity : Math.ceil(Math.log(MAX_WASTED_SHARE) / Math.log(refused)) - 1
}
