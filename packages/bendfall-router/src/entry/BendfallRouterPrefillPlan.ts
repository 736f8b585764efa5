/**
 * Chooses the prefill replica for a prompt and predicts when its prefill will be complete, from
 * the backlog of each replica and the learned prefill speed.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import { draw } from './BendfallRouterContext.js'
import { candidateReplicas } from './BendfallRouterLoads.js'
import { keepsResults } from './BendfallRouterPrefillResults.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'

/** Replica chosen for a prefill and the predicted time until the prefill is complete. */
export interface PrefillPlan {
  readonly view: ReplicaView
  readonly leadMs: number
}

/** Cost added for a replica in another availability zone than the decode replica: the transfer takes twice as long and shares the link between the zones. */
const CROSS_ZONE_COST_MS = 30

/** Fixed time of a prefill; a linear fit over 323 prompts processed one at a time has an intercept of 63 to 86 ms. */
export const PREFILL_OVERHEAD_MS = 75

/** Time in which half of what was learned about the speed of a replica is forgotten, so that one that was slow is tried again. */
const TIME_FACTOR_HALF_LIFE_MS = 10_000

/**
 * Chooses the replica with the lowest predicted cost for the prefill of a request.
 *
 * @param context - state, time and effects of the current event
 * @param request - request with a prompt
 * @param availabilityZone - zone of the decode replica, if that is chosen already
 * @returns the plan; undefined if no prefill replica is usable or the decode replica is to process the prompt
 */
export function planPrefill (context: RouterContext, request: RequestState, availabilityZone?: string): PrefillPlan | undefined {
  if (request.reading !== 'apart') return undefined
  const usable = candidateReplicas(context, request, 'prefill').filter((view) => keepsResults(view, context.nowMs))
  const start = Math.floor(draw(context.state) * usable.length)
  let best: PrefillPlan | undefined
  let bestMs = Infinity
  for (let i = 0; i < usable.length; i++) {
    const view = usable[(start + i) % usable.length] as ReplicaView
    const leadMs = predictLeadMs(context, request, view)
    const costMs = leadMs + (availabilityZone === undefined || context.state.decisions.zones === 'any' || view.replica.availabilityZone === availabilityZone ? 0 : CROSS_ZONE_COST_MS)
    if (costMs >= bestMs || (best !== undefined && context.state.decisions.replica === 'random')) continue
    best = { view, leadMs }
    bestMs = costMs
  }
  return best
}

/**
 * Predicts the duration of a prefill on an idle replica.
 *
 * @param context - state, time and effects of the current event
 * @param request - request with a prompt
 * @param view - replica that would process the prompt
 * @returns milliseconds
 */
export function idleLeadMs (context: RouterContext, request: RequestState, view: ReplicaView): number {
  return ((request.prompt?.promptTokens ?? 0) * context.state.prefillMsPerToken + PREFILL_OVERHEAD_MS) * currentTimeFactor(context, view)
}

/**
 * Returns the ratio of the actual to the predicted duration of a replica's prefills, as it counts now.
 *
 * @param context - state, time and effects of the current event
 * @param view - prefill replica
 * @returns the learned ratio, which approaches 1 with its age
 */
export function currentTimeFactor (context: RouterContext, view: ReplicaView): number {
  return 1 + timeFactorWeight(context, view) * (view.prefillTimeFactor - 1)
}

/**
 * Returns how much the learned ratio of a replica still counts.
 *
 * @param context - state, time and effects of the current event
 * @param view - prefill replica
 * @returns 1 for a new ratio, down to 0 for an old one
 */
export function timeFactorWeight ({ nowMs, state }: RouterContext, { prefillTimeFactorAtMs }: ReplicaView): number {
  return state.decisions.speeds === 'ignored' ? 1 : 0.5 ** (Math.max(0, nowMs - prefillTimeFactorAtMs) / TIME_FACTOR_HALF_LIFE_MS)
}

function predictLeadMs (context: RouterContext, request: RequestState, view: ReplicaView): number {
  return idleLeadMs(context, request, view) + backlogTokensOf(view) * context.state.prefillMsPerToken * currentTimeFactor(context, view)
}

/**
 * Returns the number of prompt tokens known to be queued or in progress at a replica.
 *
 * @param view - replica to inspect
 * @returns tokens sent by this process and by other entries
 */
export function backlogTokensOf ({ load, prefillTokensSinceLoad, prefillTokens }: ReplicaView): number {
  return Math.max(prefillTokens, (load?.backlogTokens ?? 0) + prefillTokensSinceLoad)
}
