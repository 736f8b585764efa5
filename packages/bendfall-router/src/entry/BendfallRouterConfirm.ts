/**
 * Waits after prefill until the booked memory is free at the decode replica. A request that is
 * sent earlier is refused there, and its prefill is lost.
 *
 * @module
 */
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import { releaseReservation } from './BendfallRouterEnd.js'
import type { ConfirmOutcome } from './BendfallRouterEvents.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** Part of the prefill result's lifetime that is kept for the send and the transfer. */
const HANDLE_MARGIN_MS = 100

/**
 * Asks the ledger whether the booked memory is free.
 *
 * @param context - context of the current event
 * @param request - request whose prompt has been processed
 * @returns `run` if no confirmation is needed or possible; undefined while waiting for the ledger
 */
export function startConfirm (context: RouterContext, request: RequestState): NextStep {
  const view = context.state.replicas.get(request.reservedReplicaId ?? '')
  // Memory held by the replica itself is free. Its ledger may be back by now, but has no booking for it.
  const isSkipped = context.state.decisions.confirm === 'none' || request.hold !== undefined || (view?.ledgerDownUntilMs ?? Infinity) > context.nowMs
  if (isSkipped || view === undefined || request.handle === undefined || request.bookingId === undefined) return { type: 'run' }
  request.phase = 'confirm'
  request.attempt += 1
  context.effects.push({
    type: 'confirm',
    key: request.key,
    attempt: request.attempt,
    replicaId: view.replica.replicaId,
    bookingId: request.bookingId,
    maxWaitMs: Math.max(0, request.handle.expiresAtMs - HANDLE_MARGIN_MS - context.nowMs)
  })
  return undefined
}

/**
 * Handles the ledger's answer.
 *
 * @param context - context of the current event
 * @param request - request that waits for the memory
 * @param outcome - whether the memory is free
 * @returns `run`, or `reserve` to book memory at another replica
 */
export function handleConfirmAnswer (context: RouterContext, request: RequestState, outcome: ConfirmOutcome): NextStep {
  if (outcome !== 'occupied') return { type: 'run' }
  logDecision(context, request, 'memory_occupied', { replica: request.reservedReplicaId })
  if (request.reservedReplicaId !== undefined) request.excluded.add(request.reservedReplicaId)
  releaseReservation(context, request)
  return { type: 'reserve' }
}
