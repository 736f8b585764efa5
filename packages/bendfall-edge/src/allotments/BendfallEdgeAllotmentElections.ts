/**
 * Joins the elections of the leaders that grant units of allotments, one for each role, and
 * grants units while this entry is a leader.
 *
 * @module
 */
import type { Clock, Logger, Teardown } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import { ALLOTMENT_ROLES, createAllotmentLeaderState, giveBackToAllotment, retainCustomers, takeFromAllotment } from 'bendfall-router'
import type { AllotmentBounds, AllotmentLeaderState, AllotmentRole, Customer, UnitsOutcome } from 'bendfall-router'
import { joinElection } from '../pools/BendfallEdgeLeaderElection.js'
import type { LeaderElection, KeyAvailability, LeaseTiming } from '../pools/BendfallEdgeLeaderElection.js'
import type { LeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { encodeLeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { keyOfRole } from './BendfallEdgeAllotmentDocument.js'

/**
 * Timing of the elections. A leader continues through an outage of the key-value service for as
 * long as cached customer keys stay valid. A leader that is lost for good is replaced once its
 * lease has lapsed; until then the reserve grants.
 */
const TIMING: LeaseTiming = { leaseMs: 5_000, renewMs: 1_000, marginMs: 500, minCheckIntervalMs: 1_000, maxCheckIntervalMs: 2_000 }

/**
 * An entry that leads one role, or may still be elected primary, takes the other role only after
 * it has been vacant for this long: if one instance led both, its loss would remove both. Longer
 * than the wait for a leader of a previous era, after which every entry may take both.
 */
const SECOND_ROLE_DELAY_MS = TIMING.leaseMs + 2_000

/** Maximum random delay before an entry checks a key that became free, so that entries don't check all at once. */
const CHECK_JITTER_MS = 600

/** Request to take or give back units. */
export interface UnitsRequest {
  readonly role: AllotmentRole
  readonly customer: string
  readonly units: number
}

/** Options of the elections. */
export interface AllotmentElectionOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  /** Endpoint of this entry, which it announces when elected. */
  readonly own: LeaderEndpoint
  readonly bounds: AllotmentBounds
  /** @returns the customer in the active configuration; undefined if the name is unknown */
  readonly customerOf: (name: string) => Customer | undefined
  /** @returns endpoint of the leader of a role by the last update from the key-value service */
  readonly leaderOf: (role: AllotmentRole) => LeaderEndpoint | undefined
  /** @returns whether any customer has an allotment, so that leaders are needed */
  readonly isNeeded: () => boolean
}

/** Participation of this entry in the elections of all roles. */
export interface AllotmentElections {
  /** Takes units if this entry is the leader of the role; otherwise returns `unreachable`. */
  readonly take: (request: UnitsRequest) => UnitsOutcome
  readonly giveBack: (request: UnitsRequest) => void
  /** Drops the state of customers that are no longer configured. */
  readonly keepOnly: (names: ReadonlySet<string>) => void
  /** Schedules a check for vacant roles after a change was reported. */
  readonly scheduleCheck: () => void
  /** Takes over the roles that a previous process of this instance was leading. */
  readonly reclaim: () => void
  /** @returns whether this entry is the leader of a role */
  readonly holds: (role: AllotmentRole) => boolean
  /** Resigns from all roles and leaves the elections. */
  readonly close: Teardown
}

interface Candidacy {
  readonly election: LeaderElection
  keeper?: AllotmentLeaderState
  freeSinceMs?: number
}

/**
 * Joins the elections of all roles.
 *
 * @param options - key-value service, endpoint of this entry and customers
 * @returns the participation
 */
export function joinAllotmentElections (options: AllotmentElectionOptions): AllotmentElections {
  const { bounds, clock, customerOf, isNeeded, logger, own, leaderOf, port } = options
  const candidacies = new Map<AllotmentRole, Candidacy>()
  for (const role of ALLOTMENT_ROLES) {
    const election = joinElection({ port, clock, logger, key: keyOfRole(role), holder: encodeLeaderEndpoint(own), timing: TIMING, reclaimsOwnKey: true, readAvailability: () => availabilityOf(role) })
    candidacies.set(role, { election })
  }
  let cancelCheck: Teardown = () => {}

  function availabilityOf (role: AllotmentRole): KeyAvailability {
    const candidacy = candidacies.get(role)
    const leader = leaderOf(role)
    if (candidacy === undefined || !isNeeded()) return 'left_alone'
    if (leader !== undefined && leader.instanceId !== own.instanceId) {
      candidacy.freeSinceMs = undefined
      return 'held'
    }
    candidacy.freeSinceMs ??= clock.nowMs()
    return mayLeadOtherRole(role) && clock.nowMs() - candidacy.freeSinceMs < SECOND_ROLE_DELAY_MS ? 'left_alone' : 'free'
  }

  function mayLeadOtherRole (role: AllotmentRole): boolean {
    if (role === 'reserve' && leaderOf('primary') === undefined) return true
    // The watch may deliver this entry's own key before the write of it has returned.
    return ALLOTMENT_ROLES.some((other) => other !== role && (candidacies.get(other)?.election.fence() !== undefined || leaderOf(other)?.instanceId === own.instanceId))
  }

  // What previous leaders granted is unknown, so each term starts with new state.
  function leaderStateOf (role: AllotmentRole): AllotmentLeaderState | undefined {
    const candidacy = candidacies.get(role)
    const sinceMs = candidacy?.election.heldSinceMs()
    if (candidacy === undefined || sinceMs === undefined) return undefined
    if (candidacy.keeper?.sinceMs !== sinceMs) candidacy.keeper = createAllotmentLeaderState(role, bounds, sinceMs)
    return candidacy.keeper
  }

  function take ({ customer: name, role, units }: UnitsRequest): UnitsOutcome {
    const leaderState = leaderStateOf(role)
    const customer = customerOf(name)
    if (leaderState === undefined || customer === undefined) return { type: 'unreachable' }
    return takeFromAllotment(leaderState, customer, units, clock.nowMs())
  }

  function giveBack ({ customer: name, role, units }: UnitsRequest): void {
    const leaderState = leaderStateOf(role)
    const customer = customerOf(name)
    if (leaderState !== undefined && customer !== undefined) giveBackToAllotment(leaderState, customer, units, clock.nowMs())
  }

  function checkNow (): void {
    for (const { election } of candidacies.values()) election.checkNow()
  }

  function scheduleCheck (): void {
    cancelCheck()
    cancelCheck = clock.callAt(clock.nowMs() + Math.random() * CHECK_JITTER_MS, checkNow)
  }

  return {
    take,
    giveBack,
    keepOnly: (names) => { for (const { keeper } of candidacies.values()) if (keeper !== undefined) retainCustomers(keeper, names) },
    scheduleCheck,
    reclaim: checkNow,
    holds: (role) => candidacies.get(role)?.election.fence() !== undefined,
    close: combineTeardowns([() => cancelCheck(), ...[...candidacies.values()].map(({ election }) => election.close)])
  }
}
