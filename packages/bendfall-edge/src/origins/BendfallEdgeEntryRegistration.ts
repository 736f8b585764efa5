/**
 * Registers this entry in the key-value service under a lease, so that the other entries can call it.
 *
 * @module
 */
import { backoffMs, pause } from 'bendfall-node'
import type { Clock, Logger, Teardown } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import { encodeLeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import type { LeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { ENTRY_PREFIX } from './BendfallEdgeEntryList.js'

/** Options of the registration. */
export interface EntryRegistrationOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  readonly own: LeaderEndpoint
}

/** Registration of an entry. */
export interface EntryRegistration {
  readonly key: string
  /** Registers again now, after the registration was lost. */
  readonly renew: () => void
  /** Removes the registration. */
  readonly close: Teardown
}

/** The lease outlasts most outages of the service. An entry that has ended is called in vain for that long. */
const LEASE_MS = 60_000
const RENEW_MS = 20_000

/** Bounds of the backoff after failed calls. */
const INITIAL_BACKOFF_MS = 200
const MAX_BACKOFF_MS = 5_000

/**
 * Registers the entry until closed.
 *
 * @param options - key-value service and endpoint of this entry
 * @returns the registration
 */
export function registerEntry ({ clock, logger, own, port }: EntryRegistrationOptions): EntryRegistration {
  const key = `${ENTRY_PREFIX}${own.instanceId}`
  const ended = new AbortController()
  let wakeUp = new AbortController()
  let leaseId: string | undefined

  function renew (): void {
    leaseId = undefined
    wakeUp.abort()
  }

  async function register (): Promise<boolean> {
    const read = await port.get(key)
    if (read.type === 'unavailable') return false
    const lease = await port.grantLease(LEASE_MS)
    if (lease.type !== 'granted') return false
    const expectedRevision = read.type === 'found' ? read.entry.revision : 0
    const written = await port.compareAndSwap({ key, expectedRevision, value: encodeLeaderEndpoint(own), leaseId: lease.leaseId })
    // A write whose response was lost is repeated with a new lease; the former one lapses.
    if (written.type !== 'applied') return false
    leaseId = lease.leaseId
    if (ended.signal.aborted) revoke(lease.leaseId)
    logger.info('entry_registered', { key })
    return true
  }

  // If revoking fails, the lease lapses by itself.
  function revoke (id: string): void {
    port.revokeLease(id).catch((error: unknown) => logger.warn('revoke_failed', { key, error }))
  }

  async function keep (id: string): Promise<boolean> {
    const outcome = await port.renewLease(id)
    if (outcome.type === 'lapsed' && leaseId === id) leaseId = undefined
    return outcome.type === 'granted'
  }

  async function run (): Promise<void> {
    for (let failures = 0; !ended.signal.aborted;) {
      wakeUp = new AbortController()
      const isDone = leaseId === undefined ? await register() : await keep(leaseId)
      failures = isDone ? 0 : failures + 1
      const delayMs = isDone ? RENEW_MS : backoffMs(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, failures) * (0.5 + Math.random())
      await pause(clock, delayMs, AbortSignal.any([ended.signal, wakeUp.signal]))
    }
  }

  // The restored backup may lack the registration.
  const stopListening = port.onEra?.(renew)
  run().catch((error: unknown) => logger.error('entry_registration_ended', { key, error }))
  return {
    key,
    renew,
    close: () => {
      if (ended.signal.aborted) return
      ended.abort()
      stopListening?.()
      if (leaseId !== undefined) revoke(leaseId)
    }
  }
}
