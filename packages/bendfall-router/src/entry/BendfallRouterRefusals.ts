/**
 * What refusals tell of a service: when most runs are refused there, a prompt that is read
 * before its run is likely to be read in vain.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import { coverSends } from './BendfallRouterSend.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** Time after which an outcome counts half: replicas that refused take work again within seconds. */
const HALF_LIFE_MS = 2_000

/** Outcomes below which nothing is said. */
const LEAST_OUTCOMES = 3

/** Prompts that may be read in vain: more cost more than the requests that are served are worth. */
const LOST_SHARE = 0.2

/** Further runs of one request that are worth a promise. */
const MOST_RETRIES = 4

/** Outcomes of runs at a service, of late. */
export interface RunOutcomes {
  refused: number
  taken: number
  /** Time up to which they have faded. */
  atMs: number
}

/**
 * Notes whether a replica took a run or refused it.
 *
 * @param context - of the event
 * @param service - of the replica
 * @param outcome - what it did
 */
export function noteRun ({ nowMs, state }: RouterContext, service: string, outcome: 'refused' | 'taken'): void {
  const outcomes = fadedOutcomes(state.runOutcomes.get(service), nowMs)
  outcomes[outcome] += 1
  state.runOutcomes.set(service, outcomes)
}

function fadedOutcomes (known: RunOutcomes | undefined, nowMs: number): RunOutcomes {
  if (known === undefined) return { refused: 0, taken: 0, atMs: nowMs }
  const kept = 0.5 ** ((nowMs - known.atMs) / HALF_LIFE_MS)
  return { refused: known.refused * kept, taken: known.taken * kept, atMs: nowMs }
}

/**
 * Tells which share of runs a service refuses.
 *
 * @param context - of the event
 * @param service - name of the service
 * @returns 0 to 1; 0 while too little is known
 */
export function refusedShare ({ nowMs, state }: RouterContext, service: string): number {
  const { refused, taken } = fadedOutcomes(state.runOutcomes.get(service), nowMs)
  return refused + taken < LEAST_OUTCOMES ? 0 : refused / (refused + taken)
}

/**
 * Tells whether a prompt that is read now is likely to be used: the further runs that it
 * will need are promised, or none is needed.
 *
 * @param context - of the event
 * @param request - the request, with a prompt that nobody has read
 * @returns false when its run would most likely be refused
 */
export function coverRuns (context: RouterContext, request: RequestState): boolean {
  const share = refusedShare(context, request.service)
  if (share <= LOST_SHARE) return true
  const retries = retriesFor(share)
  return retries <= MOST_RETRIES && coverSends(context, request, 1 + retries)
}

// Further runs after which no more than the share of prompts that may be lost is left.
function retriesFor (refused: number): number {
  return refused >= 1 ? Infinity : Math.ceil(Math.log(LOST_SHARE) / Math.log(refused)) - 1
}
