/**
 * The one lease of a holder, whatever the number of its slots.
 *
 * @module
 */
import type { KeyValuePort } from 'bendfall-platform'
import type { Clock } from '../runtime/BendfallNodeClock.js'
import type { HomeHolderTimes } from './BendfallNodeHomeTimes.js'

/** The lease of a holder. */
export interface HomeLease {
  /** Empty while there is none. */
  readonly leaseId: () => string
  /** Monotonic time up to which the slots may be served. */
  readonly validUntilMs: () => number
  /** Renews the lease, or asks for one. */
  readonly keep: () => Promise<void>
  /** Gives the lease up: it is never used again, even if the call is lost. */
  readonly revoke: () => Promise<void>
}

/**
 * Makes the lease of a holder.
 *
 * @param clock - source of time
 * @param keyValue - the key-value service
 * @param times - ttl and margin
 * @returns the lease, not granted yet
 */
export function createHomeLease (clock: Clock, keyValue: KeyValuePort, times: HomeHolderTimes): HomeLease {
  let leaseId = ''
  let validUntilMs = 0

  function lose (): void {
    leaseId = ''
    validUntilMs = 0
  }

  // The service counts the ttl from a moment after the call was sent.
  async function keep (): Promise<void> {
    const sentAtMs = clock.nowMs()
    const usedId = leaseId
    const outcome = usedId === '' ? await keyValue.grantLease(times.leaseTtlMs) : await keyValue.renewLease(usedId)
    if (leaseId !== usedId) return
    if (outcome.type === 'lapsed') return lose()
    if (outcome.type === 'unavailable') return
    leaseId = outcome.leaseId
    validUntilMs = sentAtMs + Math.min(outcome.ttlMs, times.leaseTtlMs) - times.leaseMarginMs
  }

  async function revoke (): Promise<void> {
    const usedId = leaseId
    lose()
    if (usedId !== '') await keyValue.revokeLease(usedId)
  }

  return { leaseId: () => leaseId, validUntilMs: () => validUntilMs, keep, revoke }
}
