/**
 * Sends all requests to replicas and charges them to the retry budget. Each send that arrives
 * counts, even if the replica refuses it. All but the first of a request are extra sends, which are
 * charged before they are made. Only the first prefill call of a request is free.
 *
 * @module
 */
import { cancelReservedSends, spendExtraSend, reserveExtraSends, availableExtraSends, refundExtraSend } from './BendfallRouterBudget.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { budgetOf, logDecision } from './BendfallRouterContext.js'
import type { DecisionInputs, RouterEffectOf } from './BendfallRouterEffects.js'
import type { SendFailure } from './BendfallRouterEvents.js'
import { isAcceptingRequests } from './BendfallRouterNotice.js'
import { useRunPermit } from './BendfallRouterPermits.js'
import { recordRecentSend } from './BendfallRouterRecentSends.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'
import { urgencyOf } from './BendfallRouterUrgency.js'

/** `Retry-After` when the retry budget is exhausted. */
const BUDGET_RETRY_MS = 1_000

/** Account of the sends of one request that count against the retry budget. */
export interface SendAccount {
  /** Sends that arrived or may have arrived, except the free one. */
  countedSends: number
  /** Extra sends reserved in the retry budget. */
  reservedSends: number
  /** Whether the free prefill is used up, so that another prefill call counts. */
  isFreePrefillUsed: boolean
  /** When the last send was charged to the budget; absent if it was the first one. */
  extraSentAtMs?: number
}

/** @returns account of a request that has not been sent yet */
export function createAccount (): SendAccount {
  return { countedSends: 0, reservedSends: 0, isFreePrefillUsed: false }
}

/** What a send is charged to: nothing, as the first of its request, or the retry budget. */
export type SendCharge = 'first' | 'budget'

/** Why a send must not be made: the budget is exhausted, or its replica accepts no sends. */
export type SendRejection = 'unpaid' | 'closed'

/**
 * Reserves retry budget for the next sends of a request before the first of them is made.
 *
 * @param context - state, time and effects of the current event
 * @param request - request to be sent
 * @param sends - number of sends that count against the budget
 * @returns true if all are reserved; false if the budget does not suffice
 */
export function reserveSends (context: RouterContext, request: RequestState, sends: number): boolean {
  const { account } = request
  const isFirstFree = account.countedSends === 0
  const missing = sends - (isFirstFree ? 1 : 0) - account.reservedSends
  if (missing <= 0) return true
  const budget = budgetOf(context, request.service)
  if (!reserveExtraSends(budget, context.nowMs, missing)) {
    logDecision(context, request, 'retry_budget_spent', { service: request.service, missing, retriesLeft: Math.floor(availableExtraSends(budget, context.nowMs)) })
    return false
  }
  account.reservedSends += missing
  return true
}

/**
 * Counts the chargeable sends of the next attempt of a request.
 *
 * @param request - request to be retried
 * @returns one for the run, plus one for a repeated prefill
 */
export function countSendsOfNextAttempt ({ account, handle, prompt, reading, route }: RequestState): number {
  const usesPrefillPool = route.hasPrompt && prompt !== undefined && handle === undefined && reading === 'apart'
  return usesPrefillPool && account.isFreePrefillUsed ? 2 : 1
}

/**
 * Sends the prompt of a request to a prefill replica.
 *
 * @param context - state, time and effects of the current event
 * @param request - request with the prompt
 * @param charge - what the send is charged to, for the log
 * @param effect - parameters of the send
 * @param inputs - inputs of the decision, for the log
 */
export function sendPrefill (context: RouterContext, request: RequestState, charge: SendCharge, effect: Omit<RouterEffectOf<'send_prefill'>, 'type' | 'customer' | 'urgency'>, inputs: DecisionInputs): void {
  logDecision(context, request, 'prefill_sent', { ...inputs, ...chargeInputs(context, request, charge) })
  context.effects.push({ type: 'send_prefill', ...effect, customer: request.customer?.name, urgency: urgencyToSend(context, request) })
}

/**
 * Sends a request to a replica that runs it.
 *
 * @param context - state, time and effects of the current event
 * @param request - request to run
 * @param charge - what the send is charged to, for the log
 * @param effect - parameters of the send
 * @param inputs - inputs of the decision, for the log
 */
export function sendRun (context: RouterContext, request: RequestState, charge: SendCharge, effect: Omit<RouterEffectOf<'send_run'>, 'type' | 'customer' | 'urgency'>, inputs: DecisionInputs): void {
  logDecision(context, request, 'sent', { ...inputs, ...chargeInputs(context, request, charge) })
  context.effects.push({ type: 'send_run', ...effect, customer: request.customer?.name, urgency: urgencyToSend(context, request) })
}

function urgencyToSend ({ state: { decisions, prioritizedServices } }: RouterContext, { priority, service }: RequestState): number | undefined {
  return decisions.urgency === 'sent' && prioritizedServices.has(service) ? urgencyOf(priority) : undefined
}

function chargeInputs (context: RouterContext, { service }: RequestState, charge: SendCharge): DecisionInputs {
  return charge === 'first' ? {} : { paidFrom: charge, retriesLeft: Math.floor(availableExtraSends(budgetOf(context, service), context.nowMs)) }
}

/**
 * Charges a send just before it is made. Blocks sends to a replica that is leaving or asks for
 * backoff, even if memory was booked there before, and sends beyond the leased permits of a replica
 * with a rate limit.
 *
 * @param context - state, time and effects of the current event
 * @param request - request to send
 * @param view - replica that the send goes to
 * @returns what the send is charged to, or why it must not be made
 */
export function chargeSend (context: RouterContext, request: RequestState, view: ReplicaView): SendCharge | SendRejection {
  if (!isAcceptingRequests(context, view)) return 'closed'
  if (request.account.countedSends > 0 && !reserveSends(context, request, 1)) return 'unpaid'
  if (!useRunPermit(context, request, view)) return 'closed'
  const charge = chargeBudget(context, request)
  if (charge !== 'unpaid') recordRecentSend(view.recentSends, context.nowMs)
  return charge
}

function chargeBudget (context: RouterContext, request: RequestState): SendCharge | 'unpaid' {
  const { account } = request
  account.extraSentAtMs = undefined
  if (account.countedSends === 0) {
    account.countedSends = 1
    return 'first'
  }
  account.reservedSends -= 1
  if (!spendExtraSend(budgetOf(context, request.service), context.nowMs)) {
    logDecision(context, request, 'retry_budget_spent', { service: request.service, missing: 1 })
    return 'unpaid'
  }
  account.countedSends += 1
  account.extraSentAtMs = context.nowMs
  return 'budget'
}

/**
 * Refuses a request whose next send exceeds the retry budget.
 *
 * @param request - request to refuse; a response that has started is cut instead
 * @returns the next step
 */
export function refuseOverBudget (request: RequestState): NextStep {
  if (request.isCommitted) return { type: 'cut', reason: 'budget' }
  if (request.runs > 0) return { type: 'refuse', status: 502, reason: 'replica_failed' }
  return { type: 'refuse', status: 503, reason: 'budget', retryAfterMs: BUDGET_RETRY_MS }
}

/**
 * Records that a prefill call was processed. Refunds the first one of a request, which is free.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that the prefill belongs to
 */
export function recordPrefillProcessed (context: RouterContext, request: RequestState): void {
  if (request.account.isFreePrefillUsed) return
  request.account.isFreePrefillUsed = true
  refundSend(context, request)
}

/**
 * Records a failed send. Refunds it if it did not reach the replica.
 *
 * @param context - state, time and effects of the current event
 * @param request - request whose send failed
 * @param failure - how the send failed
 */
export function recordSendFailure (context: RouterContext, request: RequestState, failure: SendFailure): void {
  if (failure === 'not_sent') refundSend(context, request)
}

function refundSend (context: RouterContext, request: RequestState): void {
  const { account } = request
  account.countedSends -= 1
  if (account.extraSentAtMs === undefined) return
  refundExtraSend(budgetOf(context, request.service), context.nowMs, account.extraSentAtMs)
  account.extraSentAtMs = undefined
  account.reservedSends += 1
}

/**
 * Returns the reserved sends of a request that ends to the retry budget.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that ends
 */
export function releaseReservedSends (context: RouterContext, request: RequestState): void {
  if (request.account.reservedSends === 0) return
  cancelReservedSends(budgetOf(context, request.service), request.account.reservedSends)
  request.account.reservedSends = 0
}
