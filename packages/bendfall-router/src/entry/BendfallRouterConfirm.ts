/**
 * Waits, with the prompt read, until the booked memory is free at the decode
 * replica: a request that is sent earlier is refused there and its prefill lost.
 *
 * @module
 */
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import { leaveReservation } from './BendfallRouterEnd.js'
import type { ConfirmOutcome } from './BendfallRouterEvents.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** Kept of the time for which the prefill's result lasts: the send and the transfer. */
const HANDLE_MARGIN_MS = 100

/**
 * Asks the ledger whether the memory is free.
 *
 * @param context - of the event
 * @param request - the request, with its prompt read
 * @returns the next step
 */
export function startConfirm (context: RouterContext, request: RequestState): NextStep {
  const belief = context.state.replicas.get(request.reservedAt ?? '')
  // Memory that the replica itself holds is free; its ledger, back meanwhile, knows no booking.
  const isBlind = context.state.decisions.confirm === 'none' || request.hold !== undefined || (belief?.ledgerDownUntilMs ?? Infinity) > context.nowMs
  if (isBlind || belief === undefined || request.handle === undefined || request.bookingId === undefined) return { type: 'run' }
  request.phase = 'confirm'
  request.attempt += 1
  context.effects.push({
    type: 'confirm',
    key: request.key,
    attempt: request.attempt,
    replicaId: belief.replica.replicaId,
    bookingId: request.bookingId,
    maxWaitMs: Math.max(0, request.handle.expiresAtMs - HANDLE_MARGIN_MS - context.nowMs)
  })
  return undefined
}

/**
 * Takes the ledger's answer.
 *
 * @param context - of the event
 * @param request - the request
 * @param outcome - the answer
 * @returns the next step
 */
export function takeConfirmAnswer (context: RouterContext, request: RequestState, outcome: ConfirmOutcome): NextStep {
  if (outcome !== 'occupied') return { type: 'run' }
  logDecision(context, request, 'memory_occupied', { replica: request.reservedAt })
  if (request.reservedAt !== undefined) request.excluded.add(request.reservedAt)
  leaveReservation(context, request)
  return { type: 'reserve' }
}
