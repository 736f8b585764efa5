/**
 * Holds memory at the decode replica itself while the ledger beside it is away. An
 * entry alone knows its own requests only: 18 entries that each went by them read
 * 1.6 of 4.1 million prompt tokens for requests that no replica had room for. A hold
 * costs the replica a call and lapses by itself, so it is the second choice: it can't
 * wait for memory, nor tell when there will be some.
 *
 * @module
 */
import { noteFailure } from './BendfallRouterBelief.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import { mayRelease } from './BendfallRouterPermits.js'
import type { HoldOutcome } from './BendfallRouterEvents.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief } from './BendfallRouterState.js'

/** A hold that was not answered in this time is given up; replicas answer in some milliseconds. */
const HOLD_TIMEOUT_MS = 250

/** Kept for the request to arrive after its prompt was read. */
const ARRIVAL_MS = 250

/** Prompts take this many times their expected time at most. */
const LEAD_FACTOR = 2

/**
 * Asks a decode replica to hold memory for a request.
 *
 * @param context - of the event
 * @param request - the request
 * @param belief - about the replica
 * @param tokens - memory
 * @param leadMs - until the request is sent there
 * @returns the next step
 */
export function startHold (context: RouterContext, request: RequestState, belief: ReplicaBelief, tokens: number, leadMs: number): NextStep {
  request.phase = 'hold'
  request.attempt += 1
  context.effects.push({
    type: 'take_hold',
    key: request.key,
    attempt: request.attempt,
    replicaId: belief.replica.replicaId,
    address: belief.replica.address,
    tokens: Math.round(tokens),
    ttlMs: Math.round(LEAD_FACTOR * leadMs + ARRIVAL_MS),
    timeoutMs: HOLD_TIMEOUT_MS
  })
  return undefined
}

/**
 * Takes the replica's answer.
 *
 * @param context - of the event
 * @param request - the request
 * @param outcome - the answer
 * @returns whether the request may go on there: memory is held, or the replica holds none for anybody
 */
export function takeHold (context: RouterContext, request: RequestState, outcome: HoldOutcome): boolean {
  const replicaId = request.reservedAt ?? ''
  logDecision(context, request, `hold_${outcome.type}`, { replica: replicaId })
  const belief = context.state.replicas.get(replicaId)
  if (outcome.type === 'held') request.hold = { replicaId, address: belief?.replica.address ?? '', holdId: outcome.holdId }
  if (outcome.type === 'unanswered' && belief !== undefined) noteFailure(belief, context.nowMs)
  return outcome.type === 'held' || outcome.type === 'not_offered'
}

/**
 * Gives held memory back that no run took.
 *
 * @param context - of the event
 * @param request - the request
 */
export function leaveHold (context: RouterContext, request: RequestState): void {
  if (request.hold === undefined) return
  const { replicaId, ...hold } = request.hold
  // It lapses by itself where the replica wants no call, or takes no more.
  if (mayRelease(context, replicaId)) context.effects.push({ type: 'drop_hold', ...hold })
  request.hold = undefined
}
