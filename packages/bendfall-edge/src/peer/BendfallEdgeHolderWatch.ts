/**
 * Finds out whether the process that holds a leader's key has ended. Answers the loss of the
 * process that leads, above all of all processes at once: their keys stay until the leases lapse.
 *
 * A refused connection proves the end, because a process leads only while it listens for its
 * peers. This relies on no firewall refusing connections in the name of a running process, and on
 * no second process taking over its address. Silence proves nothing: the process may be
 * partitioned or suspended.
 *
 * @module
 */
import type { Clock, Logger } from 'bendfall-node'
import type { LeaderEndpoint } from './BendfallEdgeLeaderEndpoint.js'
import type { PeerProbeOutcome } from './BendfallEdgePeerProbe.js'

/** Minimum time between two probes, so that many failed calls don't cause as many connections. */
const MIN_PROBE_INTERVAL_MS = 100

/** Options of {@link watchHolder}. */
export interface HolderWatchOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Key that the process holds, for log lines. */
  readonly key: string
  /** @returns the process that holds the key, unless it is this instance */
  readonly holder: () => LeaderEndpoint | undefined
  readonly probe: (address: string) => Promise<PeerProbeOutcome>
  /** Called once for each holder that is found to have ended. */
  readonly onEnded: () => void
}

/** Knowledge about the process that holds a key. */
export interface HolderWatch {
  /** Probes the holder, after a call to it failed. */
  readonly suspect: () => void
  /** Drops what is known of the previous holder and probes the current one. */
  readonly setChanged: () => void
  /** @returns whether the current holder is known to have ended */
  readonly hasEnded: () => boolean
  /**
   * Probes the writer of a value that was just read. A probe that follows the read also covers a
   * process that started at the address since the previous one.
   *
   * @param address - address in the value
   * @returns whether the writer has ended
   */
  readonly verifyEnded: (address: string) => Promise<boolean>
}

/**
 * Starts to watch the holder of a key.
 *
 * @param options - key, its holder, and how a process is probed
 * @returns knowledge about the holder
 */
export function watchHolder ({ clock, holder, key, logger, onEnded, probe }: HolderWatchOptions): HolderWatch {
  let ended: LeaderEndpoint | undefined
  let probedAtMs = -Infinity
  let isProbing = false

  const isCurrent = (endpoint: LeaderEndpoint | undefined): boolean => endpoint !== undefined && endpoint.address === holder()?.address && endpoint.instanceId === holder()?.instanceId

  async function check (endpoint: LeaderEndpoint): Promise<void> {
    const outcome = await probe(endpoint.address)
    isProbing = false
    if (!isCurrent(endpoint)) return suspect()
    const wasEnded = isCurrent(ended)
    ended = outcome === 'refused' ? endpoint : undefined
    if (ended === undefined || wasEnded) return
    logger.info('keeper_ended', { key, keeper: endpoint.instanceId, proof: outcome })
    onEnded()
  }

  function suspect (): void {
    const endpoint = holder()
    if (endpoint === undefined || isProbing || clock.nowMs() - probedAtMs < MIN_PROBE_INTERVAL_MS) return
    isProbing = true
    probedAtMs = clock.nowMs()
    check(endpoint).catch((error: unknown) => logger.warn('keeper_probe_failed', { key, error }))
  }

  function setChanged (): void {
    ended = undefined
    probedAtMs = -Infinity
    suspect()
  }

  return {
    suspect,
    setChanged,
    hasEnded: () => isCurrent(ended),
    verifyEnded: async (address) => {
      const hasEnded = await probe(address) === 'refused'
      if (!hasEnded) ended = undefined
      return hasEnded
    }
  }
}
