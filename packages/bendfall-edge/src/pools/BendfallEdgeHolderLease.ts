/**
 * Elects one process for a duty: it holds a key of the key-value service that
 * is bound to a lease. The revision of the key's creation is its fencing token.
 *
 * When the service comes back from an older copy the key and the lease may be gone at
 * once. A holder that hears of it stops; one that doesn't acts until its lease would lapse.
 * So no process takes the key while a holder of a former era may act.
 *
 * @module
 */
import type { Clock, Logger, Teardown } from 'bendfall-node'
import { createSignal } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import { watchPreviousLeaders } from './BendfallEdgeFormerHolders.js'

/** What an election needs. */
export interface HolderLeaseOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  /** Key that the holder has. */
  readonly key: string
  /** Value of the key that names this process; must differ from that of all others. */
  readonly holder: string
  /** Absent: {@link POOLS_TIMING}. */
  readonly timing?: LeaseTiming
  /** What other news tell of the key; absent: it is looked up now and then. */
  readonly readAvailability?: () => HolderNews
  /** Whether the key of a former process of this instance may be taken over: no two processes have its address. */
  readonly takesOverOwn?: boolean
}

/** What is known of a key without a look: whether another process has it, or that it should be left alone for now. */
export type HolderNews = 'held' | 'free' | 'left_alone'

/** Times of a duty. */
export interface LeaseTiming {
  readonly leaseMs: number
  /** Between two renewals. */
  readonly renewMs: number
  /** The holder stops acting this long before its lease lapses: a call that it has begun takes this long at most. */
  readonly marginMs: number
  /** Between two looks of a process that doesn't hold the duty; doubles while another one has it. */
  readonly firstLookMs: number
  /** Longest time between two looks, half as much more or less by chance. */
  readonly longestLookMs: number
}

/** Time for which a process held a duty, monotonic. */
export interface HeldSpan {
  readonly sinceMs: number
  /** When its lease lapsed, or will unless it is renewed. */
  readonly untilMs: number
}

/** Part in an election. */
export interface HolderLease {
  /** @returns the fencing token while this process holds the duty */
  readonly fence: () => number | undefined
  /** @returns monotonic time since which this process holds the duty; undefined while it doesn't */
  readonly heldSinceMs: () => number | undefined
  /** @returns when this process held the duty last, which may be now; undefined when it never did */
  readonly lastHeld: () => HeldSpan | undefined
  /** Gives the duty up at once, since another process has it. */
  readonly giveUp: () => void
  /** Looks at the key now, since news came of it. */
  readonly look: () => void
  /** Ends the part and frees the key. */
  readonly close: Teardown
}

/**
 * Times of the duty to order stage changes. The lease is that after which the users' replicas
 * take orders of another holder; two renewals may be lost. Of 68 processes one looks every
 * 0.2 s, of five every 2.5 s; pools that nobody balances for that long lose nothing, since a
 * change takes longer.
 */
const POOLS_TIMING: LeaseTiming = { leaseMs: 3_000, renewMs: 900, marginMs: 600, firstLookMs: 2_500, longestLookMs: 12_000 }

/** Of a key that does not exist. */
const NO_REVISION = 0

interface HeldLease {
  readonly leaseId: string
  readonly fence: number
  readonly sinceMs: number
  validity: Validity
}

/** Until when a lease is valid, by both clocks: the monotonic one does not count a suspension. */
interface Validity {
  readonly untilMs: number
  readonly untilWallMs: number
}

/**
 * Takes part in an election.
 *
 * @param options - service, key and name
 * @returns the part
 */
export function joinElection (options: HolderLeaseOptions): HolderLease {
  const { clock, holder, key, logger, readAvailability, port, takesOverOwn = false, timing = POOLS_TIMING } = options
  const { firstLookMs, leaseMs, longestLookMs, marginMs, renewMs } = timing
  const ended = new AbortController()
  const wakeUp = createSignal(clock)
  let held: HeldLease | undefined
  let lastHeld: HeldSpan | undefined
  let checkIntervalMs = firstLookMs
  let eraCount = 0
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

  // Revision at which the key may be taken; undefined when it may not.
  async function readVacantRevision (): Promise<number | undefined> {
    const availability = readAvailability?.()
    if (availability === 'left_alone' || availability === 'held') return undefined
    // Old news are good enough where only the write decides.
    const read = await port.get(key, { mayBeOld: readAvailability === undefined })
    checkIntervalMs = read.type === 'found' ? Math.min(longestLookMs, 2 * checkIntervalMs) : firstLookMs
    if (read.type === 'missing') return NO_REVISION
    return read.type === 'found' && takesOverOwn && read.entry.value === holder ? read.entry.revision : undefined
  }

  async function tryAcquire (): Promise<void> {
    const eraCountBefore = eraCount
    const expectedRevision = await readVacantRevision()
    if (expectedRevision === undefined || await previousLeaders.mayStillAct(expectedRevision !== NO_REVISION)) return
    const requestedAt = readClocks()
    const lease = await port.grantLease(leaseMs)
    if (lease.type !== 'granted') return
    const written = await port.compareAndSwap({ key, expectedRevision, value: holder, leaseId: lease.leaseId })
    const fence = written.type === 'applied' ? written.revision : written.type === 'unknown' ? await readBack(lease.leaseId) : undefined
    if (fence === undefined || eraCount !== eraCountBefore) {
      await port.revokeLease(lease.leaseId)
      return
    }
    held = { leaseId: lease.leaseId, fence, sinceMs: clock.nowMs(), validity: validityFrom(requestedAt) }
    recordTerm(held)
    logger.info('duty_taken', { key, fence })
  }

  // The answer to the write was lost: the key tells whether it was done.
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
      if (held === undefined) await tryAcquire()
      else await renew(held)
      await wakeUp.wait(held === undefined ? checkIntervalMs * (0.5 + Math.random()) : renewMs, ended.signal)
    }
  }

  function recordTerm ({ sinceMs, validity }: HeldLease): void {
    lastHeld = { sinceMs, untilMs: validity.untilMs }
  }

  // A lease that is not revoked lapses by itself.
  function releaseLease (lease: HeldLease | undefined): void {
    if (lease !== undefined) port.revokeLease(lease.leaseId).catch((error: unknown) => logger.warn('revoke_failed', { key, error }))
  }

  run().catch((error: unknown) => logger.error('election_ended', { key, error }))
  return {
    fence: () => held !== undefined && isValid(held) ? held.fence : undefined,
    heldSinceMs: () => held !== undefined && isValid(held) ? held.sinceMs : undefined,
    lastHeld: () => lastHeld,
    // The key goes as well: the next holder, this one too, has a higher fencing token.
    giveUp: () => {
      const lease = held
      loseLeadership('a replica has seen a higher fencing token')
      releaseLease(lease)
    },
    look: () => { if (held === undefined) wakeUp.notify() },
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
