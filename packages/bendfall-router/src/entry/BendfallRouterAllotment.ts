/**
 * Takes units from the allotment of a request's customer before the request is sent anywhere:
 * once, however often it is sent, and returns them if it never runs.
 *
 * A customer that exceeds its allotment is refused immediately, before its request waits for a
 * replica that other customers need.
 *
 * @module
 */
import type { AllotmentRole, UnitsOutcome } from '../allotments/BendfallRouterAllotmentLeader.js'
import type { RouterDecisions } from '../BendfallRouterDecisions.js'
import type { Allotment, Prompt } from '../BendfallRouterTypes.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** Retry-After when no allotment leader answers: a new one is elected within one to two seconds. */
const UNKNOWN_RETRY_AFTER_MS = 300

/** Minimum Retry-After: a caller that retries sooner still falls into the same second. */
const MIN_RETRY_AFTER_MS = 20

/** Role that is asked next when the one with the given role does not answer or can't tell. */
const FALLBACK_ROLES: Readonly<Record<RouterDecisions['allotmentInterim'], Readonly<Record<AllotmentRole, AllotmentRole | undefined>>>> = {
  granted: { primary: 'reserve', reserve: 'interim', interim: undefined },
  none: { primary: 'reserve', reserve: undefined, interim: undefined }
}

/**
 * Returns the first step of a request after its units were granted, or if it needs none.
 *
 * @param request - the admitted request
 * @returns `queue` for a prompt on a route that takes prompts, otherwise `plain`
 */
export function firstStep ({ prompt, route }: RequestState): NextStep {
  return { type: route.hasPrompt && prompt !== undefined ? 'queue' : 'plain' }
}

/**
 * Returns how many units a request costs.
 *
 * @param allotment - allotment of the request's customer; defines the unit
 * @param prompt - prompt as declared by the caller
 * @returns 1 where requests are counted; otherwise the declared prompt and output tokens, or the
 *   allotment's default when the caller declared none
 */
export function countUnits ({ undeclaredUnits, unit }: Allotment, prompt: Prompt | undefined): number {
  if (unit === 'requests') return 1
  return prompt === undefined ? undeclaredUnits : prompt.promptTokens + prompt.maxOutputTokens
}

/**
 * Requests units from the leader that manages the customer's allotment.
 *
 * @param context - context of the current event
 * @param request - request that needs units
 * @returns the first step if the customer has no allotment; undefined while waiting for the leader
 */
export function startAllotment ({ effects }: RouterContext, request: RequestState): NextStep {
  const { allotmentRole, customer, prompt } = request
  if (customer?.allotment === undefined) return firstStep(request)
  request.phase = 'allotment'
  request.attempt += 1
  effects.push({ type: 'take_units', key: request.key, attempt: request.attempt, role: allotmentRole, customer: customer.name, units: countUnits(customer.allotment, prompt) })
  return undefined
}

/**
 * Handles the leader's answer to a request for units.
 *
 * @param context - context of the current event
 * @param request - request that waits for the units
 * @param event - outcome, with the customer, the leader's role and the number of units
 * @returns the first step, another attempt at the next role, or a refusal
 */
export function handleUnitsAnswer (context: RouterContext, request: RequestState, { customer, outcome, role, units }: RouterEventOf<'units_answered'>): NextStep {
  if (outcome.type === 'granted') {
    request.taken = { role, customer, units, ...termOf(outcome) }
    return firstStep(request)
  }
  logDecision(context, request, 'units_refused', { customer, role, units, outcome: outcome.type })
  if (outcome.type === 'refused' && role === 'primary') return { type: 'refuse', status: 429, reason: 'allotment_spent', retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, outcome.retryAfterMs) }
  const next = FALLBACK_ROLES[context.state.decisions.allotmentInterim][request.allotmentRole]
  // A refusal by another role is no proof that the allotment is spent: hence 503, not 429.
  if (next === undefined) return { type: 'refuse', status: 503, reason: 'allotment_unknown', retryAfterMs: UNKNOWN_RETRY_AFTER_MS }
  request.allotmentRole = next
  return { type: 'allotment' }
}

/**
 * Returns units that were granted to a request which no longer waits for them.
 *
 * @param context - context of the current event
 * @param event - the leader's answer
 */
export function returnOrphanedUnits ({ effects, state }: RouterContext, { attempt, customer, key, outcome, role, units }: RouterEventOf<'units_answered'>): void {
  const request = state.requests.get(key)
  if (outcome.type !== 'granted' || (request?.phase === 'allotment' && request.attempt === attempt)) return
  effects.push({ type: 'give_back_units', role, customer, units, ...termOf(outcome) })
}

function termOf ({ term }: Extract<UnitsOutcome, { readonly type: 'granted' }>): { readonly term?: string } {
  return term === undefined ? {} : { term }
}

/**
 * Returns the units of a request that never ran.
 *
 * @param context - context of the current event
 * @param request - request that is ending
 */
export function returnUnusedUnits ({ effects }: RouterContext, { runs, taken }: RequestState): void {
  if (taken !== undefined && runs === 0) effects.push({ type: 'give_back_units', ...taken })
}
