/**
 * Tells whether a holder of a former era may still act: the key-value service came back from an
 * older copy, and the holder has not heard of it.
 *
 * It may, until its lease would have lapsed since the era began. A process that starts can't tell
 * when that was. So the holder of a duty writes down that the era has lasted for a lease's length;
 * where that is written, or the service has no eras, a process that starts need not wait.
 *
 * @module
 */
import type { Clock, Teardown } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'

/** What it needs. */
export interface PreviousLeaderOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  /** Key of the duty; what is written down stands below it. */
  readonly key: string
  readonly leaseMs: number
}

/** What is known of holders of former eras. */
export interface PreviousLeaders {
  /**
   * Tells whether one may act. Asked after an answer of the service, which tells its era.
   *
   * @param isOwnKey - whether the key names this instance, whose former process has ended
   * @returns true while one may act
   */
  readonly mayStillAct: (isOwnKey: boolean) => Promise<boolean>
  /** Writes down that the era has lasted, once it has; for the holder of the duty. */
  readonly recordSettledEra: () => Promise<void>
  readonly close: Teardown
}

/** Of a key that does not exist. */
const NO_REVISION = 0

/** The service has no eras, or told none. */
const NO_ERA = 0

/**
 * Starts to watch eras.
 *
 * @param options - service, and duty
 * @returns what is known
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

  // The era stands in the value: a copy of the key tells of the era in which it was written.
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
