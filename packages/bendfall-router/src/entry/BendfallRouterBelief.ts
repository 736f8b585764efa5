/**
 * Beliefs about replicas: how fast they answer, whether they fail, and which
 * of them may be used.
 *
 * @module
 */
import { nameProcess } from '../crashes/BendfallRouterCrashRecords.js'
import { hasPermit } from '../limits/BendfallRouterReplicaLimits.js'
import { backoffLeftMs, hasSaidLeaving } from '../notices/BendfallRouterNotices.js'
import type { Replica, ReplicaStage } from '../BendfallRouterTypes.js'
import type { SendFailure } from './BendfallRouterEvents.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { createRecentSends } from './BendfallRouterRecentSends.js'
import { isStalled } from './BendfallRouterStalls.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief, RouterState } from './BendfallRouterState.js'

/** Weight of the newest answer in a replica's averages: about the last ten count. */
const AVERAGE_WEIGHT = 0.1

/** First time for which a replica that failed is left alone; doubles with each failure in a row. */
const FIRST_SUSPICION_MS = 200

/** Longest such time; crashed replicas are back within 2 to 6 s on the users' platform. */
const LONGEST_SUSPICION_MS = 3_000

/** Failures in a row from which a replica is left alone. */
const FAILURES_TO_SUSPECT = 2

/** Share of all replicas from which missing registrations count as lapsed in an outage: more at once than operators take away. */
const LAPSED_SHARE = 0.5

/** Time for which a ledger that did not answer is not asked; doubles with each failure in a row. */
const FIRST_LEDGER_RETRY_MS = 1_000

/** Longest such time: a process is started again within it, and fewer asks cost nothing by then. */
const LONGEST_LEDGER_RETRY_MS = 8_000

/** A load that tells of a sick replica counts for this long; then the replica is asked again. */
const SICK_LOAD_MS = 1_000

/**
 * Makes the belief about a replica of which nothing was seen yet.
 *
 * @param replica - as registered
 * @param subsetScore - its rank among the replicas that this entry may use
 * @returns the belief
 */
export function createBelief (replica: Replica, subsetScore: number): ReplicaBelief {
  return {
    replica,
    subsetScore,
    loadAtMs: -Infinity,
    inFlight: 0,
    recentSends: createRecentSends(),
    bookedSinceLoad: 0,
    ownTokens: 0,
    prefillTokens: 0,
    prefillSinceLoad: 0,
    prefillPace: 1,
    failureShare: 0,
    latencyMs: 0,
    consecutiveFailures: 0,
    routes: new Map(),
    suspectUntilMs: -Infinity,
    ledgerFailures: 0,
    ledgerDownUntilMs: -Infinity
  }
}

/**
 * Pool that a replica works in now; its ledger's word is fresher than its registration.
 *
 * @param belief - about the replica
 * @returns the stage
 */
export function stageOf ({ load, replica }: ReplicaBelief): ReplicaStage {
  return replica.stage === 'plain' ? 'plain' : load?.stage ?? replica.stage
}

/**
 * Tells whether a replica leaves, so that it gets no new work: its registration says so, or
 * it has said so itself, which may be known while the service is away. One whose registration is
 * missing after an outage counts as leaving while most replicas are registered: a few
 * that are missing left, many lapsed in the outage and will be back.
 *
 * @param state - of the entry
 * @param belief - about the replica
 * @returns true when it gets no new work
 */
export function isLeaving (state: RouterState, { replica }: ReplicaBelief): boolean {
  return replica.isDraining || hasSaidLeaving(state.notices, nameProcess(replica)) || (state.missing.has(replica.replicaId) && !haveLapsed(state))
}

// Of all replicas, not of a pool: the only prefill replica of a service may leave, while
// an outage does not choose between pools.
function haveLapsed ({ missing, replicas }: RouterState): boolean {
  return missing.size > replicas.size * LAPSED_SHARE
}

/**
 * Replicas that a request may be sent to. Those under suspicion count only
 * when no other is left; those that back off, or name a limit for which no permit is at hand, don't
 * count at all.
 *
 * @param context - of the event
 * @param request - the request
 * @param stage - pool that is needed
 * @returns beliefs about the replicas
 */
export function usableReplicas ({ nowMs, state }: RouterContext, request: RequestState, stage: ReplicaStage): ReplicaBelief[] {
  const open = (state.usedByService.get(request.service) ?? []).filter((belief) =>
    !isLeaving(state, belief) && backoffLeftMs(state.notices, nameProcess(belief.replica), nowMs) === 0 && stageOf(belief) === stage && !request.excluded.has(belief.replica.replicaId) && isPermitted(state, belief, nowMs))
  if (state.decisions.suspicion === 'off') return open
  const trusted = open.filter((belief) => belief.suspectUntilMs <= nowMs && !isSick(belief, nowMs) && !isStalled(belief, request.route.name, nowMs))
  return trusted.length > 0 ? trusted : open
}

function isPermitted ({ limits }: RouterState, { replica }: ReplicaBelief, nowMs: number): boolean {
  return limits.size === 0 || hasPermit(limits.get(nameProcess(replica)), nowMs)
}

function isSick ({ load, loadAtMs }: ReplicaBelief, nowMs: number): boolean {
  return load?.isHealthy === false && nowMs - loadAtMs < SICK_LOAD_MS
}

/**
 * Notes that the ledger beside a replica did not answer.
 *
 * @param belief - about the replica
 * @param nowMs - the time
 */
export function noteLedgerLost (belief: ReplicaBelief, nowMs: number): void {
  if (belief.ledgerDownUntilMs > nowMs) return
  belief.ledgerDownUntilMs = nowMs + Math.min(LONGEST_LEDGER_RETRY_MS, FIRST_LEDGER_RETRY_MS * 2 ** Math.min(belief.ledgerFailures, 10))
  belief.ledgerFailures += 1
}

/**
 * Notes a good answer of a replica.
 *
 * @param belief - about the replica
 * @param latencyMs - time from the send to the answer's end; absent: it tells nothing of the speed
 */
export function noteSuccess (belief: ReplicaBelief, latencyMs?: number): void {
  belief.consecutiveFailures = 0
  belief.suspectUntilMs = -Infinity
  belief.failureShare *= 1 - AVERAGE_WEIGHT
  if (latencyMs === undefined) return
  belief.latencyMs = belief.latencyMs === 0 ? latencyMs : belief.latencyMs + AVERAGE_WEIGHT * (latencyMs - belief.latencyMs)
}

/**
 * Notes a failed answer of a replica; failures in a row make it suspect.
 *
 * @param belief - about the replica
 * @param nowMs - the time
 * @param failure - how the send failed
 */
export function noteFailure (belief: ReplicaBelief, nowMs: number, failure: SendFailure = 'unknown'): void {
  // Its address has another replica now, or it changed its pool: its registration is behind.
  if (failure === 'wrong_replica') belief.suspectUntilMs = nowMs + LONGEST_SUSPICION_MS
  belief.failureShare += AVERAGE_WEIGHT * (1 - belief.failureShare)
  belief.consecutiveFailures += 1
  const beyond = belief.consecutiveFailures - FAILURES_TO_SUSPECT
  if (beyond < 0) return
  belief.suspectUntilMs = Math.max(belief.suspectUntilMs, nowMs + Math.min(LONGEST_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** Math.min(beyond, 10)))
}
