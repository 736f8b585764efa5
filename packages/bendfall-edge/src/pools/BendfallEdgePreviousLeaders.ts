/**
 * Determines whether a leader that was elected in a previous era of the key-value service may
 * still act. An era begins when the service is restored from an older backup; a leader that has
 * not learned of it acts until its lease would have lapsed.
 *
 * A new leader therefore waits for the length of a lease after an era began. A process that has
 * just started doesn't know when that was, so the leader records under the key that the era has
 * lasted that long. Where this is recorded, or the service has no eras, there is no wait.
 *
 * @module
 */
import type { Clock, Teardown } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'

/** Options of {@link watchPreviousLeaders}. */
export interface PreviousLeaderOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  /** Key of the election; the settled era is stored below it. */
  readonly key: string
  readonly leaseMs: number
}

/** Knowledge about leaders that were elected in previous eras. */
export interface PreviousLeaders {
  /**
   * Determines whether a previous leader may still act. Call it after a response of the
   * service, since responses carry the current era.
   *
   * @param isOwnKey - whether the key names this instance, whose previous process has ended
   * @returns true while a previous leader may act
   */
  readonly mayStillAct: (isOwnKey: boolean) => Promise<boolean>
  /** Records that the era has lasted for the length of a lease, once it has. Called by the leader. */
  readonly recordSettledEra: () => Promise<void>
  readonly close: Teardown
}

/** Revision that a compare-and-swap expects of a key that doesn't exist. */
const NO_REVISION = 0

/** The service has no eras, or no response has carried one yet. */
const NO_ERA = 0

/**
 * Starts to observe the eras of the key-value service.
 *
 * @param options - key-value service, and key and lease of the election
 * @returns knowledge about previous leaders
 */
export function watchPreviousLeaders ({ clock, key, leaseMs, port }: PreviousLeaderOptions): PreviousLeaders {
  const settledKey = `${key}/settled`
  const startedAtMs = clock.nowMs()
  let eraSeenAtMs = -Infinity
  let settledEra: number | undefined

  const stopListening = port.onEra?.(() => { eraSeenAtMs = clock.nowMs() })
  const currentEra = (): number => port.era?.() ?? NO_ERA
  const hasLeaseElapsedSince = (sinceMs: number): boolean => clock.nowMs() - sinceMs >= leaseMs

  async function mayStillAct (isOwnKey: boolean): Promise<boolean> {
    if (!hasLeaseElapsedSince(eraSeenAtMs)) return true
    return !isOwnKey && !hasLeaseElapsedSince(startedAtMs) && !await isSettled()
  }

  // The value contains the era, because a restored backup may hold the key of an earlier era.
  async function isSettled (): Promise<boolean> {
    const era = currentEra()
    if (era === NO_ERA) return true
    const read = await port.get(settledKey)
    return read.type === 'found' && read.entry.value === String(era) && currentEra() === era
  }

  async function recordSettledEra (): Promise<void> {
    const era = currentEra()
    if (era === NO_ERA || era === settledEra || !hasLeaseElapsedSince(Math.max(eraSeenAtMs, startedAtMs))) return
    const read = await port.get(settledKey)
    if (read.type === 'unavailable') return
    const isWritten = read.type === 'found' && read.entry.value === String(era)
    const expectedRevision = read.type === 'found' ? read.entry.revision : NO_REVISION
    if (isWritten || await write(era, expectedRevision)) settledEra = era
  }

  async function write (era: number, expectedRevision: number): Promise<boolean> {
    const written = await port.compareAndSwap({ key: settledKey, expectedRevision, value: String(era), leaseId: '' })
    return written.type === 'applied'
  }

  return { mayStillAct, recordSettledEra, close: () => stopListening?.() }
}
