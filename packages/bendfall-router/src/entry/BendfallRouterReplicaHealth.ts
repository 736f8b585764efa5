/**
 * This entry's view of the replicas: response times, failures, and which replicas a request may
 * be sent to.
 *
 * @module
 */
import { formatProcessName } from '../crashes/BendfallRouterCrashRecords.js'
import { hasPermit } from '../limits/BendfallRouterReplicaLimits.js'
import { backoffLeftMs, isProcessLeaving } from '../notices/BendfallRouterNotices.js'
import type { Replica, ReplicaStage } from '../BendfallRouterTypes.js'
import type { SendFailure } from './BendfallRouterEvents.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { digestSoftware } from '../streams/BendfallRouterStreamOrigins.js'
import { eligibleReplicas } from './BendfallRouterEligibility.js'
import { recordLatency, recordOutcome } from './BendfallRouterEstimates.js'
import { createRecentSends } from './BendfallRouterRecentSends.js'
import { isStalled } from './BendfallRouterStalls.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView, RouterState } from './BendfallRouterState.js'

/** First period for which a failing replica is avoided; doubles with each consecutive failure. */
const INITIAL_SUSPICION_MS = 200

/** Maximum of that period; crashed replicas are back within 2 to 6 s on the users' platform. */
const MAX_SUSPICION_MS = 3_000

/**
 * First period for which a replica that answered a run with an error is avoided, after a single one: its memory is free
 * again at once, so that all entries would choose it next. Errors of one replica in 30 ended a fifth of all streams.
 */
const FAILED_RUN_SUSPICION_MS = 1_000

/** Consecutive failures after which a replica is avoided. */
const FAILURES_TO_SUSPECT = 2

/**
 * Share of all replicas above which missing registrations count as expired in an outage: operators
 * remove fewer at once.
 */
const EXPIRED_IN_OUTAGE_SHARE = 0.5

/** First period for which an unresponsive ledger is not queried; doubles with each consecutive failure. */
const INITIAL_LEDGER_RETRY_MS = 1_000

/** Maximum of that period: a process restarts within it, and querying even less often would save nothing. */
const MAX_LEDGER_RETRY_MS = 8_000

/** How long a load report of an unhealthy replica is valid; afterwards the replica is tried again. */
const UNHEALTHY_LOAD_VALID_MS = 1_000

/**
 * Creates the view of a replica that has not been used yet.
 *
 * @param replica - registration of the replica
 * @param subsetScore - rank of the replica among those that this entry may use
 * @returns a view without load, failures or latency
 */
export function createReplicaView (replica: Replica, subsetScore: number): ReplicaView {
  return {
    replica,
    software: digestSoftware(replica),
    subsetScore,
    loadAtMs: -Infinity,
    inFlight: 0,
    recentSends: createRecentSends(),
    bookedTokensSinceLoad: 0,
    ownTokens: 0,
    prefillTokens: 0,
    prefillTokensSinceLoad: 0,
    prefillTimeFactor: 1,
    prefillTimeFactorAtMs: -Infinity,
    refusedResults: 0,
    resultsLostUntilMs: -Infinity,
    failureShare: 0,
    outcomeAtMs: -Infinity,
    latencyMs: 0,
    recentLatencyMs: 0,
    idleLatencyMs: 0,
    idleSamples: 0,
    latencyDeviationMs: 0,
    latencyAtMs: -Infinity,
    consecutiveFailures: 0,
    routes: new Map(),
    suspectUntilMs: -Infinity,
    ledgerFailures: 0,
    ledgerDownUntilMs: -Infinity
  }
}

/**
 * Returns the pool that a replica works in now. Its ledger's report is more recent than its
 * registration.
 *
 * @param view - view of the replica
 * @returns the stage that the replica serves
 */
export function stageOf ({ load, replica }: ReplicaView): ReplicaStage {
  return replica.stage === 'plain' ? 'plain' : load?.stage ?? replica.stage
}

/**
 * Returns whether a replica is leaving and must get no new work: its registration says so, or
 * the replica itself has reported it, which can be known while the key-value service is down. A
 * replica whose registration is missing after an outage counts as leaving while most replicas are
 * registered: a few missing ones have left, whereas many have expired in the outage and will be back.
 *
 * @param state - state of the entry
 * @param view - view of the replica
 * @returns true when the replica gets no new work
 */
export function isLeaving (state: RouterState, { replica }: ReplicaView): boolean {
  return replica.isDraining || isProcessLeaving(state.notices, formatProcessName(replica)) || (state.missing.has(replica.replicaId) && !haveRegistrationsExpired(state))
}

/**
 * Returns whether the process of a replica may exit once it has responded.
 *
 * @param state - state of the entry
 * @param replicaId - id of the replica
 * @returns true for a replica that is leaving or no longer registered, or that has reported its shutdown before it stopped listening
 */
export function isExiting (state: RouterState, replicaId: string): boolean {
  const view = state.replicas.get(replicaId)
  return view === undefined || view.hasAnnouncedExit === true || isLeaving(state, view)
}

// Counted over all replicas instead of one pool: the only prefill replica of a service may leave, while an outage
// affects all pools alike.
function haveRegistrationsExpired ({ missing, replicas }: RouterState): boolean {
  return missing.size > replicas.size * EXPIRED_IN_OUTAGE_SHARE
}

/**
 * Returns the replicas that a request may be sent to. Suspect replicas are included only if no
 * other is left. Those that back off, or that advertise a limit for which no permit is available,
 * are never included.
 *
 * @param context - context of the current event
 * @param request - request to be sent
 * @param stage - pool that the request needs
 * @returns views of the replicas
 */
export function usableReplicas ({ nowMs, state }: RouterContext, request: RequestState, stage: ReplicaStage): ReplicaView[] {
  const candidates = eligibleReplicas(state, request, stage).filter((view) =>
    !isLeaving(state, view) && backoffLeftMs(state.notices, formatProcessName(view.replica), nowMs) === 0 && stageOf(view) === stage && !request.excluded.has(view.replica.replicaId) && isPermitted(state, view, nowMs))
  if (state.decisions.suspicion === 'off') return candidates
  const trusted = candidates.filter((view) => view.suspectUntilMs <= nowMs && !isReportedUnhealthy(view, nowMs) && !isStalled(view, request.route.name, nowMs))
  return trusted.length > 0 ? trusted : candidates
}

function isPermitted ({ limits }: RouterState, { replica }: ReplicaView, nowMs: number): boolean {
  return limits.size === 0 || hasPermit(limits.get(formatProcessName(replica)), nowMs)
}

function isReportedUnhealthy ({ load, loadAtMs }: ReplicaView, nowMs: number): boolean {
  return load?.isHealthy === false && nowMs - loadAtMs < UNHEALTHY_LOAD_VALID_MS
}

/**
 * Records that the ledger beside a replica did not answer.
 *
 * @param view - view of the replica
 * @param nowMs - current time
 */
export function recordLedgerUnreachable (view: ReplicaView, nowMs: number): void {
  if (view.ledgerDownUntilMs > nowMs) return
  view.ledgerDownUntilMs = nowMs + Math.min(MAX_LEDGER_RETRY_MS, INITIAL_LEDGER_RETRY_MS * 2 ** Math.min(view.ledgerFailures, 10))
  view.ledgerFailures += 1
}

/**
 * Records a successful response of a replica.
 *
 * @param view - view of the replica
 * @param nowMs - current time
 * @param latencyMs - time from the send to the end of the response; absent if it says nothing about
 *   the replica's speed
 */
export function recordSuccess (view: ReplicaView, nowMs: number, latencyMs?: number): void {
  view.consecutiveFailures = 0
  view.suspectUntilMs = -Infinity
  recordOutcome(view, false, nowMs)
  if (latencyMs !== undefined) recordLatency(view, latencyMs, nowMs)
}

/**
 * Records a failed send to a replica; consecutive failures make it suspect.
 *
 * @param view - view of the replica
 * @param nowMs - current time
 * @param failure - how the send failed
 */
export function recordFailure (view: ReplicaView, nowMs: number, failure: SendFailure = 'unknown'): void {
  // Another replica has its address now, or it changed its pool: the registration is out of date.
  if (failure === 'wrong_replica') view.suspectUntilMs = nowMs + MAX_SUSPICION_MS
  recordOutcome(view, true, nowMs)
  view.consecutiveFailures += 1
  suspect(view, nowMs, INITIAL_SUSPICION_MS, view.consecutiveFailures - FAILURES_TO_SUSPECT)
}

/**
 * Records that a replica answered a run with an error, which makes it suspect at once.
 *
 * @param view - view of the replica
 * @param nowMs - current time
 */
export function recordFailedRun (view: ReplicaView, nowMs: number): void {
  recordOutcome(view, true, nowMs)
  view.consecutiveFailures += 1
  suspect(view, nowMs, FAILED_RUN_SUSPICION_MS, view.consecutiveFailures - 1)
}

function suspect (view: ReplicaView, nowMs: number, initialMs: number, doublings: number): void {
  if (doublings < 0) return
  view.suspectUntilMs = Math.max(view.suspectUntilMs, nowMs + Math.min(MAX_SUSPICION_MS, initialMs * 2 ** Math.min(doublings, 10)))
}
