/**
 * Elects one process as leader: the leader holds a key of the key-value service that is bound
 * to a lease. The revision at which the key was created is its fencing token.
 *
 * When the service is restored from an older backup, which begins a new era, the key and the
 * lease may vanish at once. A leader that learns of it stops; one that doesn't acts until its
 * lease would have lapsed. So no process takes the key while a leader elected in a previous era
 * may still act.
 *
 * @module
 */
import type { Clock, Logger, Teardown } from 'bendfall-node'
import { createSignal } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { watchPreviousLeaders } from './BendfallEdgePreviousLeaders.js'

/** Options of an election. */
export interface ElectionOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  /** Key that the leader holds. */
  readonly key: string
  /** Value of the key that identifies this process; must be unique among the candidates. */
  readonly holder: string
  /** Absent: {@link POOLS_TIMING}. */
  readonly timing?: LeaseTiming
  /** Availability of the key as known from elsewhere, such as a watch; absent: the key is polled. */
  readonly readAvailability?: () => KeyAvailability
  /** Whether the key of a previous process of this instance may be taken over; safe because no two processes share its address. */
  readonly reclaimsOwnKey?: boolean
  /** Determines by the value of a key whose availability is `orphaned` whether its writer has ended; absent: never. */
  readonly hasHolderEnded?: (value: string) => Promise<boolean>
  /** Called with the key when it was read and another process holds it. */
  readonly onHolderRead?: (entry: KeyValueEntry) => void
}

/** Availability of a key as known without a read: held by another process, held by one that has ended, free, or not to be taken for now. */
export type KeyAvailability = 'held' | 'orphaned' | 'free' | 'left_alone'

/** Timing of an election. */
export interface LeaseTiming {
  readonly leaseMs: number
  /** Interval between lease renewals. */
  readonly renewMs: number
  /** The leader stops acting this long before its lease lapses, which is the longest that a call already started may take. */
  readonly marginMs: number
  /** Interval between checks of a candidate; doubles while another process is the leader. */
  readonly minCheckIntervalMs: number
  /** Upper bound of that interval, before a random jitter of up to 50% either way. */
  readonly maxCheckIntervalMs: number
}

/** Period for which a process is or was the leader, in monotonic time. */
export interface LeadershipTerm {
  readonly sinceMs: number
  /** When its lease lapsed, or will lapse unless renewed, less the safety margin. */
  readonly untilMs: number
}

/** Participation in an election. */
export interface LeaderElection {
  /** @returns the fencing token while this process is the leader; otherwise undefined */
  readonly fence: () => number | undefined
  /** @returns monotonic time at which this process became the leader; undefined while it isn't */
  readonly heldSinceMs: () => number | undefined
  /** @returns the current or latest term of this process; undefined when it was never the leader */
  readonly lastTerm: () => LeadershipTerm | undefined
  /** Stops being the leader at once, because another process has been elected. */
  readonly stepDown: () => void
  /**
   * Stops being the leader if another process has taken the key, by a write that a watch reported.
   *
   * @param revision - revision of the key at that write
   */
  readonly observeRevision: (revision: number) => void
  /** Checks the key now instead of at the next interval, after a watch reported a change. */
  readonly checkNow: () => void
  /** Leaves the election and frees the key. */
  readonly close: Teardown
}

/**
 * Timing of the leader that orders stage changes. The lease equals the time after which
 * replicas accept orders from another leader; two renewals may be lost. With 68 processes one of
 * them checks every 0.2 s on average, with five every 2.5 s. Pools that nobody balances for that
 * long lose nothing, since a stage change takes longer.
 */
const POOLS_TIMING: LeaseTiming = { leaseMs: 3_000, renewMs: 900, marginMs: 600, minCheckIntervalMs: 2_500, maxCheckIntervalMs: 12_000 }

/** Revision that a compare-and-swap expects of a key that doesn't exist. */
const NO_REVISION = 0

/** A key that may be taken over, at the revision that was read. */
interface Vacancy {
  readonly revision: number
  /** Whether a previous process of this instance holds the key. */
  readonly isOwnKey: boolean
}

interface HeldLease {
  readonly leaseId: string
  readonly fence: number
  readonly sinceMs: number
  validity: Validity
}

/** End of a lease's validity by both clocks, since the monotonic clock does not advance while the process is suspended. */
interface Validity {
  readonly untilMs: number
  readonly untilWallMs: number
}

/**
 * Joins an election and competes for leadership until closed.
 *
 * @param options - key-value service, key and identity of this process
 * @returns the participation
 */
export function joinElection (options: ElectionOptions): LeaderElection {
  const { clock, holder, key, logger, readAvailability, port, hasHolderEnded, onHolderRead, reclaimsOwnKey = false, timing = POOLS_TIMING } = options
  const { minCheckIntervalMs, leaseMs, maxCheckIntervalMs, marginMs, renewMs } = timing
  const ended = new AbortController()
  const wakeUp = createSignal(clock)
  let held: HeldLease | undefined
  let lastTerm: LeadershipTerm | undefined
  let checkIntervalMs = minCheckIntervalMs
  let eraCount = 0
  let isCheckPending = false
  const previousLeaders = watchPreviousLeaders({ port, clock, key, leaseMs })

  const readClocks = (): Validity => ({ untilMs: clock.nowMs(), untilWallMs: clock.wallMs() })

  function validityFrom ({ untilMs, untilWallMs }: Validity): Validity {
    return { untilMs: untilMs + leaseMs - marginMs, untilWallMs: untilWallMs + leaseMs - marginMs }
  }

  const isValid = ({ validity }: HeldLease): boolean => clock.nowMs() < validity.untilMs && clock.wallMs() < validity.untilWallMs

  function loseLeadership (cause: string): void {
    if (held === undefined) return
    logger.warn('duty_lost', { key, fence: held.fence, cause })
    held = undefined
  }

  const stopListening = port.onEra?.(({ era, formerEra }) => {
    eraCount += 1
    loseLeadership(`era ${era} began after ${formerEra}`)
  })

  // Returns undefined when the key may not be taken.
  async function readVacancy (): Promise<Vacancy | undefined> {
    const availability = readAvailability?.()
    if (availability === 'left_alone' || availability === 'held') return undefined
    // When polling, a stale read is sufficient: the compare-and-swap decides.
    const read = await port.get(key, { allowStale: readAvailability === undefined })
    checkIntervalMs = read.type === 'found' ? Math.min(maxCheckIntervalMs, 2 * checkIntervalMs) : minCheckIntervalMs
    if (read.type === 'missing') return { revision: NO_REVISION, isOwnKey: false }
    if (read.type !== 'found') return undefined
    const { revision, value } = read.entry
    if (reclaimsOwnKey && value === holder) return { revision, isOwnKey: true }
    onHolderRead?.(read.entry)
    // The compare-and-swap fails if the holder has started again and reclaimed its key since the read.
    return availability === 'orphaned' && await hasHolderEnded?.(value) === true ? { revision, isOwnKey: false } : undefined
  }

  async function tryAcquire (): Promise<void> {
    const eraCountBefore = eraCount
    const vacancy = await readVacancy()
    if (vacancy === undefined || await previousLeaders.mayStillAct(vacancy.isOwnKey)) return
    const requestedAt = readClocks()
    const lease = await port.grantLease(leaseMs)
    if (lease.type !== 'granted') return
    const written = await port.compareAndSwap({ key, expectedRevision: vacancy.revision, value: holder, leaseId: lease.leaseId })
    // The next read shows which process has taken the key.
    if (written.type === 'conflict') isCheckPending = true
    const fence = written.type === 'applied' ? written.revision : written.type === 'unknown' ? await readBack(lease.leaseId) : undefined
    if (fence === undefined || eraCount !== eraCountBefore) {
      await port.revokeLease(lease.leaseId)
      return
    }
    held = { leaseId: lease.leaseId, fence, sinceMs: clock.nowMs(), validity: validityFrom(requestedAt) }
    recordTerm(held)
    logger.info('duty_taken', { key, fence })
  }

  // The response to the write was lost: the key shows whether the write was applied.
  async function readBack (leaseId: string): Promise<number | undefined> {
    const read = await port.get(key)
    return read.type === 'found' && read.entry.leaseId === leaseId ? read.entry.revision : undefined
  }

  async function renew (lease: HeldLease): Promise<void> {
    const requestedAt = readClocks()
    const outcome = await port.renewLease(lease.leaseId)
    if (outcome.type === 'granted') {
      lease.validity = validityFrom(requestedAt)
      recordTerm(lease)
    } else if (outcome.type === 'lapsed') loseLeadership('lease lapsed')
    else if (!isValid(lease)) loseLeadership(outcome.detail)
    if (outcome.type === 'granted') await previousLeaders.recordSettledEra()
  }

  async function run (): Promise<void> {
    while (!ended.signal.aborted) {
      isCheckPending = false
      if (held === undefined) await tryAcquire()
      else await renew(held)
      // A check that was requested during the calls may concern a later state than they saw.
      if (held === undefined && isCheckPending) continue
      await wakeUp.wait(held === undefined ? checkIntervalMs * (0.5 + Math.random()) : renewMs, ended.signal)
    }
  }

  function recordTerm ({ sinceMs, validity }: HeldLease): void {
    lastTerm = { sinceMs, untilMs: validity.untilMs }
  }

  // If revoking fails, the lease lapses by itself.
  function releaseLease (lease: HeldLease | undefined): void {
    if (lease !== undefined) port.revokeLease(lease.leaseId).catch((error: unknown) => logger.warn('revoke_failed', { key, error }))
  }

  run().catch((error: unknown) => logger.error('election_ended', { key, error }))
  return {
    fence: () => held !== undefined && isValid(held) ? held.fence : undefined,
    heldSinceMs: () => held !== undefined && isValid(held) ? held.sinceMs : undefined,
    lastTerm: () => lastTerm,
    // Frees the key as well, so that the next leader, even this process, has a higher fencing token.
    stepDown: () => {
      const lease = held
      loseLeadership('a replica has seen a higher fencing token')
      releaseLease(lease)
    },
    observeRevision: (revision) => { if (held !== undefined && revision > held.fence) loseLeadership(`taken over at revision ${revision}`) },
    checkNow: () => {
      isCheckPending = true
      if (held === undefined) wakeUp.notify()
    },
    close: () => {
      ended.abort()
      stopListening?.()
      previousLeaders.close()
      const lease = held
      held = undefined
      releaseLease(lease)
    }
  }
}
