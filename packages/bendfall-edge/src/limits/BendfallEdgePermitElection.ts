/**
 * Joins the election of the leader that enforces the request rate limits advertised by
 * replicas, and leases permits to entries while this entry is the leader.
 *
 * @module
 */
import type { Clock, Logger, Teardown } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import { createPermitLeaderState, leasePermits, namedLimits } from 'bendfall-router'
import type { PermitRequest, PermitLeaderState, PermitOutcome } from 'bendfall-router'
import type { LeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { encodeLeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { joinElection } from '../pools/BendfallEdgeLeaderElection.js'
import type { KeyAvailability, LeaseTiming } from '../pools/BendfallEdgeLeaderElection.js'
import { createLimitPublisher } from './BendfallEdgeLimitDocument.js'

/** Key that the leader holds. */
export const PERMITS_KEY = 'bendfall/limits/keeper'

/** Timing of the election. The lease is short because replicas whose permits are used up get no requests while there is no leader. */
const TIMING: LeaseTiming = { leaseMs: 2_000, renewMs: 500, marginMs: 300, minCheckIntervalMs: 400, maxCheckIntervalMs: 1_000 }

/** Maximum random delay before an entry takes a key that became free, so that entries don't take it all at once. */
const CHECK_JITTER_MS = 300

/**
 * A leader that can't reach the key-value service leases this share of each limit for a time
 * after its lease has lapsed. The platform's tolerance above a limit covers this share together
 * with a leader that the other entries elected meanwhile.
 */
const EXPIRED_LEASE_SHARE = 0.25
const EXPIRED_LEASE_GRACE_MS = 10_000

/** Options of the election. */
export interface PermitElectionOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  /** Endpoint of this entry, which it announces when elected. */
  readonly own: LeaderEndpoint
  /** @returns endpoint of the leader by the last update from the key-value service */
  readonly currentLeader: () => LeaderEndpoint | undefined
}

/** Participation of this entry in the election. */
export interface PermitElection {
  /** Leases permits while this entry is the leader and for a grace period afterwards; otherwise returns `unreachable`. */
  readonly lease: (request: PermitRequest) => PermitOutcome
  /** Schedules a check of the key after a change was reported. */
  readonly scheduleCheck: () => void
  /** @returns whether this entry is the leader */
  readonly holds: () => boolean
  /** Resigns and leaves the election. */
  readonly close: Teardown
}

/**
 * Joins the election.
 *
 * @param options - key-value service and endpoint of this entry
 * @returns the participation
 */
export function joinPermitElection ({ clock, logger, own, currentLeader, port }: PermitElectionOptions): PermitElection {
  const candidateFromMs = clock.nowMs() + Math.random() * CHECK_JITTER_MS
  const election = joinElection({ port, clock, logger, key: PERMITS_KEY, holder: encodeLeaderEndpoint(own), timing: TIMING, reclaimsOwnKey: true, readAvailability })
  const publisher = createLimitPublisher({ port, clock, logger })
  let leaderState: PermitLeaderState | undefined
  let hasResigned = false
  let cancelCheck: Teardown = () => {}

  function readAvailability (): KeyAvailability {
    const leader = currentLeader()
    if (leader !== undefined && leader.instanceId !== own.instanceId) return 'held'
    return leader === undefined && clock.nowMs() < candidateFromMs ? 'left_alone' : 'free'
  }

  // What previous leaders leased is unknown, so each term starts with new state.
  function currentShare (): number {
    const term = election.lastTerm()
    if (term === undefined || hasResigned) return 0
    if (leaderState?.sinceMs !== term.sinceMs) leaderState = createPermitLeaderState(term.sinceMs)
    if (election.fence() !== undefined) return 1
    return currentLeader()?.instanceId === own.instanceId && clock.nowMs() - term.untilMs < EXPIRED_LEASE_GRACE_MS ? EXPIRED_LEASE_SHARE : 0
  }

  function lease (request: PermitRequest): PermitOutcome {
    const share = currentShare()
    if (leaderState === undefined || share === 0) return { type: 'unreachable' }
    const previousPerS = leaderState.limits.get(request.processName)?.perS
    const outcome = leasePermits(leaderState, request, clock.nowMs(), share)
    if (leaderState.limits.get(request.processName)?.perS !== previousPerS) publisher.publish(namedLimits(leaderState))
    return outcome
  }

  return {
    lease,
    scheduleCheck: () => {
      cancelCheck()
      cancelCheck = clock.callAt(clock.nowMs() + Math.random() * CHECK_JITTER_MS, election.checkNow)
    },
    holds: () => election.fence() !== undefined,
    close: combineTeardowns([() => cancelCheck(), () => { hasResigned = true }, publisher.close, election.close])
  }
}
