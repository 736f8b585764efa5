/**
 * Follows the configuration, the replica registrations and the router's own documents in the
 * key-value service and dispatches their changes as events.
 *
 * @module
 */
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { combineTeardowns, pause } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import type { Replica, RouterEffect, RouterEvent } from 'bendfall-router'
import type { DirectoryDialect } from '../BendfallEdgeDialect.js'
import type { Metrics } from '../observe/BendfallEdgeMetrics.js'
import { CRASH_PREFIX, CRASHES_CLEARED_KEY, decodeCrashReport } from '../crashes/BendfallEdgeCrashDocument.js'
import { followPrefix } from './BendfallEdgeFollow.js'

/** Maximum number of unreadable entries that are logged, one line each; the metric counts all. */
const MAX_UNREADABLE_LOGGED = 200

/** Dependencies and time limits of the directory. */
export interface DirectoryOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly dialect: DirectoryDialect
  readonly logger: Logger
  /** Called after the registrations have been read, even if there are none. */
  readonly onRegistrationsRead: () => void
  /** Called after a configuration has been processed. */
  readonly onConfigProcessed: () => void
  /** Called after the set of replicas has changed. */
  readonly onReplicasChanged: () => void
  /** Called with changed documents that router processes exchange, and with all deleted keys. */
  readonly onRouterDocuments: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => void
  readonly metrics: Metrics
  /** Time after which a replica that is shutting down must get no new work. */
  readonly drainMs: number
  /** Time after which a new configuration must be applied. */
  readonly configApplyMs: number
  /** Time after which a revoked customer key must be rejected. */
  readonly revokedWithinMs: number
}

/** Key prefix of the documents that entries write. */
const ROUTER_DOCUMENT_PREFIX = 'bendfall/'

/** Maximum time that requests wait for registrations to be re-read; the service responds in 4 ms. */
const REFRESH_TIMEOUT_MS = 400

/**
 * Share of `revokedWithinMs` within which changes must be known. A response proves the state only
 * as of the time of its request, and keys must still be trusted when the next response arrives.
 */
const REVOCATION_BOUND_SHARE = 0.6

/** Share of the time limit for changes; longer periods without a response are logged. */
const STALENESS_WARNING_SHARE = 0.7

/**
 * Starts to follow the directory and registers the effect `refresh_replicas`.
 *
 * @param options - event loop, key-value service, decoder, callbacks and time limits
 * @returns teardown
 */
export function registerDirectory (options: DirectoryOptions): Teardown {
  const { configApplyMs, dialect, drainMs, logger, loop, metrics, onReplicasChanged, onConfigProcessed, onRouterDocuments, onRegistrationsRead, port, revokedWithinMs } = options
  const boundMs = Math.min(configApplyMs, drainMs, revokedWithinMs * REVOCATION_BOUND_SHARE)
  const recordStaleness = (staleMs: number): void => {
    metrics.measureMs('bendfall_directory_staleness_milliseconds', staleMs)
    if (staleMs > boundMs * STALENESS_WARNING_SHARE) logger.warn('directory_was_stale', { staleMs: Math.round(staleMs) })
  }
  const unreadable = new Map<string, string>()
  const onReachable = (isReachable: boolean, detail: string): void => {
    if (isReachable) logger.info('store_regained', { detail })
    else logger.warn('store_lost', { detail })
  }

  let isConfigReadable = true

  function handleConfig (entries: readonly KeyValueEntry[]): void {
    for (const entry of entries) {
      const config = dialect.readConfig(entry)
      isConfigReadable = config.isOk()
      if (config.isOk()) loop.dispatch({ type: 'config_learned', config: config.value })
      else logger.error('config_unreadable', { key: entry.key, revision: entry.revision, detail: config.error })
    }
    onConfigProcessed()
  }

  // An unreadable entry describes no replica; one previously known under its id counts as removed.
  function handleReplicas (entries: readonly KeyValueEntry[]): void {
    const present: Replica[] = []
    const gone: string[] = []
    for (const entry of entries) {
      const replica = dialect.readReplica(entry)
      if (replica.isOk()) present.push(replica.value)
      else gone.push(dialect.readReplicaId(entry.key))
      recordReadability(entry, replica.isOk() ? undefined : replica.error)
    }
    loop.dispatch({ type: 'replicas_changed', present, gone })
    onReplicasChanged()
  }

  // An unreadable entry that is rewritten repeatedly with the same error is logged once.
  function recordReadability ({ key, revision }: KeyValueEntry, detail: string | undefined): void {
    if (detail === undefined) {
      unreadable.delete(key)
      return
    }
    metrics.count('bendfall_registrations_unreadable_total')
    if (unreadable.get(key) === detail || unreadable.size >= MAX_UNREADABLE_LOGGED) return
    unreadable.set(key, detail)
    logger.warn('replica_unreadable', { key, revision, detail })
  }

  // Reports written before an operator cleared all crashes are ignored. After a restore from an
  // older backup the service may return an earlier clear request again.
  const handledClearRequests = new Set<string>()
  let clearedRevision = -Infinity

  function handleCrashDocuments (entries: readonly KeyValueEntry[]): void {
    const clearRequest = entries.find(({ key }) => key === CRASHES_CLEARED_KEY)
    if (clearRequest !== undefined && !handledClearRequests.has(clearRequest.value)) {
      handledClearRequests.add(clearRequest.value)
      clearedRevision = clearRequest.revision
      loop.dispatch({ type: 'crashes_cleared' })
    }
    for (const { key, revision, value } of entries) {
      if (!key.startsWith(CRASH_PREFIX) || revision < clearedRevision) continue
      const report = decodeCrashReport(value, key)
      if (report.isOk()) loop.dispatch({ type: 'crash_report_learned', reporter: key.slice(CRASH_PREFIX.length), report: report.value })
      else logger.warn('crash_report_unreadable', { key, revision, detail: report.error })
    }
  }

  function handleMissingReplicas (replicaIds: readonly string[], sinceRecoveryMs: number): void {
    metrics.count('bendfall_registrations_missing_total')
    logger.info('registrations_missing', { replicas: replicaIds.join(','), returnedMs: Math.round(sinceRecoveryMs) })
    loop.dispatch({ type: 'replicas_missing', replicaIds })
  }

  const replicaIdsOf = (keys: readonly string[]): string[] =>
    keys.filter((key) => key.startsWith(dialect.replicaPrefix)).map(dialect.readReplicaId)

  // A single watch for configurations and replicas: with separate ones, two thirds of the calls of
  // an idle entry were for configurations, which change only a few times per minute.
  const follower = followPrefix({
    port,
    clock: loop.clock,
    prefix: dialect.sharedPrefix,
    boundMs,
    listener: {
      onUpserted: (entries) => {
        const configs = entries.filter(({ key }) => key.startsWith(dialect.configPrefix))
        const registrations = entries.filter(({ key }) => key.startsWith(dialect.replicaPrefix))
        handleCrashDocuments(entries)
        if (configs.length > 0) handleConfig(configs)
        if (registrations.length > 0) handleReplicas(registrations)
        // After the replicas, since the documents refer to them.
        onRouterDocuments(entries.filter(({ key }) => key.startsWith(ROUTER_DOCUMENT_PREFIX)), [])
      },
      // If the configuration is deleted, the last one remains in effect.
      onDeleted: (keys) => {
        for (const key of keys) unreadable.delete(key)
        onRouterDocuments([], keys)
        const gone = replicaIdsOf(keys)
        if (gone.length === 0) return
        loop.dispatch({ type: 'replicas_changed', present: [], gone })
        onReplicasChanged()
      },
      onMissing: (keys, returnedMs) => {
        onRouterDocuments([], keys)
        const replicaIds = replicaIdsOf(keys)
        if (replicaIds.length > 0) handleMissingReplicas(replicaIds, returnedMs)
      },
      onSynced: (staleMs, provenAtMs) => {
        recordStaleness(staleMs)
        // An unreadable configuration may have revoked keys.
        if (provenAtMs !== undefined && isConfigReadable) loop.dispatch({ type: 'config_proven', provenAtMs })
        loop.dispatch({ type: 'replicas_current' })
        onRegistrationsRead()
      },
      onReachable
    }
  })

  // If the service doesn't respond in time, it is unavailable and requests proceed with the known replicas.
  async function refresh (): Promise<void> {
    const requestedAtMs = loop.clock.nowMs()
    const timeoutController = new AbortController()
    await Promise.race([follower.refresh(), pause(loop.clock, REFRESH_TIMEOUT_MS, timeoutController.signal)])
    timeoutController.abort()
    loop.dispatch({ type: 'replicas_refreshed', requestedAtMs })
  }

  return combineTeardowns([
    follower.close,
    loop.registerEffect('refresh_replicas', () => {
      refresh().catch((error: unknown) => logger.error('refresh_failed', { error }))
    })
  ])
}
