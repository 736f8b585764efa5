/**
 * Wires the sidecar process, which runs the memory ledger of the model replica on its instance.
 *
 * @module
 */
import type { Clock, Logger } from 'bendfall-node'
import { createSystemClock } from 'bendfall-node'
import type { Dialect } from './BendfallEdgeDialect.js'
import type { EdgeSettings } from './BendfallEdgeSettings.js'
import { decisionsOf } from './BendfallEdgeSettings.js'
import { startLedgerServer } from './ledger/BendfallEdgeLedgerServer.js'
import { createMetrics } from './observe/BendfallEdgeMetrics.js'
import type { Metrics } from './observe/BendfallEdgeMetrics.js'

/** Dependencies and settings of a sidecar. */
export interface SidecarOptions {
  readonly settings: EdgeSettings
  readonly dialect: Dialect
  readonly logger: Logger
  readonly metrics?: Metrics
  readonly clock?: Clock
}

/** A running sidecar. */
export interface Sidecar {
  readonly stop: () => Promise<void>
}

/**
 * Starts a sidecar.
 *
 * @param options - settings, platform adapter and logger
 * @returns the sidecar, once it is listening
 * @throws Error if `replicaAddress` is missing from the settings or the listen address can't be bound
 */
export async function startSidecar (options: SidecarOptions): Promise<Sidecar> {
  const { clock = createSystemClock(), dialect, logger, metrics = createMetrics(), settings } = options
  if (settings.replicaAddress === undefined) throw new Error('sidecar settings require replicaAddress')
  const server = await startLedgerServer({
    listen: `${settings.ip}:${settings.peerPorts[0]}`,
    replicaAddress: settings.replicaAddress,
    dialect: dialect.replica,
    decisions: decisionsOf(settings),
    clock,
    logger
  })
  metrics.gauge('bendfall_bookings_open', () => server.state().bookings.size)
  metrics.gauge('bendfall_bookings_waiting', () => server.state().waiting.length)
  logger.info('started', { role: 'sidecar', replica: settings.replicaAddress, listen: server.address })
  return {
    stop: async () => {
      logger.info('stopped', { bookings: server.state().bookings.size })
      await server.close()
    }
  }
}
