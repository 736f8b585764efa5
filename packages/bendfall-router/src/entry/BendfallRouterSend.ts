/**
 * The one place through which requests are sent to replicas. Each send that arrives counts,
 * also one that is refused there; all but the first of a request are extra, and paid before
 * they are made. Only the first call that has the prompt read is free.
 *
 * @module
 */
import { dropPromises, makeExtra, promiseExtras, spareExtras, undoExtra } from './BendfallRouterBudget.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { budgetOf, logDecision } from './BendfallRouterContext.js'
import type { DecisionInputs, RouterEffectOf } from './BendfallRouterEffects.js'
import type { SendFailure } from './BendfallRouterEvents.js'
import { isOpen } from './BendfallRouterNotice.js'
import { usePermitOf } from './BendfallRouterPermits.js'
import { noteRecentSend } from './BendfallRouterRecentSends.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief } from './BendfallRouterState.js'

/** Told to callers for whose request no further send may be paid. */
const UNPAID_RETRY_MS = 1_000

/** What the sends of a request were paid from. */
export interface SendAccount {
  /** Sends that arrived or may have, without the free one. */
  counted: number
  /** Extra sends that the budget has promised. */
  promised: number
  /** Whether a replica has read the prompt, so that another call for it counts. */
  hasFreeRead: boolean
  /** When the last send was paid from the budget; absent when it was the first one. */
  extraMadeAtMs?: number
}

/** @returns the account of a request that was not sent yet */
export function createAccount (): SendAccount {
  return { counted: 0, promised: 0, hasFreeRead: false }
}

/** How a send was paid: as the first of its request, or from the budget. */
export type Payment = 'first' | 'budget'

/** Why a send must not be made: nothing is left to pay it with, or its replica takes none. */
export type Unsent = 'unpaid' | 'closed'

/**
 * Has the next sends of a request promised before the first of them is made.
 *
 * @param context - of the event
 * @param request - the request
 * @param sends - how many of them count
 * @returns whether all may be made
 */
export function coverSends (context: RouterContext, request: RequestState, sends: number): boolean {
  const { account } = request
  const isFirstFree = account.counted === 0
  const missing = sends - (isFirstFree ? 1 : 0) - account.promised
  if (missing <= 0) return true
  const budget = budgetOf(context, request.service)
  if (!promiseExtras(budget, context.nowMs, missing)) {
    logDecision(context, request, 'retry_budget_spent', { service: request.service, missing, retriesLeft: Math.floor(spareExtras(budget, context.nowMs)) })
    return false
  }
  account.promised += missing
  return true
}

/**
 * Counts the sends of the next try of a request.
 *
 * @param request - the request
 * @returns one for the run, and one for another call that reads the prompt
 */
export function sendsOfNextTry ({ account, handle, prompt, reading, route }: RequestState): number {
  const readsApart = route.hasPrompt && prompt !== undefined && handle === undefined && reading === 'apart'
  return readsApart && account.hasFreeRead ? 2 : 1
}

/**
 * Sends a prompt to be read.
 *
 * @param context - of the event
 * @param request - the request
 * @param payment - of this send
 * @param effect - the send
 * @param inputs - what decided it
 */
export function sendPrefill (context: RouterContext, request: RequestState, payment: Payment, effect: Omit<RouterEffectOf<'send_prefill'>, 'type' | 'customer'>, inputs: DecisionInputs): void {
  logDecision(context, request, 'prefill_sent', { ...inputs, ...paymentInputs(context, request, payment) })
  context.effects.push({ type: 'send_prefill', ...effect, customer: request.customer?.name })
}

/**
 * Sends a request to run.
 *
 * @param context - of the event
 * @param request - the request
 * @param payment - of this send
 * @param effect - the send
 * @param inputs - what decided it
 */
export function sendRun (context: RouterContext, request: RequestState, payment: Payment, effect: Omit<RouterEffectOf<'send_run'>, 'type' | 'customer'>, inputs: DecisionInputs): void {
  logDecision(context, request, 'sent', { ...inputs, ...paymentInputs(context, request, payment) })
  context.effects.push({ type: 'send_run', ...effect, customer: request.customer?.name })
}

function paymentInputs (context: RouterContext, { service }: RequestState, payment: Payment): DecisionInputs {
  return payment === 'first' ? {} : { paidFrom: payment, retriesLeft: Math.floor(spareExtras(budgetOf(context, service), context.nowMs)) }
}

/**
 * Pays for a send, just before it is made. A replica that leaves or backs off is sent
 * nothing, whatever was booked there before it said so, and one that names a limit no more
 * than permits were leased for.
 *
 * @param context - of the event
 * @param request - the request
 * @param belief - about the replica
 * @returns how it was paid, or why it must not be made
 */
export function paySend (context: RouterContext, request: RequestState, belief: ReplicaBelief): Payment | Unsent {
  if (!isOpen(context, belief)) return 'closed'
  if (request.account.counted > 0 && !coverSends(context, request, 1)) return 'unpaid'
  if (!usePermitOf(context, request, belief)) return 'closed'
  const payment = payFromBudget(context, request)
  if (payment !== 'unpaid') noteRecentSend(belief.recentSends, context.nowMs)
  return payment
}

function payFromBudget (context: RouterContext, request: RequestState): Payment | 'unpaid' {
  const { account } = request
  account.extraMadeAtMs = undefined
  if (account.counted === 0) {
    account.counted = 1
    return 'first'
  }
  account.promised -= 1
  if (!makeExtra(budgetOf(context, request.service), context.nowMs)) {
    logDecision(context, request, 'retry_budget_spent', { service: request.service, missing: 1 })
    return 'unpaid'
  }
  account.counted += 1
  account.extraMadeAtMs = context.nowMs
  return 'budget'
}

/**
 * Ends a request for whose next send the budget does not suffice.
 *
 * @param request - the request
 * @returns the next step
 */
export function refuseUnpaid (request: RequestState): NextStep {
  if (request.isCommitted) return { type: 'cut', reason: 'budget' }
  if (request.runs > 0) return { type: 'refuse', status: 502, reason: 'replica_failed' }
  return { type: 'refuse', status: 503, reason: 'budget', retryAfterMs: UNPAID_RETRY_MS }
}

/**
 * Notes that a replica has read the prompt: the first such call is free.
 *
 * @param context - of the event
 * @param request - the request
 */
export function noteRead (context: RouterContext, request: RequestState): void {
  if (request.account.hasFreeRead) return
  request.account.hasFreeRead = true
  takeBack(context, request)
}

/**
 * Notes how a send failed: one that did not arrive is not counted.
 *
 * @param context - of the event
 * @param request - the request
 * @param failure - how the last send failed
 */
export function noteSendFailed (context: RouterContext, request: RequestState, failure: SendFailure): void {
  if (failure === 'not_sent') takeBack(context, request)
}

function takeBack (context: RouterContext, request: RequestState): void {
  const { account } = request
  account.counted -= 1
  if (account.extraMadeAtMs === undefined) return
  undoExtra(budgetOf(context, request.service), context.nowMs, account.extraMadeAtMs)
  account.extraMadeAtMs = undefined
  account.promised += 1
}

/**
 * Gives back what was promised to a request that ends.
 *
 * @param context - of the event
 * @param request - the request
 */
export function leavePromises (context: RouterContext, request: RequestState): void {
  if (request.account.promised === 0) return
  dropPromises(budgetOf(context, request.service), request.account.promised)
  request.account.promised = 0
}
