/**
 * Context shared by the handlers of one event: the state, the time and the effects so far; and
 * helpers that need nothing else.
 *
 * @module
 */
import { drawUnit } from 'bendfall-core'
import { softwareOf } from './BendfallRouterAnsweringProcess.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView, RouterState } from './BendfallRouterState.js'
import type { DecisionInputs, EndReason, RouterEffect } from './BendfallRouterEffects.js'
import { createBudget } from './BendfallRouterBudget.js'
import type { RetryBudget } from './BendfallRouterBudget.js'

/** Context of one event. */
export interface RouterContext {
  readonly state: RouterState
  readonly nowMs: number
  /** Time since the previous event. */
  readonly sinceLastEventMs: number
  /** Time of day; undefined where it isn't known. */
  readonly unixMs?: number
  readonly effects: RouterEffect[]
}

/** Step that a request takes next; undefined while it waits for an event. */
export type NextStep =
  | { readonly type: 'origin' }
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

/** Starts a step of a request. */
export type StepStarter = (context: RouterContext, request: RequestState) => NextStep

/**
 * Logs a decision about a request.
 *
 * @param context - context of the current event
 * @param request - request that the decision is about
 * @param decision - name of the decision
 * @param inputs - values that the decision depended on
 */
export function logDecision (context: RouterContext, request: RequestState, decision: string, inputs: DecisionInputs = {}): void {
  const ageMs = Math.round(context.nowMs - request.arrivedAtMs)
  context.effects.push({ type: 'log', decision, requestId: request.requestId, inputs: { ageMs, ...inputs } })
}

/**
 * Draws a pseudorandom number in [0, 1) from the state's seed.
 *
 * @param state - its seed is advanced
 * @returns the number
 */
export function draw (state: RouterState): number {
  const { seed, value } = drawUnit(state.seed)
  state.seed = seed
  return value
}

/**
 * Returns the retry budget of a service, and creates it if there is none.
 *
 * @param context - context of the current event
 * @param service - name of the service
 * @returns the budget, which is changed in place by its functions
 */
export function budgetOf ({ nowMs, state }: RouterContext, service: string): RetryBudget {
  const known = state.budgets.get(service)
  if (known !== undefined) return known
  const created = createBudget(nowMs, state.budgetLimits)
  state.budgets.set(service, created)
  return created
}

/**
 * Returns the time until a request's deadline.
 *
 * @param context - context of the current event
 * @param request - request with a deadline
 * @returns milliseconds; 0 when the deadline has passed
 */
export function remainingMs ({ nowMs }: RouterContext, request: RequestState): number {
  return Math.max(0, request.deadlineAtMs - nowMs)
}

/**
 * Records that a request is sent to a replica to run there.
 *
 * @param context - context of the current event
 * @param request - request that is sent
 * @param view - view of the replica
 * @param phase - phase that the request is in from now on
 */
export function recordSent ({ nowMs }: RouterContext, request: RequestState, view: ReplicaView, phase: 'plain' | 'run'): void {
  const { startedAtMs, replicaId } = view.replica
  request.phase = phase
  request.attempt += 1
  request.runs += 1
  request.sends += 1
  request.runReplicaId = replicaId
  request.sentTo = { replicaId, startedAtMs, sentAtMs: nowMs }
  request.sentSoftware = softwareOf(view)
  request.runSentAtMs = nowMs
  request.answerStartedAtMs = undefined
  request.isAnsweredByFormer = undefined
  view.inFlight += 1
}

/**
 * Returns the age of this entry's data about registrations. A replica that left more recently is
 * not known to have left.
 *
 * @param context - context of the current event
 * @returns whole milliseconds; undefined before the first read
 */
export function registrationsAgeMs ({ nowMs, state }: RouterContext): number | undefined {
  return state.replicasCurrentAtMs === -Infinity ? undefined : Math.round(nowMs - state.replicasCurrentAtMs)
}
