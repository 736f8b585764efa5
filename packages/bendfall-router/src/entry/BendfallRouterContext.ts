/**
 * What the handlers of one event share: state, time and the effects so far.
 *
 * @module
 */
import { drawUnit } from 'bendfall-core'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief, RouterState } from './BendfallRouterState.js'
import type { DecisionInputs, EndReason, RouterEffect } from './BendfallRouterEffects.js'
import { createBudget } from './BendfallRouterBudget.js'
import type { RetryBudget } from './BendfallRouterBudget.js'

/** Context of one event. */
export interface RouterContext {
  readonly state: RouterState
  readonly nowMs: number
  /** Time without an event before this one. */
  readonly sinceLastEventMs: number
  readonly effects: RouterEffect[]
}

/** Step that a request takes next; undefined: it waits for an event. */
export type NextStep =
  | { readonly type: 'allotment' }
  | { readonly type: 'plain' }
  | { readonly type: 'queue' }
  | { readonly type: 'reserve' }
  | { readonly type: 'prefill' }
  | { readonly type: 'confirm' }
  | { readonly type: 'run' }
  | { readonly type: 'refuse', readonly status: number, readonly reason: EndReason, readonly retryAfterMs?: number }
  | { readonly type: 'cut', readonly reason: EndReason }
  | undefined

/** Starts a step. */
export type StepStarter = (context: RouterContext, request: RequestState) => NextStep

/**
 * Logs a decision that touches a request.
 *
 * @param context - of the event
 * @param request - the request
 * @param decision - what was decided
 * @param inputs - what decided it
 */
export function logDecision (context: RouterContext, request: RequestState, decision: string, inputs: DecisionInputs = {}): void {
  const ageMs = Math.round(context.nowMs - request.arrivedAtMs)
  context.effects.push({ type: 'log', decision, requestId: request.requestId, inputs: { ageMs, ...inputs } })
}

/**
 * Draws a number in [0, 1) from the state's seed.
 *
 * @param state - its seed moves on
 * @returns the number
 */
export function draw (state: RouterState): number {
  const { seed, value } = drawUnit(state.seed)
  state.seed = seed
  return value
}

/**
 * Finds the retry budget of a service.
 *
 * @param context - of the event
 * @param service - name of the service
 * @returns the budget, made when there was none
 */
export function budgetOf ({ nowMs, state }: RouterContext, service: string): RetryBudget {
  const known = state.budgets.get(service)
  if (known !== undefined) return known
  const made = createBudget(nowMs, state.budgetLimits)
  state.budgets.set(service, made)
  return made
}

/**
 * Time that a request has left.
 *
 * @param context - of the event
 * @param request - the request
 * @returns milliseconds, 0 when the deadline has passed
 */
export function remainingMs ({ nowMs }: RouterContext, request: RequestState): number {
  return Math.max(0, request.deadlineAtMs - nowMs)
}

/**
 * Notes that a request is sent to a replica to run there.
 *
 * @param context - of the event
 * @param request - the request
 * @param belief - about the replica
 * @param phase - step that the request is in
 */
export function noteSent ({ nowMs }: RouterContext, request: RequestState, belief: ReplicaBelief, phase: 'plain' | 'run'): void {
  const { startedAtMs, replicaId } = belief.replica
  request.phase = phase
  request.attempt += 1
  request.runs += 1
  request.sends += 1
  request.runAt = replicaId
  request.sentTo = { replicaId, startedAtMs }
  request.runSentAtMs = nowMs
  request.answersSinceMs = undefined
  belief.inFlight += 1
}

/**
 * Age of what is known of the registrations: a replica that left since then is not
 * known to have left.
 *
 * @param context - of the event
 * @returns whole milliseconds; undefined before the first read
 */
export function registrationsAgeMs ({ nowMs, state }: RouterContext): number | undefined {
  return state.replicasCurrentAtMs === -Infinity ? undefined : Math.round(nowMs - state.replicasCurrentAtMs)
}
