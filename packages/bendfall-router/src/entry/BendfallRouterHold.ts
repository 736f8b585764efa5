/**
 * Holds memory at the decode replica itself while the ledger beside it is unavailable. An entry
 * on its own knows only its own requests: 18 entries that each relied on that processed 1.6 of 4.1
 * million prompt tokens for requests that no replica had memory for. A hold costs the replica a call
 * and expires by itself, so it is the second choice: it can neither wait for memory nor report when
 * some will be free.
 *
 * @module
 */
import { recordFailure } from './BendfallRouterReplicaHealth.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import { canCallForRelease } from './BendfallRouterPermits.js'
import type { HoldOutcome } from './BendfallRouterEvents.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'

/** Timeout for the answer to a hold; replicas answer within milliseconds. */
const HOLD_TIMEOUT_MS = 250

/** Part of a hold's lifetime that is kept for the request to arrive after its prompt was processed. */
const ARRIVAL_MARGIN_MS = 250

/** Maximum ratio of a prompt's actual to its expected processing time. */
const LEAD_FACTOR = 2

/**
 * Asks a decode replica to hold memory for a request.
 *
 * @param context - context of the current event
 * @param request - request that needs the memory
 * @param view - view of the replica
 * @param tokens - memory to hold
 * @param leadMs - expected time until the request is sent there
 * @returns undefined, since the request waits for the answer
 */
export function startHold (context: RouterContext, request: RequestState, view: ReplicaView, tokens: number, leadMs: number): NextStep {
  request.phase = 'hold'
  request.attempt += 1
  context.effects.push({
    type: 'take_hold',
    key: request.key,
    attempt: request.attempt,
    replicaId: view.replica.replicaId,
    address: view.replica.address,
    tokens: Math.round(tokens),
    ttlMs: Math.round(LEAD_FACTOR * leadMs + ARRIVAL_MARGIN_MS),
    timeoutMs: HOLD_TIMEOUT_MS
  })
  return undefined
}

/**
 * Applies the replica's answer.
 *
 * @param context - context of the current event
 * @param request - request that waits for the memory
 * @param outcome - answer of the replica
 * @returns whether the request may proceed there: memory is held, or the replica does not support holds
 */
export function applyHoldOutcome (context: RouterContext, request: RequestState, outcome: HoldOutcome): boolean {
  const replicaId = request.reservedReplicaId ?? ''
  logDecision(context, request, `hold_${outcome.type}`, { replica: replicaId })
  const view = context.state.replicas.get(replicaId)
  if (outcome.type === 'held') request.hold = { replicaId, address: view?.replica.address ?? '', holdId: outcome.holdId }
  if (outcome.type === 'unanswered' && view !== undefined) recordFailure(view, context.nowMs)
  return outcome.type === 'held' || outcome.type === 'not_offered'
}

/**
 * Releases held memory that no run has used.
 *
 * @param context - context of the current event
 * @param request - request that the memory is held for
 */
export function releaseHold (context: RouterContext, request: RequestState): void {
  if (request.hold === undefined) return
  const { replicaId, ...hold } = request.hold
  // The hold expires by itself where the replica backs off, or has no permit for the call.
  if (canCallForRelease(context, replicaId)) context.effects.push({ type: 'drop_hold', ...hold })
  request.hold = undefined
}
