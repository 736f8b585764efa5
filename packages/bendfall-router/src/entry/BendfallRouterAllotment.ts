/**
 * Has a request take units of its customer's allotment before anything is sent for it: once,
 * however often it is sent, and not at all if it never runs.
 *
 * It answers a customer that asks for more than is due: the rest is refused at once, before
 * it waits for a replica that others need.
 *
 * @module
 */
import type { AllotmentRole } from '../allotments/BendfallRouterAllotmentKeeper.js'
import type { Allotment, Prompt } from '../BendfallRouterTypes.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** Told to callers while no keeper answers: another one is chosen within a second or two. */
const UNKNOWN_RETRY_MS = 300

/** Told at least: a caller that comes back sooner meets the same second. */
const SHORTEST_RETRY_MS = 20

/** Keeper that is asked when one does not answer. */
const NEXT_ROLE: Readonly<Record<AllotmentRole, AllotmentRole | undefined>> = { primary: 'reserve', reserve: undefined }

/**
 * Tells how a request goes on that may run.
 *
 * @param request - the request
 * @returns the next step
 */
export function firstStep ({ prompt, route }: RequestState): NextStep {
  return { type: route.hasPrompt && prompt !== undefined ? 'queue' : 'plain' }
}

/**
 * Counts the units of a request.
 *
 * @param allotment - of its customer
 * @param prompt - as the caller declared it
 * @returns units
 */
export function unitsOf ({ undeclaredUnits, unit }: Allotment, prompt: Prompt | undefined): number {
  if (unit === 'requests') return 1
  return prompt === undefined ? undeclaredUnits : prompt.promptTokens + prompt.maxOutputTokens
}

/**
 * Asks the keeper of the allotments.
 *
 * @param context - of the event
 * @param request - the request
 * @returns the next step
 */
export function startAllotment ({ effects }: RouterContext, request: RequestState): NextStep {
  const { allotmentRole, customer, prompt } = request
  if (customer?.allotment === undefined) return firstStep(request)
  request.phase = 'allotment'
  request.attempt += 1
  effects.push({ type: 'take_units', key: request.key, attempt: request.attempt, role: allotmentRole, customer: customer.name, units: unitsOf(customer.allotment, prompt) })
  return undefined
}

/**
 * Takes the keeper's answer.
 *
 * @param context - of the event
 * @param request - the request
 * @param event - the answer
 * @returns the next step
 */
export function takeUnitsAnswer (context: RouterContext, request: RequestState, { customer, outcome, role, units }: RouterEventOf<'units_answered'>): NextStep {
  if (outcome.type === 'granted') {
    request.taken = { role, customer, units }
    return firstStep(request)
  }
  logDecision(context, request, 'units_refused', { customer, role, units, outcome: outcome.type })
  if (outcome.type === 'refused' && role === 'primary') return { type: 'refuse', status: 429, reason: 'allotment_spent', retryAfterMs: Math.max(SHORTEST_RETRY_MS, outcome.retryAfterMs) }
  const next = NEXT_ROLE[role]
  // What the reserve lacks may be due all the same.
  if (next === undefined) return { type: 'refuse', status: 503, reason: 'allotment_unknown', retryAfterMs: UNKNOWN_RETRY_MS }
  request.allotmentRole = next
  return { type: 'allotment' }
}

/**
 * Gives units back that were granted to a request which waits for them no longer.
 *
 * @param context - of the event
 * @param event - the answer
 */
export function giveBackOrphan ({ effects, state }: RouterContext, { attempt, customer, key, outcome, role, units }: RouterEventOf<'units_answered'>): void {
  const request = state.requests.get(key)
  if (outcome.type !== 'granted' || (request?.phase === 'allotment' && request.attempt === attempt)) return
  effects.push({ type: 'give_back_units', role, customer, units })
}

/**
 * Gives the units of a request back that never ran.
 *
 * @param context - of the event
 * @param request - the request, which ends
 */
export function leaveUnits ({ effects }: RouterContext, { runs, taken }: RequestState): void {
  if (taken !== undefined && runs === 0) effects.push({ type: 'give_back_units', ...taken })
}
