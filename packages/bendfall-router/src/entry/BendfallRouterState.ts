/**
 * State of the entry: its requests, and what it believes of replicas. The
 * reducer alone changes it.
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
import { DEFAULT_BUDGET_LIMITS } from './BendfallRouterBudget.js'
import type { BudgetLimits, RetryBudget } from './BendfallRouterBudget.js'
import type { DepartedReplica } from './BendfallRouterDeparted.js'
import type { CallerWaits } from './BendfallRouterCallerWaits.js'
import type { Arrival } from './BendfallRouterEvents.js'
import type { RecentSends } from './BendfallRouterRecentSends.js'
import type { RunOutcomes } from './BendfallRouterRefusals.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** What this process believes of a replica's answers to the requests of one route. */
export interface RouteBelief {
  /** Keys of the requests that are open there for too long. */
  readonly overdue: Set<string>
  /** Such requests that ended without an answer, in a row. */
  hung: number
  /** No request of the route is sent there before this time unless nothing else is left. */
  stalledUntilMs: number
}

/** What this process believes of a replica. */
export interface ReplicaBelief {
  replica: Replica
  /** Rank among the replicas that this entry may use. */
  readonly subsetScore: number
  load?: ReplicaLoad
  loadAtMs: number
  /** Requests of this process that run there. */
  inFlight: number
  /** Sends of the last second. */
  readonly recentSends: RecentSends
  /** Tokens that this process booked there since the last load. */
  bookedSinceLoad: number
  /** Tokens of this process whose requests run there, for when no ledger answers. */
  ownTokens: number
  /** Prompt tokens that this process has in prefill there; none at decode replicas. */
  prefillTokens: number
  /** Prompt tokens that this process had read there and that its last load does not tell of. */
  prefillSinceLoad: number
  /** Time of its prefills over the time expected without it; 1 is the mean replica. */
  prefillPace: number
  /** Share of recent answers that failed, 0 to 1. */
  failureShare: number
  /** Mean time of an answer; 0 while none is known. */
  latencyMs: number
  consecutiveFailures: number
  /** By name of the route; none while answers come in time. */
  readonly routes: Map<string, RouteBelief>
  /** Not used before this time unless nothing else is left. */
  suspectUntilMs: number
  /** Calls of its ledger that had no answer, in a row. */
  ledgerFailures: number
  /** Its ledger is not asked before this time. */
  ledgerDownUntilMs: number
}

/** Work of a service's pools, as its holder has seen it. */
export interface ObservedWork {
  readonly work: PoolWork
  /** Begin of the observation: when the lease or the last change was new. */
  readonly sinceMs: number
  readonly readings: number
}

/** Orders that were given together. */
export interface PoolOrder {
  readonly replicaIds: readonly string[]
  /** Stage that they change to. */
  readonly stage: ReplicaStage
  readonly orderedAtMs: number
  /** Until when the pools are left alone, so that its effect is seen. */
  settledAtMs: number
}

/** State of the entry. */
export interface RouterState {
  /** Name of the instance of this process. */
  readonly instanceId: string
  readonly decisions: RouterDecisions
  config?: RouterConfig
  /** Customers of the configuration, by their keys. */
  customerIndex?: CustomerIndex
  readonly credentialLimits: CredentialLimits
  /** Time up to which all versions of the configuration are known; moves back by suspensions of the machine. */
  configProvenAtMs: number
  /** Requests that came while the process did not know whether their keys still hold, by key. */
  readonly heldArrivals: Map<string, Arrival>
  readonly replicas: Map<string, ReplicaBelief>
  /** When the key-value service last told all changes of the registrations. */
  replicasCurrentAtMs: number
  /** Replicas whose address another one has, by id, with the id of that one. */
  readonly replaced: Map<string, string>
  /** Last words of replicas whose registration is gone, by id. */
  readonly departed: Map<string, DepartedReplica>
  /** Registrations that name no replica of a service of the configuration, by id. */
  readonly foreign: Map<string, Replica>
  /** Ids of the replicas, by address. */
  readonly byAddress: Map<string, string>
  /** Replicas whose registration is missing after an outage: it lapsed in it, or they leave. */
  readonly missing: Set<string>
  /** Model replicas that this entry uses. */
  readonly subset: Set<string>
  /** Those and the replicas without a model, by service. */
  readonly usedByService: Map<string, ReplicaBelief[]>
  /** Whether a replica came, went, drains or changed its pool since the subset was chosen. */
  isSubsetStale: boolean
  readonly requests: Map<string, RequestState>
  /** Longest time that callers of a route were seen to wait, by the route's name. */
  readonly longestWaitMs: Map<string, number>
  /** How long callers of a route wait, by the route's name. */
  readonly callerWaits: Map<string, CallerWaits>
  /** What retries of a service may cost. */
  readonly budgetLimits: BudgetLimits
  readonly budgets: Map<string, RetryBudget>
  /** What replicas said of themselves. */
  readonly notices: ReplicaNotices
  /** Limits that replicas name, with permits for sends to them. */
  readonly limits: ReplicaLimits
  /** Keys of the requests that wait for a permit. */
  readonly permitWaiters: Set<string>
  /** When the last caller is to return that was refused for want of a permit, by service. */
  readonly permitReturns: Map<string, number>
  /** Headers in which replicas said what is not decoded, with the replica. */
  readonly undecoded: Set<string>
  /** Replicas that crashed, and the requests they ran. */
  readonly crashes: CrashRecords
  /** By service. */
  readonly runOutcomes: Map<string, RunOutcomes>
  /** Speed of prefill, learned from answers. */
  prefillMsPerToken: number
  /** Speed at which decode replicas read prompts beside their other work, learned from answers. */
  inPlaceMsPerToken: number
  /** What operators confirmed for the pools; absent: they stay as they are. */
  poolIntent?: PoolIntent
  /** Measured work of the pools, by service. */
  readonly poolWork: Map<string, ObservedWork>
  /** Last orders for the pools, by service. */
  readonly poolOrders: Map<string, PoolOrder>
  /** When the last event came. */
  lastEventAtMs: number
  /** Whether the process stood still and has not read the registrations since. */
  isUnsure: boolean
  seed: number
  /** Set once the process is to stop. */
  stop?: { readonly askedAtMs: number, readonly killAtMs: number }
}

/** Time to read a prompt token before any was measured: 33 tokens a millisecond on the users' engines. */
const FIRST_PREFILL_MS_PER_TOKEN = 0.03

/** The same at a decode replica before any was measured: half the speed, in turns with a dozen other requests. */
const FIRST_IN_PLACE_MS_PER_TOKEN = 0.15

/**
 * Makes the state of an entry that knows nothing yet.
 *
 * @param seed - of the random numbers
 * @param instanceId - name of the instance of this process
 * @param decisions - switches of its mechanisms
 * @param budgetLimits - what retries may cost
 * @param crashLimits - when a request counts as the cause of crashes
 * @param credentialLimits - how long keys are believed
 * @returns the state
 */
export function createRouterState (seed: number, instanceId: string, decisions: RouterDecisions = DEFAULT_DECISIONS, budgetLimits: BudgetLimits = DEFAULT_BUDGET_LIMITS, crashLimits: CrashLimits = DEFAULT_CRASH_LIMITS, credentialLimits: CredentialLimits = DEFAULT_CREDENTIAL_LIMITS): RouterState {
  return {
    instanceId,
    decisions,
    credentialLimits,
    configProvenAtMs: -Infinity,
    heldArrivals: new Map(),
    replicas: new Map(),
    replicasCurrentAtMs: -Infinity,
    replaced: new Map(),
    departed: new Map(),
    foreign: new Map(),
    byAddress: new Map(),
    missing: new Set(),
    subset: new Set(),
    usedByService: new Map(),
    isSubsetStale: false,
    requests: new Map(),
    longestWaitMs: new Map(),
    callerWaits: new Map(),
    budgetLimits,
    budgets: new Map(),
    notices: new Map(),
    limits: new Map(),
    permitWaiters: new Set(),
    permitReturns: new Map(),
    undecoded: new Set(),
    crashes: createCrashRecords(crashLimits),
    runOutcomes: new Map(),
    prefillMsPerToken: FIRST_PREFILL_MS_PER_TOKEN,
    inPlaceMsPerToken: FIRST_IN_PLACE_MS_PER_TOKEN,
    poolWork: new Map(),
    poolOrders: new Map(),
    lastEventAtMs: -Infinity,
    isUnsure: false,
    seed
  }
}
