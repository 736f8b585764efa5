/**
 * Takes part in the election of the entries that keep the allotments, and keeps them while
 * this entry holds a duty.
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
 * Times of the duty. A keeper goes on through an outage of the key-value service for as long
 * as keys are believed; one that is lost for good is replaced after the lease, for which the
 * reserve grants.
 */
const TIMING: LeaseTiming = { leaseMs: 5_000, renewMs: 1_000, marginMs: 500, firstLookMs: 1_000, longestLookMs: 2_000 }

/**
 * An entry that keeps one role, or could still get the first, takes the other only after it was free for so
 * long: lost with one instance, both would be missing. Longer than the wait for a holder of a former era,
 * after which all entries may take both.
 */
const SECOND_ROLE_DELAY_MS = TIMING.leaseMs + 2_000

/** Entries that see a key free look one after the other, within this. */
const CHECK_JITTER_MS = 600

/** Units to take or give back. */
export interface UnitsAsk {
  readonly role: AllotmentRole
  readonly customer: string
  readonly units: number
}

/** What the duties need. */
export interface AllotmentDutyOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  /** This entry, as the others find it. */
  readonly own: KeeperPlace
  readonly bounds: AllotmentBounds
  /** @returns customer of the configuration in force; undefined when it has none of that name */
  readonly customerOf: (name: string) => Customer | undefined
  /** @returns place of the keeper of a role, by the last word of the key-value service */
  readonly placeOf: (role: AllotmentRole) => KeeperPlace | undefined
  /** @returns whether the deployment has allotments that somebody must keep */
  readonly isNeeded: () => boolean
}

/** The duties of this entry. */
export interface AllotmentDuties {
  /** Takes units, if this entry holds the duty. */
  readonly take: (request: UnitsAsk) => UnitsOutcome
  readonly giveBack: (request: UnitsAsk) => void
  /** Forgets customers that the configuration no longer has. */
  readonly keepOnly: (names: ReadonlySet<string>) => void
  /** Looks whether a duty is free: news came of one. */
  readonly look: () => void
  /** Takes the duties over that a former process of this instance held. */
  readonly reclaim: () => void
  /** @returns whether this entry holds the duty */
  readonly holds: (role: AllotmentRole) => boolean
  /** Leaves the duties to others. */
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
 * @param options - service, place and customers
 * @returns the duties
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
    // The key-value service may tell of an own key before it has answered the write.
    return ALLOTMENT_ROLES.some((other) => other !== role && (candidacies.get(other)?.election.fence() !== undefined || placeOf(other)?.instanceId === own.instanceId))
  }

  // What another process granted under the duty before is not known, so that each time begins empty.
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
