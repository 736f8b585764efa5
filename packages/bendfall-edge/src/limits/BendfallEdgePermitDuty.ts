/**
 * Takes part in the election of the entry that keeps the limits which replicas name, and
 * leases permits while this entry holds that duty.
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

/** Key of the entry that keeps the limits. */
export const PERMITS_KEY = 'bendfall/limits/keeper'

/** Times of the duty: while nobody holds it, replicas in need get nothing, so that the lease is short. */
const TIMING: LeaseTiming = { leaseMs: 2_000, renewMs: 500, marginMs: 300, firstLookMs: 400, longestLookMs: 1_000 }

/** Entries that see the key free take it one after the other, within this. */
const CHECK_JITTER_MS = 300

/**
 * A keeper that does not reach the key-value service leases a part of the limits for a time after
 * its lease: what the platform allows beyond a limit suffices for it and for a keeper that others chose.
 */
const EXPIRED_LEASE_SHARE = 0.25
const EXPIRED_LEASE_GRACE_MS = 10_000

/** What the duty needs. */
export interface PermitDutyOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  /** This entry, as the others find it. */
  readonly own: KeeperPlace
  /** @returns place of the keeper by the last word of the key-value service */
  readonly placeOf: () => KeeperPlace | undefined
}

/** The duty of this entry. */
export interface PermitDuty {
  /** Leases permits, if this entry holds the duty. */
  readonly lease: (request: PermitAsk) => PermitOutcome
  /** Looks whether the duty is free: news came of it. */
  readonly look: () => void
  /** @returns whether this entry holds the duty */
  readonly holds: () => boolean
  /** Leaves the duty to others. */
  readonly close: Teardown
}

/**
 * Joins the election.
 *
 * @param options - service and place
 * @returns the duty
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

  // What another process leased under the duty before is not known, so that each time begins anew.
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
