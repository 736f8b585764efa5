/**
 * Fences entries of earlier versions off the reserve of the allotments, which grants three quarters
 * of what the bounds allow beyond the allotments there and about a quarter here. Without it, a
 * rolling upgrade could have a reserve of an earlier version beside the further interim parts.
 *
 * The fence is a permanent value at the key of the former reserve, which earlier versions can't read
 * as the endpoint of a process and therefore neither call nor take over. It is written only
 * while no process holds the key. Once it has been in place for long enough that no window holds
 * grants of a former reserve, this is recorded under a second key.
 *
 * @module
 */
import type { Clock, Logger, Teardown } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { fenceSettleMs } from 'bendfall-router'
import type { AllotmentBounds } from 'bendfall-router'
import { FENCE_KEY, FENCE_SETTLED_KEY, FENCE_VALUE } from './BendfallEdgeAllotmentDocument.js'

/** Time after which a write that the service prevented is tried again, plus a random time of up to as much. */
const RETRY_INTERVAL_MS = 1_000

/** Revision that a compare-and-swap expects of a key that doesn't exist. */
const NO_REVISION = 0

/** Options of {@link createReserveFence}. */
export interface ReserveFenceOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  readonly bounds: AllotmentBounds
  /** @returns whether any customer has an allotment */
  readonly isNeeded: () => boolean
  /** Called when the fence is in place. */
  readonly onInPlace: () => void
}

/** Fence against reserves of earlier versions. */
export interface ReserveFence {
  /** @returns whether the fence is in place by the last answer or update of the service */
  readonly isInPlace: () => boolean
  /** Writes the fence unless it is in place or a process holds the key; concurrent calls share one attempt. */
  readonly install: () => void
  readonly applyUpdate: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => void
  /** Reads whether the fence is in place and no window holds grants of a former reserve. */
  readonly isSettled: () => Promise<boolean>
  /** Records that the fence has settled, once it has; called by the primary leader. */
  readonly recordSettled: () => Promise<void>
  readonly close: Teardown
}

/**
 * Creates the fence, which is not known to be in place at first.
 *
 * @param options - key-value service and bounds
 * @returns the fence
 */
export function createReserveFence ({ bounds, clock, isNeeded, logger, onInPlace, port }: ReserveFenceOptions): ReserveFence {
  let inPlaceSinceMs: number | undefined
  let recordedEra: string | undefined
  let isInstalling = false
  let cancelRetry: Teardown = () => {}
  // A restored backup may lack the fence.
  const stopListening = port.onEra?.(() => {
    inPlaceSinceMs = undefined
    scheduleRetry()
  })
  const currentEra = (): string => String(port.era?.() ?? 0)

  function applyValue (value: string | undefined): void {
    const wasInPlace = inPlaceSinceMs !== undefined
    inPlaceSinceMs = value === FENCE_VALUE ? inPlaceSinceMs ?? clock.nowMs() : undefined
    if (!wasInPlace && inPlaceSinceMs !== undefined) onInPlace()
  }

  function install (): void {
    if (!isNeeded() || isInstalling || inPlaceSinceMs !== undefined) return
    isInstalling = true
    cancelRetry()
    tryInstall().then((isPrevented) => { if (isPrevented) scheduleRetry() })
      .catch((error: unknown) => logger.warn('reserve_fence_failed', { error }))
      .finally(() => { isInstalling = false })
  }

  // Returns whether the service prevented the write. A key that a process holds is removed when its lease lapses.
  async function tryInstall (): Promise<boolean> {
    const read = await port.get(FENCE_KEY)
    if (read.type === 'found') applyValue(read.entry.value)
    if (read.type !== 'missing') return read.type === 'unavailable'
    // A record of an earlier fence must not vouch for this one.
    const settled = await port.get(FENCE_SETTLED_KEY)
    if (settled.type === 'unavailable') return true
    if (settled.type === 'found') {
      const removed = await port.compareAndSwap({ key: FENCE_SETTLED_KEY, expectedRevision: settled.entry.revision, value: null, leaseId: '' })
      if (removed.type !== 'applied') return true
    }
    const written = await port.compareAndSwap({ key: FENCE_KEY, expectedRevision: NO_REVISION, value: FENCE_VALUE, leaseId: '' })
    if (written.type !== 'applied') return true
    logger.info('reserve_fenced', { key: FENCE_KEY })
    applyValue(FENCE_VALUE)
    return false
  }

  function scheduleRetry (): void {
    cancelRetry()
    cancelRetry = clock.callAt(clock.nowMs() + RETRY_INTERVAL_MS * (1 + Math.random()), install)
  }

  async function isSettled (): Promise<boolean> {
    const [fence, settled] = await Promise.all([port.get(FENCE_KEY), port.get(FENCE_SETTLED_KEY)])
    const isFenced = fence.type === 'found' && fence.entry.value === FENCE_VALUE
    // The era is known only after a response. A record of this era is never older than the fence that it is for.
    return isFenced && settled.type === 'found' && settled.entry.value === currentEra()
  }

  async function recordSettled (): Promise<void> {
    const era = currentEra()
    if (era === recordedEra || inPlaceSinceMs === undefined || clock.nowMs() - inPlaceSinceMs < fenceSettleMs(bounds)) return
    const read = await port.get(FENCE_SETTLED_KEY)
    if (read.type === 'unavailable') return
    const isWritten = read.type === 'found' && read.entry.value === era
    const written = isWritten || await port.compareAndSwap({ key: FENCE_SETTLED_KEY, expectedRevision: read.type === 'found' ? read.entry.revision : NO_REVISION, value: era, leaseId: '' })
    if (written === true || written.type === 'applied') recordedEra = era
  }

  return {
    isInPlace: () => inPlaceSinceMs !== undefined,
    install,
    applyUpdate: (entries, removedKeys) => {
      const entry = entries.find(({ key }) => key === FENCE_KEY)
      if (entry !== undefined) applyValue(entry.value)
      if (!removedKeys.includes(FENCE_KEY)) return
      recordedEra = undefined
      applyValue(undefined)
      install()
    },
    isSettled,
    recordSettled,
    close: () => {
      cancelRetry()
      stopListening?.()
    }
  }
}
