/**
 * Joins the elections of the leaders that grant units of allotments, one for each role, and
 * grants units while this entry is a leader.
 *
 * @module
 */
import type { Clock, Logger, Teardown } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import { ALLOTMENT_ROLES, createAllotmentKeeper, giveBackToAllotment, keepCustomers, takeOfAllotment } from 'bendfall-router'
import type { AllotmentBounds, AllotmentKeeper, AllotmentRole, Customer, UnitsOutcome } from 'bendfall-router'
import { joinElection } from '../pools/BendfallEdgeHolderLease.js'
import type { HolderLease, HolderNews, LeaseTiming } from '../pools/BendfallEdgeHolderLease.js'
import type { KeeperPlace } from '../peer/BendfallEdgeKeeperPlace.js'
import { encodeKeeper } from '../peer/BendfallEdgeKeeperPlace.js'
import { keyOfRole } from './BendfallEdgeAllotmentDocument.js'

/**
 * Timing of the elections. A leader continues through an outage of the key-value service for as
 * long as cached customer keys stay valid. A leader that is lost for good is replaced once its
 * lease has lapsed; until then the reserve grants.
 */
const TIMING: LeaseTiming = { leaseMs: 5_000, renewMs: 1_000, marginMs: 500, firstLookMs: 1_000, longestLookMs: 2_000 }

/**
 * An entry that leads one role, or may still be elected primary, takes the other role only after
 * it has been vacant for this long: if one instance led both, its loss would remove both. Longer
 * than the wait for a leader of a previous era, after which every entry may take both.
 */
const SECOND_ROLE_DELAY_MS = TIMING.leaseMs + 2_000

/** Maximum random delay before an entry checks a key that became free, so that entries don't check all at once. */
const CHECK_JITTER_MS = 600

/** Request to take or give back units. */
export interface UnitsAsk {
  readonly role: AllotmentRole
  readonly customer: string
  readonly units: number
}

/** Options of the elections. */
export interface AllotmentDutyOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  /** Endpoint of this entry, which it announces when elected. */
  readonly own: KeeperPlace
  readonly bounds: AllotmentBounds
  /** @returns the customer in the active configuration; undefined if the name is unknown */
  readonly customerOf: (name: string) => Customer | undefined
  /** @returns endpoint of the leader of a role by the last update from the key-value service */
  readonly placeOf: (role: AllotmentRole) => KeeperPlace | undefined
  /** @returns whether any customer has an allotment, so that leaders are needed */
  readonly isNeeded: () => boolean
}

/** Participation of this entry in the elections of all roles. */
export interface AllotmentDuties {
  /** Takes units if this entry is the leader of the role; otherwise returns `unreachable`. */
  readonly take: (request: UnitsAsk) => UnitsOutcome
  readonly giveBack: (request: UnitsAsk) => void
  /** Drops the state of customers that are no longer configured. */
  readonly keepOnly: (names: ReadonlySet<string>) => void
  /** Schedules a check for vacant roles after a change was reported. */
  readonly look: () => void
  /** Takes over the roles that a previous process of this instance was leading. */
  readonly reclaim: () => void
  /** @returns whether this entry is the leader of a role */
  readonly holds: (role: AllotmentRole) => boolean
  /** Resigns from all roles and leaves the elections. */
  readonly close: Teardown
}

interface Candidacy {
  readonly election: HolderLease
  keeper?: AllotmentKeeper
  freeSinceMs?: number
}

/**
 * Joins the elections of all roles.
 *
 * @param options - key-value service, endpoint of this entry and customers
 * @returns the participation
 */
export function joinAllotmentDuties (options: AllotmentDutyOptions): AllotmentDuties {
  const { bounds, clock, customerOf, isNeeded, logger, own, placeOf, port } = options
  const candidacies = new Map<AllotmentRole, Candidacy>()
  for (const role of ALLOTMENT_ROLES) {
    const election = joinElection({ port, clock, logger, key: keyOfRole(role), holder: encodeKeeper(own), timing: TIMING, takesOverOwn: true, readAvailability: () => availabilityOf(role) })
    candidacies.set(role, { election })
  }
  let cancelCheck: Teardown = () => {}

  function availabilityOf (role: AllotmentRole): HolderNews {
    const candidacy = candidacies.get(role)
    const leader = placeOf(role)
    if (candidacy === undefined || !isNeeded()) return 'left_alone'
    if (leader !== undefined && leader.instanceId !== own.instanceId) {
      candidacy.freeSinceMs = undefined
      return 'held'
    }
    candidacy.freeSinceMs ??= clock.nowMs()
    return mayLeadOtherRole(role) && clock.nowMs() - candidacy.freeSinceMs < SECOND_ROLE_DELAY_MS ? 'left_alone' : 'free'
  }

  function mayLeadOtherRole (role: AllotmentRole): boolean {
    if (role === 'reserve' && placeOf('primary') === undefined) return true
    // The watch may deliver this entry's own key before the write of it has returned.
    return ALLOTMENT_ROLES.some((other) => other !== role && (candidacies.get(other)?.election.fence() !== undefined || placeOf(other)?.instanceId === own.instanceId))
  }

  // What previous leaders granted is unknown, so each term starts with new state.
  function leaderStateOf (role: AllotmentRole): AllotmentKeeper | undefined {
    const candidacy = candidacies.get(role)
    const sinceMs = candidacy?.election.heldSinceMs()
    if (candidacy === undefined || sinceMs === undefined) return undefined
    if (candidacy.keeper?.sinceMs !== sinceMs) candidacy.keeper = createAllotmentKeeper(role, bounds, sinceMs)
    return candidacy.keeper
  }

  function take ({ customer: name, role, units }: UnitsAsk): UnitsOutcome {
    const leaderState = leaderStateOf(role)
    const customer = customerOf(name)
    if (leaderState === undefined || customer === undefined) return { type: 'unreachable' }
    return takeOfAllotment(leaderState, customer, units, clock.nowMs())
  }

  function giveBack ({ customer: name, role, units }: UnitsAsk): void {
    const leaderState = leaderStateOf(role)
    const customer = customerOf(name)
    if (leaderState !== undefined && customer !== undefined) giveBackToAllotment(leaderState, customer, units, clock.nowMs())
  }

  function checkNow (): void {
    for (const { election } of candidacies.values()) election.look()
  }

  function look (): void {
    cancelCheck()
    cancelCheck = clock.callAt(clock.nowMs() + Math.random() * CHECK_JITTER_MS, checkNow)
  }

  return {
    take,
    giveBack,
    keepOnly: (names) => { for (const { keeper } of candidacies.values()) if (keeper !== undefined) keepCustomers(keeper, names) },
    look,
    reclaim: checkNow,
    holds: (role) => candidacies.get(role)?.election.fence() !== undefined,
    close: combineTeardowns([() => cancelCheck(), ...[...candidacies.values()].map(({ election }) => election.close)])
  }
}
