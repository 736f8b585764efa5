/**
 * Loads of model replicas, queried when a request needs them. Only a few replicas are queried, so
 * that the cost grows with the requests of an entry instead of the size of the fleet: an entry that
 * polled the loads of 24 replicas made 215 calls a second for one stream a second, nearly all of
 * them for loads that no request used.
 *
 * @module
 */
import { usableReplicas } from './BendfallRouterReplicaHealth.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { draw } from './BendfallRouterContext.js'
import type { LoadStep, RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'

/** Pool of replicas with a model. */
export type ModelStage = 'prefill' | 'decode'

/** A load up to this age is not queried again: a prompt or a decode step of a dozen responses takes longer. */
const FRESH_LOAD_MS = 40

/** A load older than this is ignored while a more recent one is known: a prefill replica processes two prompts in this time. */
const VALID_LOAD_MS = 200

/**
 * Replicas of each pool that are queried for one request. The best of a small random sample is
 * nearly as good as the best of all, and keeps all entries from choosing the same one.
 */
const SAMPLE_SIZES: Readonly<Record<ModelStage, number>> = { prefill: 3, decode: 4 }

/** Pools whose loads a step depends on. */
const POOLS_OF_STEP: Readonly<Record<LoadStep, readonly ModelStage[]>> = {
  queue: ['prefill', 'decode'],
  reserve: ['prefill', 'decode'],
  prefill: ['prefill']
}

/** Maximum wait for the answers; a ledger answers in 5 ms, also over a newly opened connection. */
const MAX_WAIT_MS = 60

/** Mean time of a query above which an entry is behind: a small entry takes 5 to 25 ms, one with a whole core 2 to 5 ms. */
const SLOW_QUERY_MS = 30

/** Weight of the newest query in that mean. */
const QUERY_WEIGHT = 0.25

/** Maximum of that weight, for the first query in a long time: one that meets a ledger without an answer (60 ms) does not decide. */
const MAX_QUERY_WEIGHT = 0.45

/** Time in which half of that mean is forgotten once there is a newer query; each request that needs loads makes one. */
const QUERY_HALF_LIFE_MS = 1_000

/** Mean time that queries of loads took lately. */
export interface QueryTime {
  readonly meanMs: number
  /** When it was updated. */
  readonly atMs: number
}

/**
 * Records that a query of loads was answered or given up. Its time shows whether this process is
 * behind, since it includes the wait of the answers for its event loop, as well as slow ledgers.
 *
 * @param context - context of the current event
 * @param request - request that waited for the answers
 */
export function recordQuery ({ nowMs, state }: RouterContext, { loadsRequestedAtMs }: RequestState): void {
  const { atMs, meanMs } = state.queryTime
  const weight = Math.min(MAX_QUERY_WEIGHT, 1 - (1 - QUERY_WEIGHT) * 0.5 ** ((nowMs - atMs) / QUERY_HALF_LIFE_MS))
  state.queryTime = { meanMs: meanMs + weight * (nowMs - loadsRequestedAtMs - meanMs), atMs: nowMs }
}

/**
 * Returns whether queries of loads take longer than on an entry that keeps up.
 *
 * @param context - context of the current event
 * @returns true while this process is behind or ledgers do not answer
 */
export function areQueriesSlow ({ state }: RouterContext): boolean {
  return state.queryTime.meanMs > SLOW_QUERY_MS
}

/**
 * Queries the loads that a step of a request needs, unless they are known.
 *
 * @param context - context of the current event
 * @param request - request with a prompt
 * @param step - step to start once the ledgers have answered
 * @returns whether the request waits for the answers
 */
export function requestLoads (context: RouterContext, request: RequestState, step: LoadStep): boolean {
  const { nowMs } = context
  if (nowMs - request.loadsRequestedAtMs < VALID_LOAD_MS) return false
  const queried = POOLS_OF_STEP[step].flatMap((stage) => sampleReplicas(context, request, stage)).filter((view) => shouldQuery(view, nowMs))
  if (queried.length === 0) return false
  queryLoads(context, request, step, queried)
  return true
}

/**
 * Queries the loads of replicas and postpones a step of a request until they are known.
 *
 * @param context - context of the current event
 * @param request - request that waits for the answers
 * @param step - step to start once the ledgers have answered
 * @param views - replicas to query
 */
export function queryLoads ({ effects, nowMs }: RouterContext, request: RequestState, step: LoadStep, views: readonly ReplicaView[]): void {
  request.loadsRequestedAtMs = nowMs
  request.phase = 'loads'
  request.stepAfterLoads = step
  request.attempt += 1
  effects.push({
    type: 'ask_loads',
    request: { key: request.key, attempt: request.attempt, maxWaitMs: MAX_WAIT_MS },
    replicaIds: views.map(({ replica }) => replica.replicaId)
  })
}

/**
 * Returns the replicas that a request may be sent to, restricted to those with a recent load if
 * there are any.
 *
 * @param context - context of the current event
 * @param request - request to be sent
 * @param stage - pool that the request needs
 * @returns views of the replicas
 */
export function candidateReplicas (context: RouterContext, request: RequestState, stage: ModelStage): ReplicaView[] {
  const usable = usableReplicas(context, request, stage)
  const known = usable.filter(({ load, loadAtMs }) => load !== undefined && context.nowMs - loadAtMs < VALID_LOAD_MS)
  return known.length > 0 ? known : usable
}

function sampleReplicas (context: RouterContext, request: RequestState, stage: ModelStage): ReplicaView[] {
  return drawReplicas(context, usableReplicas(context, request, stage), SAMPLE_SIZES[stage])
}

/**
 * Draws a random sample of replicas.
 *
 * @param context - context of the current event
 * @param views - replicas to choose from
 * @param count - size of the sample
 * @returns the sample; all replicas if there are no more
 */
export function drawReplicas ({ state }: RouterContext, views: readonly ReplicaView[], count: number): ReplicaView[] {
  const remaining = [...views]
  const drawn: ReplicaView[] = []
  while (drawn.length < count && remaining.length > 0) {
    drawn.push(...remaining.splice(Math.floor(draw(state) * remaining.length), 1))
  }
  return drawn
}

/**
 * Returns whether the load of a replica is worth a query.
 *
 * @param view - view of the replica
 * @param nowMs - current time
 * @returns false if its load is fresh, or its ledger did not answer lately
 */
export function shouldQuery ({ ledgerDownUntilMs, loadAtMs }: ReplicaView, nowMs: number): boolean {
  return ledgerDownUntilMs <= nowMs && nowMs - loadAtMs > FRESH_LOAD_MS
}
