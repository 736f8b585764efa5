/**
 * Learns configuration and replicas from the key-value service.
 *
 * @module
 */
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import type { RouterEffect, RouterEvent } from 'bendfall-router'
import type { DirectoryDialect } from '../BendfallEdgeDialect.js'
import type { Metrics } from '../observe/BendfallEdgeMetrics.js'
import { followPrefix } from './BendfallEdgeFollow.js'

/** What the directory needs. */
export interface DirectoryOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly dialect: DirectoryDialect
  readonly logger: Logger
  /** Called when replicas were read for the first time, whether there are any or not. */
  readonly onReplicas: () => void
  /** Called after a configuration was taken. */
  readonly onConfig: () => void
  /** Called after a change of the replicas. */
  readonly onChange: () => void
  readonly metrics: Metrics
}

/** Longer than this without an answer of the service is worth a line: a watch of two seconds and its way. */
const BEHIND_MS = 2_300

/**
 * Starts to learn.
 *
 * @param options - update path, service and dialect
 * @returns teardown
 */
export function registerDirectory (options: DirectoryOptions): Teardown {
  const { dialect, logger, loop, metrics, onChange, onConfig, onReplicas, port } = options
  const noteBlind = (prefix: string, blindMs: number): void => {
    metrics.measureMs('bendfall_directory_blind_milliseconds', blindMs, { prefix })
    if (blindMs > BEHIND_MS) logger.warn('directory_was_behind', { prefix, blindMs: Math.round(blindMs) })
  }
  const noteHeld = (keys: readonly string[], returnedMs: number): void => {
    metrics.count('bendfall_removals_held_total')
    logger.info('removals_held', { keys: keys.join(','), returnedMs: Math.round(returnedMs) })
  }
  const onReachable = (isReachable: boolean, detail: string): void => {
    if (isReachable) logger.info('store_regained', { detail })
    else logger.warn('store_lost', { detail })
  }

  function takeConfig (entries: readonly KeyValueEntry[]): void {
    for (const entry of entries) {
      const config = dialect.readConfig(entry)
      if (config.isOk()) loop.dispatch({ type: 'config_learned', config: config.value })
      else logger.error('config_unreadable', { key: entry.key, revision: entry.revision, detail: config.error })
    }
    onConfig()
  }

  function takeReplicas (entries: readonly KeyValueEntry[]): void {
    const present = entries.flatMap((entry) => {
      const replica = dialect.readReplica(entry)
      if (replica.isOk()) return [replica.value]
      logger.error('replica_unreadable', { key: entry.key, revision: entry.revision, detail: replica.error })
      return []
    })
    loop.dispatch({ type: 'replicas_changed', present, gone: [] })
    onReplicas()
    onChange()
  }

  return combineTeardowns([
    followPrefix({
      port,
      clock: loop.clock,
      prefix: dialect.configPrefix,
      listener: { onPresent: takeConfig, onGone: () => {}, onCurrent: (blindMs) => noteBlind(dialect.configPrefix, blindMs), onHeld: noteHeld, onReachable }
    }),
    followPrefix({
      port,
      clock: loop.clock,
      prefix: dialect.replicaPrefix,
      listener: {
        onPresent: takeReplicas,
        onGone: (keys) => {
          loop.dispatch({ type: 'replicas_changed', present: [], gone: keys.map(dialect.readReplicaId) })
          onChange()
        },
        onCurrent: (blindMs) => {
          noteBlind(dialect.replicaPrefix, blindMs)
          loop.dispatch({ type: 'replicas_current' })
        },
        onHeld: noteHeld,
        onReachable: () => {}
      }
    })
  ])
}
