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
const SPREAD_MS = 300

/**
 * A keeper that does not reach the key-value service leases a part of the limits for a time after
 * its lease: what the platform allows beyond a limit suffices for it and for a keeper that others chose.
 */
const LAPSED_SHARE = 0.25
const LAPSED_MS = 10_000

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
  readonly lease: (ask: PermitAsk) => PermitOutcome
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
  const mayLookAtMs = clock.nowMs() + Math.random() * SPREAD_MS
  const election = joinElection({ port, clock, logger, key: PERMITS_KEY, holder: encodeKeeper(own), timing: TIMING, takesOverOwn: true, newsOf })
  const publisher = createLimitPublisher({ port, clock, logger })
  let keeper: PermitKeeper | undefined
  let isLeft = false
  let cancelLook: Teardown = () => {}

  function newsOf (): HolderNews {
    const place = placeOf()
    if (place !== undefined && place.instanceId !== own.instanceId) return 'held'
    return place === undefined && clock.nowMs() < mayLookAtMs ? 'left_alone' : 'free'
  }

  // What another process leased under the duty before is not known, so that each time begins anew.
  function shareNow (): number {
    const span = election.lastHeld()
    if (span === undefined || isLeft) return 0
    if (keeper?.sinceMs !== span.sinceMs) keeper = createPermitKeeper(span.sinceMs)
    if (election.fence() !== undefined) return 1
    return placeOf()?.instanceId === own.instanceId && clock.nowMs() - span.untilMs < LAPSED_MS ? LAPSED_SHARE : 0
  }

  function lease (ask: PermitAsk): PermitOutcome {
    const share = shareNow()
    if (keeper === undefined || share === 0) return { type: 'unreachable' }
    const former = keeper.limits.get(ask.processName)?.perS
    const outcome = leasePermits(keeper, ask, clock.nowMs(), share)
    if (keeper.limits.get(ask.processName)?.perS !== former) publisher.publish(namedLimits(keeper))
    return outcome
  }

  return {
    lease,
    look: () => {
      cancelLook()
      cancelLook = clock.callAt(clock.nowMs() + Math.random() * SPREAD_MS, election.look)
    },
    holds: () => election.fence() !== undefined,
    close: combineTeardowns([() => cancelLook(), () => { isLeft = true }, publisher.close, election.close])
  }
}
