/**
 * State of the entry: its requests and its view of the replicas. Only the reducer changes it.
 *
 * @module
 */
import { DEFAULT_DECISIONS } from '../BendfallRouterDecisions.js'
import type { RouterDecisions } from '../BendfallRouterDecisions.js'
import type { Replica, ReplicaLoad, ReplicaStage, RouterConfig } from '../BendfallRouterTypes.js'
import { createCrashRecords, DEFAULT_CRASH_LIMITS } from '../crashes/BendfallRouterCrashRecords.js'
import type { CrashLimits, CrashRecords } from '../crashes/BendfallRouterCrashRecords.js'
import { DEFAULT_CREDENTIAL_LIMITS } from '../customers/BendfallRouterCustomers.js'
import type { CredentialLimits, CustomerIndex } from '../customers/BendfallRouterCustomers.js'
import type { ReplicaLimits } from '../limits/BendfallRouterReplicaLimits.js'
import type { ReplicaNotices } from '../notices/BendfallRouterNotices.js'
import type { PoolWork } from '../pools/BendfallRouterPoolBalance.js'
import type { PoolIntent } from '../pools/BendfallRouterPoolIntent.js'
import type { ResumableSoftware } from '../streams/BendfallRouterResumableSoftware.js'
import { createSoftwareHistory } from '../streams/BendfallRouterSoftwareHistory.js'
import type { SoftwareHistory } from '../streams/BendfallRouterSoftwareHistory.js'
import { createStreamOrigins } from '../streams/BendfallRouterStreamOrigins.js'
import type { SoftwareDigest, StreamOrigins } from '../streams/BendfallRouterStreamOrigins.js'
import { DEFAULT_BUDGET_LIMITS } from './BendfallRouterBudget.js'
import type { BudgetLimits, RetryBudget } from './BendfallRouterBudget.js'
import type { DepartedReplica } from './BendfallRouterDeparted.js'
import type { PlainLimit } from '../plain/BendfallRouterPlainLimit.js'
import type { Arrival } from './BendfallRouterEvents.js'
import type { QueryTime } from './BendfallRouterLoads.js'
import type { PlainQueue } from './BendfallRouterPlainWait.js'
import type { RecentSends } from './BendfallRouterRecentSends.js'
import type { RunOutcomes } from './BendfallRouterRefusals.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReturnSchedule } from './BendfallRouterReturns.js'
import type { SubsetSize } from './BendfallRouterSubset.js'

/** Health of a replica on one route, as seen by this process. */
export interface RouteHealth {
  /** Keys of the requests that are overdue there. */
  readonly overdue: Set<string>
  /** Consecutive overdue requests that ended without a response. */
  hungCalls: number
  /** Requests of the route avoid the replica until this time unless no other is usable. */
  stalledUntilMs: number
}

/** This process's view of a replica. */
export interface ReplicaView {
  replica: Replica
  /** Software that it runs. */
  software: SoftwareDigest
  /** When the registered process was last seen to have ended; what answers afterwards is its successor. */
  endedAtMs?: number
  /** Whether the process that has ended had reported its shutdown. */
  hasAnnouncedExit?: boolean
  /** When its registration was first renewed after that, perhaps by a write from before. */
  renewedAtMs?: number
  /** Whether the process was seen to run on after a refused connection. */
  refusesWhileRunning?: boolean
  /** Score that ranks the replica for the subset that this entry uses. */
  readonly subsetScore: number
  load?: ReplicaLoad
  loadAtMs: number
  /** Requests of this process that are running there. */
  inFlight: number
  /** Sends of this process in the last second. */
  readonly recentSends: RecentSends
  /** Tokens that this process booked there since the last load report. */
  bookedTokensSinceLoad: number
  /** Tokens of the requests of this process that hold memory there, used while its ledger is unavailable. */
  ownTokens: number
  /** Prompt tokens of this process in prefill there; 0 at decode replicas. */
  prefillTokens: number
  /** Prompt tokens that this process sent there and that the last load report does not include. */
  prefillTokensSinceLoad: number
  /** Ratio of the actual to the predicted duration of its prefills; 1 for an average replica. */
  prefillTimeFactor: number
  /** When that ratio was updated. */
  prefillTimeFactorAtMs: number
  /** Consecutive runs from its prefill results that were refused although their memory was free. */
  refusedResults: number
  /** Decode replica that refused the last of them. */
  resultRefusedBy?: string
  /** Until when its prefill results count as lost before they can be used. */
  resultsLostUntilMs: number
  /** Moving average of the share of failed responses, 0 to 1. */
  failureShare: number
  /** When that share was updated. */
  outcomeAtMs: number
  /** Mean response time; 0 before the first measurement. */
  latencyMs: number
  /** Mean of the last few response times. */
  recentLatencyMs: number
  /** Lowest recent mean response time, that without a queue in the replica; 0 before the first measurement. */
  idleLatencyMs: number
  /** Response times that this is learned from. */
  idleSamples: number
  /** Mean absolute deviation from the mean response time. */
  latencyDeviationMs: number
  /** When that time was updated. */
  latencyAtMs: number
  consecutiveFailures: number
  /** What this process may have in flight there; absent while it refuses no calls. */
  plainLimit?: PlainLimit
  /** Limit of the calls in flight at a plain replica that came back or lost a connection, until it has answered some. */
  trial?: PlainLimit
  /** Health by name of the route; absent for routes without overdue calls. */
  readonly routes: Map<string, RouteHealth>
  /** The replica is avoided until this time unless no other is usable. */
  suspectUntilMs: number
  /** Consecutive calls to its ledger without a response. */
  ledgerFailures: number
  /** Its ledger is not called before this time. */
  ledgerDownUntilMs: number
}

/** Services of a route, and since when the configuration names them. */
export interface RoutedSince {
  readonly services: string
  readonly sinceMs: number
}

/** Load of a service's pools, as measured by the holder of the lease on them. */
export interface ObservedWork {
  readonly work: PoolWork
  /** Start of the measurement: when the lease was acquired or the last change was ordered. */
  readonly sinceMs: number
  readonly readings: number
}

/** Stage orders that were sent together. */
export interface PoolOrder {
  readonly replicaIds: readonly string[]
  /** Stage that the replicas change to. */
  readonly stage: ReplicaStage
  readonly orderedAtMs: number
  /** Until when the pools stay unchanged, so that the effect of the order is measurable. */
  settledAtMs: number
}

/** State of the entry. */
export interface RouterState {
  /** Name of the instance of this process. */
  readonly instanceId: string
  readonly decisions: RouterDecisions
  config?: RouterConfig
  /** Customers of the configuration, indexed by their API keys. */
  customerIndex?: CustomerIndex
  /** Model services whose requests have different priorities. */
  prioritizedServices: ReadonlySet<string>
  readonly credentialLimits: CredentialLimits
  /** Time up to which the configuration is verified to be the newest; moved back by suspensions of the machine. */
  configVerifiedAtMs: number
  /** Requests that arrived while the process could not tell whether their API keys are still valid, by request key. */
  readonly heldArrivals: Map<string, Arrival>
  readonly replicas: Map<string, ReplicaView>
  /** Time up to which all registration changes in the key-value service are known. */
  replicasCurrentAtMs: number
  /** Replicas whose address was taken over by a later registration: from their id to the id of that one. */
  readonly replaced: Map<string, string>
  /** Last state of replicas whose registration is gone, by id. */
  readonly departed: Map<string, DepartedReplica>
  /** Registrations that match no service of the configuration, by id. */
  readonly foreign: Map<string, Replica>
  /** Ids of replicas, by address. */
  readonly byAddress: Map<string, string>
  /** Replicas whose registration is missing after an outage, because it expired or because they are leaving. */
  readonly missing: Set<string>
  /** Ids of the model replicas that this entry uses. */
  readonly subset: Set<string>
  /** Model replicas that rank next to the subset, by service and pool. */
  readonly sparesByPool: Map<string, readonly ReplicaView[]>
  /** Sizes of the subsets that differ from the usual one, by service and pool. */
  readonly subsetSizes: Map<string, SubsetSize>
  /** Views of those and of the replicas without a model, by service. */
  readonly usedByService: Map<string, ReplicaView[]>
  /** The same by the software that they run, a subset of each. */
  readonly usedBySoftware: Map<SoftwareDigest, ReplicaView[]>
  readonly softwareHistory: SoftwareHistory
  /** Which software began the streams that this process or one that asked it has relayed. */
  readonly origins: StreamOrigins
  /** Record of the software that may have begun the streams which callers can still resume; absent where there is none. */
  resumableSoftware?: ResumableSoftware
  /** When that record is to be compared with what this entry knows. */
  resumableReviewAtMs: number
  /** Since when the services of each route are unchanged, by name of the route. */
  routedSinceMs: Map<string, RoutedSince>
  /** Whether a replica was added or removed, started to drain or changed its pool since the subset was chosen. */
  isSubsetStale: boolean
  readonly requests: Map<string, RequestState>
  /** Keys of requests that wait for capacity at a ledger, and of some that no longer do. */
  readonly capacityWaiters: Set<string>
  /** Limits of the retry budget of each service. */
  readonly budgetLimits: BudgetLimits
  readonly budgets: Map<string, RetryBudget>
  /** Notices that replicas sent about themselves: leaving, backoff. */
  readonly notices: ReplicaNotices
  /** Rate limits that replicas advertise, with the permits leased for them. */
  readonly limits: ReplicaLimits
  /** Keys of the requests that wait for a permit. */
  readonly permitWaiters: Set<string>
  /** Calls that wait for a place at a plain replica, by service. */
  readonly plainQueues: Map<string, PlainQueue>
  /** When the caller that was last refused for lack of a permit is to retry, by service. */
  readonly lastPermitRetryAtMs: Map<string, number>
  /** Response headers that the router does not decode, each with its replica. */
  readonly undecodedHeaders: Set<string>
  /** Replicas that crashed, and the requests that they were running. */
  readonly crashes: CrashRecords
  /** When callers that were refused for lack of capacity return, by service. */
  readonly returns: Map<string, ReturnSchedule>
  /** Mean time that queries of loads took lately. */
  queryTime: QueryTime
  /** Outcomes of recent runs, by service. */
  readonly runOutcomes: Map<string, RunOutcomes>
  /** Prefill time per prompt token, learned from responses. */
  prefillMsPerToken: number
  /** In-place prefill time per prompt token on decode replicas, learned from responses. */
  inPlaceMsPerToken: number
  /** Pool shares confirmed by operators; if absent, the pools stay unchanged. */
  poolIntent?: PoolIntent
  /** Measured load of the pools, by service. */
  readonly poolWork: Map<string, ObservedWork>
  /** Most recent stage orders, by service. */
  readonly poolOrders: Map<string, PoolOrder>
  /** Time of the last event. */
  lastEventAtMs: number
  /** Whether the process was paused and has not read the registrations since. */
  isRefreshPending: boolean
  seed: number
  /** Set once the process has been asked to stop. */
  stop?: { readonly askedAtMs: number, readonly killAtMs: number }
}

/** Estimated prefill time per token before the first measurement. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.03

/** In-place prefill time per token before the first measurement: half the speed, interleaved with a dozen other requests. */
const INITIAL_IN_PLACE_MS_PER_TOKEN = 0.15

/**
 * Creates the initial state of an entry.
 *
 * @param seed - seed of the random numbers
 * @param instanceId - name of the instance that this process runs on
 * @param decisions - settings that select or disable mechanisms
 * @param budgetLimits - limits of the retry budget of each service
 * @param crashLimits - when a request counts as the cause of crashes
 * @param credentialLimits - how long API keys stay valid without a verified configuration
 * @returns state without configuration, replicas and requests
 */
export function createRouterState (seed: number, instanceId: string, decisions: RouterDecisions = DEFAULT_DECISIONS, budgetLimits: BudgetLimits = DEFAULT_BUDGET_LIMITS, crashLimits: CrashLimits = DEFAULT_CRASH_LIMITS, credentialLimits: CredentialLimits = DEFAULT_CREDENTIAL_LIMITS): RouterState {
  return {
    instanceId,
    decisions,
    prioritizedServices: new Set(),
    credentialLimits,
    configVerifiedAtMs: -Infinity,
    heldArrivals: new Map(),
    replicas: new Map(),
    replicasCurrentAtMs: -Infinity,
    replaced: new Map(),
    departed: new Map(),
    foreign: new Map(),
    byAddress: new Map(),
    missing: new Set(),
    subset: new Set(),
    sparesByPool: new Map(),
    subsetSizes: new Map(),
    usedByService: new Map(),
    usedBySoftware: new Map(),
    softwareHistory: createSoftwareHistory(),
    origins: createStreamOrigins(-Infinity),
    resumableReviewAtMs: -Infinity,
    routedSinceMs: new Map(),
    isSubsetStale: false,
    requests: new Map(),
    capacityWaiters: new Set(),
    budgetLimits,
    budgets: new Map(),
    notices: new Map(),
    limits: new Map(),
    permitWaiters: new Set(),
    plainQueues: new Map(),
    lastPermitRetryAtMs: new Map(),
    undecodedHeaders: new Set(),
    crashes: createCrashRecords(crashLimits),
    returns: new Map(),
    queryTime: { meanMs: 0, atMs: 0 },
    runOutcomes: new Map(),
    prefillMsPerToken: INITIAL_PREFILL_MS_PER_TOKEN,
    inPlaceMsPerToken: INITIAL_IN_PLACE_MS_PER_TOKEN,
    poolWork: new Map(),
    poolOrders: new Map(),
    lastEventAtMs: -Infinity,
    isRefreshPending: false,
    seed
  }
}
