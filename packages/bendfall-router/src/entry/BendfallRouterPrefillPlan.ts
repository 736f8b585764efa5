/**
 * Foresees when a prompt will be read, and where.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import { draw } from './BendfallRouterContext.js'
import { knownReplicas } from './BendfallRouterLoads.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief } from './BendfallRouterState.js'

/** Where a prompt would be read and how long that takes from now. */
export interface PrefillPlan {
  readonly belief: ReplicaBelief
  readonly leadMs: number
}

/** Added to the lead of a replica in another availability zone than the decode replica, where a transfer takes twice as long and is dearer. */
const OTHER_ZONE_MS = 30

/** Time of a prefill besides reading tokens; the line through 323 prompts read alone meets zero tokens at 63 to 86 ms. */
export const PREFILL_CALL_MS = 75

/**
 * Plans the prefill of a request.
 *
 * @param context - of the event
 * @param request - the request, with a prompt
 * @param availabilityZone - zone of the decode replica, when it is chosen
 * @returns the plan, or undefined when no replica reads prompts
 */
export function planPrefill (context: RouterContext, request: RequestState, availabilityZone?: string): PrefillPlan | undefined {
  if (request.reading !== 'apart') return undefined
  const usable = knownReplicas(context, request, 'prefill')
  const start = Math.floor(draw(context.state) * usable.length)
  let best: PrefillPlan | undefined
  let bestMs = Infinity
  for (let i = 0; i < usable.length; i++) {
    const belief = usable[(start + i) % usable.length] as ReplicaBelief
    const leadMs = leadOf(context, request, belief)
    const costMs = leadMs + (availabilityZone === undefined || context.state.decisions.zones === 'any' || belief.replica.availabilityZone === availabilityZone ? 0 : OTHER_ZONE_MS)
    if (costMs >= bestMs || (best !== undefined && context.state.decisions.replica === 'random')) continue
    best = { belief, leadMs }
    bestMs = costMs
  }
  return best
}

/**
 * Time to read a prompt at a replica that has nothing else to do.
 *
 * @param context - of the event
 * @param request - the request, with a prompt
 * @param belief - about the replica
 * @returns milliseconds
 */
export function ownLeadMs ({ state }: RouterContext, request: RequestState, belief: ReplicaBelief): number {
  return ((request.prompt?.promptTokens ?? 0) * state.prefillMsPerToken + PREFILL_CALL_MS) * belief.prefillPace
}

function leadOf (context: RouterContext, request: RequestState, belief: ReplicaBelief): number {
  return ownLeadMs(context, request, belief) + backlogOf(belief) * context.state.prefillMsPerToken * belief.prefillPace
}

/**
 * Tokens of prompts that are known to be at a prefill replica.
 *
 * @param belief - about the replica
 * @returns tokens of this process and of others
 */
export function backlogOf ({ load, prefillSinceLoad, prefillTokens }: ReplicaBelief): number {
  return Math.max(prefillTokens, (load?.backlogTokens ?? 0) + prefillSinceLoad)
}
