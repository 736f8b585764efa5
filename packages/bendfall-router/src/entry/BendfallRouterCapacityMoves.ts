/**
 * Moves requests that wait at one ledger to a replica that has capacity. While many requests wait in a
 * burst, replicas become free in another order than the ledgers forecast, so that a request would
 * otherwise wait at one while another is idle. A waiting request has a few ledgers queried at growing
 * intervals, and every load that this entry learns meanwhile may move it.
 *
 * @module
 */
import { compareWaiting } from './BendfallRouterCallerTime.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import { releasePrefillSlot, releaseReservation } from './BendfallRouterEnd.js'
import { drawReplicas, shouldQuery } from './BendfallRouterLoads.js'
import type { ModelStage } from './BendfallRouterLoads.js'
import { chooseMemoryOption } from './BendfallRouterMemoryOptions.js'
import { backlogTokensOf } from './BendfallRouterPrefillPlan.js'
import { stageOf, usableReplicas } from './BendfallRouterReplicaHealth.js'
import type { Phase, RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'
import { endWaitTime } from './BendfallRouterWaitTimes.js'
import { mayWiden, widenWait } from './BendfallRouterWidening.js'

/** Backlog below which a prompt is sent without a queue slot: less than one prompt. */
export const NO_QUEUE_BACKLOG_TOKENS = 3_000

/** Time until the first check of a waiting request; doubled for each further one, so that a wait of 3.2 s has five. */
const FIRST_CHECK_MS = 100

/** Checks of one request over all its waits. */
const MAX_CHECKS = 6

/** Ledgers that are queried in one check. */
const CHECK_SAMPLE = 4

/** Moves of one request: each gives up a place in a queue. */
const MAX_MOVES = 3

/** Waiting at a ledger: the pool that it belongs to. */
interface Wait {
  readonly stage: ModelStage
  readonly replicaId: (request: RequestState) => string | undefined
  readonly hasCapacity: (context: RouterContext, request: RequestState, view: ReplicaView) => boolean
  readonly release: (context: RouterContext, request: RequestState) => void
  readonly next: NonNullable<NextStep>
}

const WAITS: { readonly [P in Phase]?: Wait } = {
  queue: {
    stage: 'prefill',
    replicaId: ({ prefillSlot }) => prefillSlot?.replicaId,
    hasCapacity: (_context, _request, view) => backlogTokensOf(view) < NO_QUEUE_BACKLOG_TOKENS,
    release: releasePrefillSlot,
    next: { type: 'queue' }
  },
  reserve: {
    stage: 'decode',
    replicaId: ({ reservedReplicaId }) => reservedReplicaId,
    hasCapacity: (context, request, view) => chooseMemoryOption(context, request, [view])?.waitMs === 0,
    release: releaseReservation,
    next: { type: 'reserve' }
  }
}

/** A request that moves and the step that chooses its new replica. */
export interface CapacityMove {
  readonly request: RequestState
  readonly next: NonNullable<NextStep>
}

/**
 * Starts to look for capacity elsewhere while a request waits at a ledger.
 *
 * @param context - context of the current event
 * @param request - request that has just asked a ledger
 * @param isExpected - whether it is expected to wait there; otherwise only loads that are learned anyway can move it
 */
export function startCapacityWait (context: RouterContext, request: RequestState, isExpected: boolean): void {
  const { effects, state } = context
  if (state.decisions.waiting !== 'moves' || request.capacityMoves >= MAX_MOVES) return
  state.capacityWaiters.add(request.key)
  const wait = WAITS[request.phase]
  if (!isExpected || wait === undefined || request.capacityChecks >= MAX_CHECKS) return
  widenWait(context, request, wait.stage, wait.replicaId(request) ?? '')
  effects.push({ type: 'schedule_capacity_check', key: request.key, attempt: request.attempt, inMs: FIRST_CHECK_MS * 2 ** request.capacityChecks })
}

/**
 * Queries some ledgers for a request that still waits.
 *
 * @param context - context of the current event
 * @param request - request whose check is due
 */
export function checkCapacity (context: RouterContext, request: RequestState): void {
  const wait = WAITS[request.phase]
  if (wait === undefined) return
  request.capacityChecks += 1
  const remaining = usableReplicas(context, request, wait.stage).filter((view) => view.replica.replicaId !== wait.replicaId(request) && shouldQuery(view, context.nowMs))
  const queried = drawReplicas(context, remaining, CHECK_SAMPLE)
  if (queried.length > 0 && mayWiden(context, request, wait.stage)) context.effects.push({ type: 'ask_loads', replicaIds: queried.map(({ replica }) => replica.replicaId) })
  startCapacityWait(context, request, true)
}

/**
 * Takes the first of the waiting requests that a replica has capacity for out of its wait: the most
 * urgent ones first, then those that can still meet their latency targets.
 *
 * @param context - context of the current event
 * @param replicaId - replica whose load was learned
 * @returns the request and its next step; undefined if none moves
 */
export function takeCapacityMove (context: RouterContext, replicaId: string): CapacityMove | undefined {
  const { nowMs, state } = context
  const view = state.replicas.get(replicaId)
  // A request that moved would be parked without a place until the registrations have been read again.
  if (state.capacityWaiters.size === 0 || view === undefined || state.isRefreshPending) return undefined
  for (const request of listWaiters(context)) {
    const wait = WAITS[request.phase]
    if (wait === undefined || wait.stage !== stageOf(view) || wait.replicaId(request) === replicaId) continue
    if (!wait.hasCapacity(context, request, view) || !usableReplicas(context, request, wait.stage).includes(view)) continue
    logDecision(context, request, 'moved_to_capacity', { stage: wait.stage, from: wait.replicaId(request), to: replicaId })
    state.capacityWaiters.delete(request.key)
    request.capacityMoves += 1
    endWaitTime(context, request)
    // The load that was just learned decides; other ledgers need not be queried again.
    request.loadsRequestedAtMs = nowMs
    wait.release(context, request)
    return { request, next: wait.next }
  }
  return undefined
}

// Requests that no longer wait are dropped here, so that no other step has to.
function listWaiters ({ nowMs, state }: RouterContext): RequestState[] {
  const waiters: RequestState[] = []
  for (const key of state.capacityWaiters) {
    const request = state.requests.get(key)
    if (request !== undefined && WAITS[request.phase] !== undefined) waiters.push(request)
    else state.capacityWaiters.delete(key)
  }
  return waiters.sort((one, other) => compareWaiting(one, other, nowMs))
}
