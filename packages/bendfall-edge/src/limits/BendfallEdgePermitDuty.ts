/**
 * Joins the election of the leader that enforces the request rate limits advertised by
 * replicas, and leases permits to entries while this entry is the leader.
 *
 * @module
 */
import type { Clock, Logger, Teardown } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import { createPermitKeeper, leasePermits, namedLimits } from 'bendfall-router'
import type { PermitAsk, PermitKeeper, PermitOutcome } from 'bendfall-router'
import type { KeeperPlace } from '../peer/BendfallEdgeKeeperPlace.js'
import { encodeKeeper } from '../peer/BendfallEdgeKeeperPlace.js'
import { joinElection } from '../pools/BendfallEdgeHolderLease.js'
import type { HolderNews, LeaseTiming } from '../pools/BendfallEdgeHolderLease.js'
import { createLimitPublisher } from './BendfallEdgeLimitDocument.js'

/** Key that the leader holds. */
export const PERMITS_KEY = 'bendfall/limits/keeper'

/** Timing of the election. The lease is short because replicas whose permits are used up get no requests while there is no leader. */
const TIMING: LeaseTiming = { leaseMs: 2_000, renewMs: 500, marginMs: 300, firstLookMs: 400, longestLookMs: 1_000 }

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
export interface PermitDutyOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  /** Endpoint of this entry, which it announces when elected. */
  readonly own: KeeperPlace
  /** @returns endpoint of the leader by the last update from the key-value service */
  readonly placeOf: () => KeeperPlace | undefined
}

/** Participation of this entry in the election. */
export interface PermitDuty {
  /** Leases permits while this entry is the leader and for a grace period afterwards; otherwise returns `unreachable`. */
  readonly lease: (request: PermitAsk) => PermitOutcome
  /** Schedules a check of the key after a change was reported. */
  readonly look: () => void
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
export function joinPermitDuty ({ clock, logger, own, placeOf, port }: PermitDutyOptions): PermitDuty {
  const candidateFromMs = clock.nowMs() + Math.random() * CHECK_JITTER_MS
  const election = joinElection({ port, clock, logger, key: PERMITS_KEY, holder: encodeKeeper(own), timing: TIMING, takesOverOwn: true, readAvailability })
  const publisher = createLimitPublisher({ port, clock, logger })
  let leaderState: PermitKeeper | undefined
  let hasResigned = false
  let cancelCheck: Teardown = () => {}

  function readAvailability (): HolderNews {
    const leader = placeOf()
    if (leader !== undefined && leader.instanceId !== own.instanceId) return 'held'
    return leader === undefined && clock.nowMs() < candidateFromMs ? 'left_alone' : 'free'
  }

  // What previous leaders leased is unknown, so each term starts with new state.
  function currentShare (): number {
    const term = election.lastHeld()
    if (term === undefined || hasResigned) return 0
    if (leaderState?.sinceMs !== term.sinceMs) leaderState = createPermitKeeper(term.sinceMs)
    if (election.fence() !== undefined) return 1
    return placeOf()?.instanceId === own.instanceId && clock.nowMs() - term.untilMs < EXPIRED_LEASE_GRACE_MS ? EXPIRED_LEASE_SHARE : 0
  }

  function lease (request: PermitAsk): PermitOutcome {
    const share = currentShare()
    if (leaderState === undefined || share === 0) return { type: 'unreachable' }
    const previousPerS = leaderState.limits.get(request.processName)?.perS
    const outcome = leasePermits(leaderState, request, clock.nowMs(), share)
    if (leaderState.limits.get(request.processName)?.perS !== previousPerS) publisher.publish(namedLimits(leaderState))
    return outcome
  }

  return {
    lease,
    look: () => {
      cancelCheck()
      cancelCheck = clock.callAt(clock.nowMs() + Math.random() * CHECK_JITTER_MS, election.look)
    },
    holds: () => election.fence() !== undefined,
    close: combineTeardowns([() => cancelCheck(), () => { hasResigned = true }, publisher.close, election.close])
  }
}
