/**
 * Chooses whether a prompt is prefilled on a prefill replica or in place on a decode replica. In
 * place it runs at half the speed, interleaved with the steps of other requests, but needs no KV
 * transfer. It slows those requests down, so it is used only when the wait for a prefill replica
 * would take longer.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import { candidateReplicas } from './BendfallRouterLoads.js'
import { backlogTokensOf, planPrefill } from './BendfallRouterPrefillPlan.js'
import type { PrefillPlacement, RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView, RouterState } from './BendfallRouterState.js'

/** Time from the send to a decode replica until the first event reaches the caller (transfer, first steps, network), measured on days without bursts. */
export const FIRST_EVENT_MS = 40

/** Weight of the newest prompt in the moving average of the in-place prefill speed. */
const SPEED_WEIGHT = 0.1

/**
 * Chooses where the prompt of a request is prefilled.
 *
 * @param context - state, time and effects of the current event
 * @param request - request with a prompt and without booked memory
 * @returns the placement with the earlier expected completion, as far as the settings allow a choice
 */
export function choosePrefillPlacement (context: RouterContext, request: RequestState): PrefillPlacement {
  const { decisions } = context.state
  const plan = planPrefill(context, request)
  if (plan === undefined) return 'in_place_only'
  if (decisions.read === 'in_place') return 'in_place_only'
  if (decisions.read === 'apart' || request.isInPlaceRefused) return 'apart'
  if (plan.leadMs <= inPlacePrefillMs(context.state, request)) return 'apart'
  return candidateReplicas(context, request, 'decode').some((view) => canPrefillNow(view, request)) ? 'in_place' : 'apart'
}

/**
 * Predicts the duration of an in-place prefill on a decode replica.
 *
 * @param state - state of the entry, which has the learned speed
 * @param request - request with the prompt; without a prompt the duration is 0
 * @returns milliseconds
 */
export function inPlacePrefillMs ({ inPlaceMsPerToken }: RouterState, { prompt }: RequestState): number {
  return (prompt?.promptTokens ?? 0) * inPlaceMsPerToken
}

/**
 * Checks whether a decode replica has memory for a prompt and no other prompt to process.
 *
 * @param view - decode replica to check
 * @param request - request with the prompt
 * @returns true if the replica can start the prefill at once
 */
export function canPrefillNow (view: ReplicaView, { prompt }: RequestState): boolean {
  const roomTokens = (view.load?.roomTokens[0] ?? 0) - view.bookedTokensSinceLoad
  return backlogTokensOf(view) === 0 && roomTokens >= (prompt?.promptTokens ?? 0)
}

/**
 * Updates the learned speed of in-place prefills from the first event of a response.
 *
 * @param state - state of the entry, changed in place
 * @param request - request whose response has started
 * @param tookMs - time from its send to the first event
 */
export function learnInPlaceSpeed (state: RouterState, request: RequestState, tookMs: number): void {
  const promptTokens = request.prompt?.promptTokens ?? 0
  if (promptTokens === 0 || request.reading === 'apart' || request.lastEventId !== undefined) return
  const msPerToken = Math.max(0, tookMs - FIRST_EVENT_MS) / promptTokens
  state.inPlaceMsPerToken += SPEED_WEIGHT * (msPerToken - state.inPlaceMsPerToken)
}
