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
const OTHER_ROLE_AFTER_MS = TIMING.leaseMs + 2_000

/** Entries that see a key free look one after the other, within this. */
const SPREAD_MS = 600

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
  readonly take: (ask: UnitsAsk) => UnitsOutcome
  readonly giveBack: (ask: UnitsAsk) => void
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

interface Duty {
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
  const duties = new Map<AllotmentRole, Duty>()
  for (const role of ALLOTMENT_ROLES) {
    const election = joinElection({ port, clock, logger, key: keyOfRole(role), holder: encodeKeeper(own), timing: TIMING, takesOverOwn: true, newsOf: () => newsOf(role) })
    duties.set(role, { election })
  }
  let cancelLook: Teardown = () => {}

  function newsOf (role: AllotmentRole): HolderNews {
    const duty = duties.get(role)
    const place = placeOf(role)
    if (duty === undefined || !isNeeded()) return 'left_alone'
    if (place !== undefined && place.instanceId !== own.instanceId) {
      duty.freeSinceMs = undefined
      return 'held'
    }
    duty.freeSinceMs ??= clock.nowMs()
    return mayGetOther(role) && clock.nowMs() - duty.freeSinceMs < OTHER_ROLE_AFTER_MS ? 'left_alone' : 'free'
  }

  function mayGetOther (role: AllotmentRole): boolean {
    if (role === 'reserve' && placeOf('primary') === undefined) return true
    // The key-value service may tell of an own key before it has answered the write.
    return ALLOTMENT_ROLES.some((other) => other !== role && (duties.get(other)?.election.fence() !== undefined || placeOf(other)?.instanceId === own.instanceId))
  }

  // What another process granted under the duty before is not known, so that each time begins empty.
  function keeperOf (role: AllotmentRole): AllotmentKeeper | undefined {
    const duty = duties.get(role)
    const sinceMs = duty?.election.heldSinceMs()
    if (duty === undefined || sinceMs === undefined) return undefined
    if (duty.keeper?.sinceMs !== sinceMs) duty.keeper = createAllotmentKeeper(role, bounds, sinceMs)
    return duty.keeper
  }

  function take ({ customer: name, role, units }: UnitsAsk): UnitsOutcome {
    const keeper = keeperOf(role)
    const customer = customerOf(name)
    if (keeper === undefined || customer === undefined) return { type: 'unreachable' }
    return takeOfAllotment(keeper, customer, units, clock.nowMs())
  }

  function giveBack ({ customer: name, role, units }: UnitsAsk): void {
    const keeper = keeperOf(role)
    const customer = customerOf(name)
    if (keeper !== undefined && customer !== undefined) giveBackToAllotment(keeper, customer, units, clock.nowMs())
  }

  function lookNow (): void {
    for (const { election } of duties.values()) election.look()
  }

  function look (): void {
    cancelLook()
    cancelLook = clock.callAt(clock.nowMs() + Math.random() * SPREAD_MS, lookNow)
  }

  return {
    take,
    giveBack,
    keepOnly: (names) => { for (const { keeper } of duties.values()) if (keeper !== undefined) keepCustomers(keeper, names) },
    look,
    reclaim: lookNow,
    holds: (role) => duties.get(role)?.election.fence() !== undefined,
    close: combineTeardowns([() => cancelLook(), ...[...duties.values()].map(({ election }) => election.close)])
  }
}
