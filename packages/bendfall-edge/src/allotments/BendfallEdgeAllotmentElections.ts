/**
 * Joins the elections of the leaders that grant units of allotments, one for each role, and
 * grants units while this entry is a leader.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import type { Clock, Logger, Teardown } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { createAllotmentLeaderState, ELECTED_ROLES, giveBackToAllotment, electionDelayMs, retainCustomers, takeFromAllotment } from 'bendfall-router'
import type { AllotmentBounds, AllotmentLeaderState, AllotmentRole, Customer, RouterDecisions, UnitsOutcome } from 'bendfall-router'
import { joinElection } from '../pools/BendfallEdgeLeaderElection.js'
import type { LeaderElection, KeyAvailability, LeaseTiming } from '../pools/BendfallEdgeLeaderElection.js'
import { watchHolder } from '../peer/BendfallEdgeHolderWatch.js'
import type { HolderWatch } from '../peer/BendfallEdgeHolderWatch.js'
import type { LeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { decodeLeaderEndpoint, encodeLeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import type { PeerProbeOutcome } from '../peer/BendfallEdgePeerProbe.js'
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

/** The same for a key whose holder is known to have ended; short, since requests wait for the next leader. */
const TAKEOVER_JITTER_MS = 150

/** Request to take or give back units. */
export interface UnitsRequest {
  readonly role: AllotmentRole
  readonly customer: string
  readonly units: number
  /** When units are given back: term in which they were granted; absent if the leader runs an earlier version. */
  readonly term?: string
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
  /** @returns whether a role may be taken; the reserve only while earlier versions are fenced off theirs */
  readonly isOpen: (role: AllotmentRole) => boolean
  readonly decisions: Pick<RouterDecisions, 'allotmentInterim' | 'allotmentLeader' | 'allotmentTakeover'>
  /** Cores that this process may use. */
  readonly processorShare: number
  /** Checks whether a process listens at an address. */
  readonly probe: (address: string) => Promise<PeerProbeOutcome>
  /** Called when an election has read the key of a role, which another process holds. */
  readonly onLeaderRead: (role: AllotmentRole, entry: KeyValueEntry) => void
  /** Called when this entry becomes leader, or is about to, in place of one that has ended. */
  readonly onTakeover: (role: AllotmentRole) => void
}

/** Participation of this entry in the elections of all roles. */
export interface AllotmentElections {
  /** Takes units if this entry is the leader of the role; otherwise returns `unreachable`. */
  readonly take: (request: UnitsRequest) => UnitsOutcome
  /** Returns units to the term that granted them, if this entry still leads in it. */
  readonly giveBack: (request: UnitsRequest) => void
  /** Drops the state of customers that are no longer configured. */
  readonly keepOnly: (names: ReadonlySet<string>) => void
  /** Schedules a check for vacant roles after a change was reported. */
  readonly scheduleCheck: () => void
  /** Takes over the roles that a previous process of this instance was leading. */
  readonly reclaim: () => void
  /** Checks whether the leader of a role has ended, after a call to it failed. */
  readonly suspect: (role: AllotmentRole) => void
  /** Checks the same after another process became the leader. */
  readonly setLeaderChanged: (role: AllotmentRole) => void
  /** Schedules the takeover of roles whose leaders are known to have ended; the change of one leader may make this entry eligible for the other role. */
  readonly retryTakeovers: () => void
  /** Resigns from a role whose key another process has taken, by a write at the given revision. */
  readonly observeRevision: (role: AllotmentRole, revision: number) => void
  /** @returns whether this entry is the leader of a role */
  readonly holds: (role: AllotmentRole) => boolean
  /** Resigns from all roles and leaves the elections. */
  readonly close: Teardown
}

interface Candidacy {
  readonly election: LeaderElection
  readonly holder: HolderWatch
  keeper?: { readonly state: AllotmentLeaderState, readonly term: string }
  freeSinceMs?: number
}

/**
 * Joins the elections of all roles.
 *
 * @param options - key-value service, endpoint of this entry and customers
 * @returns the participation
 */
export function joinAllotmentElections (options: AllotmentElectionOptions): AllotmentElections {
  const { bounds, clock, customerOf, decisions: { allotmentInterim, allotmentLeader, allotmentTakeover: takeover }, isNeeded, isOpen, logger, onLeaderRead, onTakeover, own, leaderOf, port, probe, processorShare } = options
  const candidacies = new Map<AllotmentRole, Candidacy>()
  for (const role of ELECTED_ROLES) {
    const key = keyOfRole(role)
    const holder = watchHolder({ clock, logger, key, holder: () => otherLeaderOf(role), probe, onEnded: scheduleTakeover })
    const election = joinElection({
      port,
      clock,
      logger,
      key,
      holder: encodeLeaderEndpoint(own),
      timing: TIMING,
      reclaimsOwnKey: true,
      readAvailability: () => availabilityOf(role),
      onHolderRead: (entry) => onLeaderRead(role, entry),
      hasHolderEnded: async (value) => {
        const endpoint = decodeLeaderEndpoint(value, key)
        const hasEnded = endpoint.isOk() && endpoint.value.instanceId !== own.instanceId && await holder.verifyEnded(endpoint.value.address)
        if (hasEnded) onTakeover(role)
        return hasEnded
      }
    })
    candidacies.set(role, { election, holder })
  }
  let cancelCheck: Teardown = () => {}
  let cancelTakeover: Teardown | undefined

  function otherLeaderOf (role: AllotmentRole): LeaderEndpoint | undefined {
    const leader = leaderOf(role)
    return leader?.instanceId === own.instanceId ? undefined : leader
  }

  // A key that names this instance was written by its previous process, which has ended.
  const isOwnKey = (role: AllotmentRole): boolean => leaderOf(role)?.instanceId === own.instanceId

  const hasLeaderEnded = (role: AllotmentRole): boolean => takeover === 'on_proof' && candidacies.get(role)?.holder.hasEnded() === true

  function availabilityOf (role: AllotmentRole): KeyAvailability {
    const candidacy = candidacies.get(role)
    if (candidacy === undefined || !isNeeded() || !isOpen(role)) return 'left_alone'
    if (isOwnKey(role)) return 'free'
    const leader = leaderOf(role)
    if (leader !== undefined && !hasLeaderEnded(role)) {
      candidacy.freeSinceMs = undefined
      return 'held'
    }
    candidacy.freeSinceMs ??= clock.nowMs()
    if (clock.nowMs() - candidacy.freeSinceMs < electionDelayMs(allotmentLeader, processorShare, leader === undefined ? 'freed' : 'ended')) return 'left_alone'
    if (mayLeadOtherRole(role) && clock.nowMs() - candidacy.freeSinceMs < SECOND_ROLE_DELAY_MS) return 'left_alone'
    return leader === undefined ? 'free' : 'orphaned'
  }

  function mayLeadOtherRole (role: AllotmentRole): boolean {
    if (role === 'reserve' && (leaderOf('primary') === undefined || hasLeaderEnded('primary'))) return true
    // The watch may deliver this entry's own key before the write of it has returned.
    return ELECTED_ROLES.some((other) => other !== role && (candidacies.get(other)?.election.fence() !== undefined || isOwnKey(other)))
  }

  // What previous leaders granted is unknown, so each term starts with new state.
  function leaderStateOf (role: AllotmentRole): Candidacy['keeper'] {
    const candidacy = candidacies.get(role)
    const sinceMs = candidacy?.election.heldSinceMs()
    if (candidacy === undefined || sinceMs === undefined) return undefined
    if (candidacy.keeper?.state.sinceMs !== sinceMs) candidacy.keeper = { state: createAllotmentLeaderState(role, bounds, sinceMs, allotmentInterim), term: randomUUID() }
    return candidacy.keeper
  }

  function take ({ customer: name, role, units }: UnitsRequest): UnitsOutcome {
    const leaderState = leaderStateOf(role)
    const customer = customerOf(name)
    if (leaderState === undefined || customer === undefined) return { type: 'unreachable' }
    const outcome = takeFromAllotment(leaderState.state, customer, units, clock.nowMs())
    return outcome.type === 'granted' ? { ...outcome, term: leaderState.term } : outcome
  }

  function giveBack ({ customer: name, role, term, units }: UnitsRequest): void {
    const leaderState = leaderStateOf(role)
    const customer = customerOf(name)
    if (leaderState !== undefined && leaderState.term === term && customer !== undefined) giveBackToAllotment(leaderState.state, customer, units, clock.nowMs())
  }

  function checkNow (): void {
    for (const { election } of candidacies.values()) election.checkNow()
  }

  // The delay of smaller entries counts from the time at which a vacancy is learned.
  function startElectionDelays (): void {
    ELECTED_ROLES.forEach(availabilityOf)
  }

  function scheduleCheck (): void {
    cancelCheck()
    startElectionDelays()
    cancelCheck = clock.callAt(clock.nowMs() + electionDelayMs(allotmentLeader, processorShare, 'freed') + Math.random() * CHECK_JITTER_MS, checkNow)
  }

  function scheduleTakeover (): void {
    if (takeover !== 'on_proof') return
    startElectionDelays()
    if (cancelTakeover !== undefined) return
    cancelTakeover = clock.callAt(clock.nowMs() + electionDelayMs(allotmentLeader, processorShare, 'ended') + Math.random() * TAKEOVER_JITTER_MS, () => {
      cancelTakeover = undefined
      checkNow()
    })
  }

  return {
    take,
    giveBack,
    keepOnly: (names) => { for (const { keeper } of candidacies.values()) if (keeper !== undefined) retainCustomers(keeper.state, names) },
    scheduleCheck,
    reclaim: checkNow,
    suspect: (role) => { if (takeover === 'on_proof' && isNeeded()) candidacies.get(role)?.holder.suspect() },
    setLeaderChanged: (role) => { if (takeover === 'on_proof' && isNeeded()) candidacies.get(role)?.holder.setChanged() },
    retryTakeovers: () => { if (ELECTED_ROLES.some(hasLeaderEnded)) scheduleTakeover() },
    observeRevision: (role, revision) => candidacies.get(role)?.election.observeRevision(revision),
    holds: (role) => candidacies.get(role)?.election.fence() !== undefined,
    close: combineTeardowns([() => cancelCheck(), () => cancelTakeover?.(), ...[...candidacies.values()].map(({ election }) => election.close)])
  }
}
