/**
 * Queries further ledgers while a request waits, or before it is refused. A sample of four decode replicas can
 * be full in a burst of twice the load that memory supports while another replica has memory: 361 of 591
 * refusals were made beside one (84 entries, 32 decode replicas, virtual time). First the other replicas of
 * the subset are queried, then some of those that rank next, whose number does not grow with the fleet.
 *
 * A request that can wait takes its place first and is moved if an answer names capacity: each round of queries
 * takes 5 to 25 ms on a small entry. Where queries before the wait took 6 or 10 ms a message on three of four
 * entries, 580 and 556 of 1,152 streams were on time with widening and moves, 594 and 590 without them.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import { areQueriesSlow, drawReplicas, queryLoads, shouldQuery } from './BendfallRouterLoads.js'
import type { ModelStage } from './BendfallRouterLoads.js'
import { usableReplicas } from './BendfallRouterReplicaHealth.js'
import type { LoadStep, RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'
import { SUBSET_SIZE, spareReplicas } from './BendfallRouterSubset.js'

/** Rounds of further queries of one request for one pool: within the subset and outside it, when it starts to wait or before it is refused. With two more before a refusal, more requests waited beside a replica with capacity (131, 106, 340, 129 instead of 117, 72, 124, 91 samples in four seeds) and as many were on time. */
const MAX_ROUNDS = 2

/** Share of the replicas that a request may use whose ledgers are unreachable from which on an entry does not widen: it is probably cut off itself, or a crash has taken what others would look for as well. */
const MAX_UNREACHABLE_SHARE = 0.25

/** Replicas outside the subset that are queried in one round, as many as of the first sample. */
const OUTSIDE_SAMPLE = 4

/** Where the replicas of a round are chosen. */
type Scope = 'subset' | 'outside'

const SCOPES: readonly Scope[] = ['subset', 'outside']

const CHOOSERS: Readonly<Record<Scope, (context: RouterContext, request: RequestState, stage: ModelStage) => ReplicaView[]>> = {
  subset: (context, request, stage) => drawReplicas(context, usableReplicas(context, request, stage).filter((view) => shouldQuery(view, context.nowMs)), SUBSET_SIZE),
  outside: addSpareReplicas
}

/**
 * Queries ledgers of a pool that the request has not asked, unless enough were asked for it.
 *
 * @param context - context of the current event
 * @param request - request for which no replica with a known load has capacity
 * @param stage - pool that lacks capacity
 * @param step - step to repeat once the ledgers have answered
 * @returns whether the request waits for the answers
 */
export function widenSample (context: RouterContext, request: RequestState, stage: ModelStage, step: LoadStep): boolean {
  if (!startsRound(context, request, stage)) return false
  while (request.widenings[stage] < MAX_ROUNDS) {
    const scope = SCOPES[request.widenings[stage] % SCOPES.length] as Scope
    request.widenings[stage] += 1
    const queried = CHOOSERS[scope](context, request, stage).filter((view) => shouldQuery(view, context.nowMs))
    if (queried.length === 0) continue
    logDecision(context, request, 'sample_widened', { stage, scope, replicas: queried.length })
    queryLoads(context, request, step, queried)
    return true
  }
  return false
}

/**
 * Queries the same ledgers for a request that has a place in a queue, which does not wait for the answers:
 * a load that is learned may move it. Only once for each pool.
 *
 * @param context - context of the current event
 * @param request - request that is expected to wait
 * @param stage - pool that lacks capacity
 * @param replicaId - replica that it waits at
 * @returns whether ledgers were queried
 */
export function widenWait (context: RouterContext, request: RequestState, stage: ModelStage, replicaId: string): boolean {
  if (request.widenings[stage] > 0 || !startsRound(context, request, stage)) return false
  request.widenings[stage] = MAX_ROUNDS
  const queried = SCOPES.flatMap((scope) => CHOOSERS[scope](context, request, stage)).filter((view) => view.replica.replicaId !== replicaId && shouldQuery(view, context.nowMs))
  if (queried.length === 0) return false
  logDecision(context, request, 'sample_widened', { stage, scope: 'waiting', replicas: queried.length })
  context.effects.push({ type: 'ask_loads', replicaIds: queried.map(({ replica }) => replica.replicaId) })
  return true
}

/**
 * Returns whether an entry may query more ledgers than each request needs. An entry that is behind would
 * delay all its requests by it, and one that does not reach the ledgers waits in vain.
 *
 * @param context - context of the current event
 * @param request - request that lacks capacity
 * @param stage - pool that lacks capacity
 * @returns false where the mechanism is disabled as well
 */
export function mayWiden (context: RouterContext, request: RequestState, stage: ModelStage): boolean {
  return context.state.decisions.widening !== 'none' && obstacleOf(context, request, stage) === undefined
}

function obstacleOf (context: RouterContext, request: RequestState, stage: ModelStage): 'behind' | 'unreachable' | undefined {
  if (areQueriesSlow(context)) return 'behind'
  const usable = usableReplicas(context, request, stage)
  const unreachable = usable.filter(({ ledgerDownUntilMs }) => ledgerDownUntilMs > context.nowMs).length
  return unreachable > MAX_UNREACHABLE_SHARE * usable.length ? 'unreachable' : undefined
}

// Logs the reason where further rounds were due.
function startsRound (context: RouterContext, request: RequestState, stage: ModelStage): boolean {
  if (context.state.decisions.widening === 'none' || request.widenings[stage] >= MAX_ROUNDS) return false
  const obstacle = obstacleOf(context, request, stage)
  if (obstacle !== undefined) logDecision(context, request, 'widening_skipped', { stage, obstacle, queryMs: Math.round(context.state.queryTime.meanMs) })
  return obstacle === undefined
}

// The request may use them from now on.
function addSpareReplicas (context: RouterContext, request: RequestState, stage: ModelStage): ReplicaView[] {
  const remaining = spareReplicas(context.state, request, stage).filter(({ replica }) => !request.excluded.has(replica.replicaId) && !request.spares.has(replica.replicaId))
  const drawn = drawReplicas(context, remaining, OUTSIDE_SAMPLE)
  for (const { replica } of drawn) request.spares.add(replica.replicaId)
  return drawn
}
