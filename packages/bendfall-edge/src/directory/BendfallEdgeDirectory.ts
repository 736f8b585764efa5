/**
 * Learns configuration and replicas from the key-value service.
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

/** Entries that can't be read of which one line each is logged; the counter goes on. */
const MOST_UNREADABLE_NOTED = 200

/** What the directory needs. */
export interface DirectoryOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly dialect: DirectoryDialect
  readonly logger: Logger
  /** Called when the registrations were read, whether there are any or not. */
  readonly onReplicas: () => void
  /** Called after a configuration was taken. */
  readonly onConfig: () => void
  /** Called after a change of the replicas. */
  readonly onChange: () => void
  /** Called with what the router's own entries tell each other, as far as it changed, and with all keys that are gone. */
  readonly onOwnDocuments: (present: readonly KeyValueEntry[], goneKeys: readonly string[]) => void
  readonly metrics: Metrics
  /** Time after which a replica that leaves must get no new work. */
  readonly drainMs: number
  /** Time after which a configuration must be in force. */
  readonly configApplyMs: number
  /** Time after which a key that was taken away must open nothing. */
  readonly revokedWithinMs: number
}

/** Begins the keys that entries write. */
const OWN_PREFIX = 'bendfall/'

/** Longest wait of requests for registrations that are read again; the service answers in 4 ms. */
const REFRESH_WAIT_MS = 400

/** Of the time until a removed key binds: an answer is as old as its question, so that keys are still believed when the next one comes. */
const KEYS_SHARE = 0.6

/** Of the time after which a change must be known: longer without an answer is worth a line. */
const STALE_SHARE = 0.7

/**
 * Starts to learn.
 *
 * @param options - update path, service and dialect
 * @returns teardown
 */
export function registerDirectory (options: DirectoryOptions): Teardown {
  const { configApplyMs, dialect, drainMs, logger, loop, metrics, onChange, onConfig, onOwnDocuments, onReplicas, port, revokedWithinMs } = options
  const boundMs = Math.min(configApplyMs, drainMs, revokedWithinMs * KEYS_SHARE)
  const noteStaleness = (staleMs: number): void => {
    metrics.measureMs('bendfall_directory_staleness_milliseconds', staleMs)
    if (staleMs > boundMs * STALE_SHARE) logger.warn('directory_was_stale', { staleMs: Math.round(staleMs) })
  }
  const unreadable = new Map<string, string>()
  const onReachable = (isReachable: boolean, detail: string): void => {
    if (isReachable) logger.info('store_regained', { detail })
    else logger.warn('store_lost', { detail })
  }

  let isConfigReadable = true

  function takeConfig (entries: readonly KeyValueEntry[]): void {
    for (const entry of entries) {
      const config = dialect.readConfig(entry)
      isConfigReadable = config.isOk()
      if (config.isOk()) loop.dispatch({ type: 'config_learned', config: config.value })
      else logger.error('config_unreadable', { key: entry.key, revision: entry.revision, detail: config.error })
    }
    onConfig()
  }

  // An entry that can't be read names no replica: one known before under its id has left.
  function takeReplicas (entries: readonly KeyValueEntry[]): void {
    const present: Replica[] = []
    const gone: string[] = []
    for (const entry of entries) {
      const replica = dialect.readReplica(entry)
      if (replica.isOk()) present.push(replica.value)
      else gone.push(dialect.readReplicaId(entry.key))
      noteReadable(entry, replica.isOk() ? undefined : replica.error)
    }
    loop.dispatch({ type: 'replicas_changed', present, gone })
    onChange()
  }

  // Written again and again, the same entry gives one line.
  function noteReadable ({ key, revision }: KeyValueEntry, detail: string | undefined): void {
    if (detail === undefined) {
      unreadable.delete(key)
      return
    }
    metrics.count('bendfall_registrations_unreadable_total')
    if (unreadable.get(key) === detail || unreadable.size >= MOST_UNREADABLE_NOTED) return
    unreadable.set(key, detail)
    logger.warn('replica_unreadable', { key, revision, detail })
  }

  // Reports from before an operator had all forgotten don't count; an older copy of the
  // service may show that wish once more.
  const cleared = new Set<string>()
  let clearedRevision = -Infinity

  function takeCrashes (entries: readonly KeyValueEntry[]): void {
    const wish = entries.find(({ key }) => key === CRASHES_CLEARED_KEY)
    if (wish !== undefined && !cleared.has(wish.value)) {
      cleared.add(wish.value)
      clearedRevision = wish.revision
      loop.dispatch({ type: 'crashes_cleared' })
    }
    for (const { key, revision, value } of entries) {
      if (!key.startsWith(CRASH_PREFIX) || revision < clearedRevision) continue
      const report = decodeCrashReport(value, key)
      if (report.isOk()) loop.dispatch({ type: 'crash_report_learned', reporter: key.slice(CRASH_PREFIX.length), report: report.value })
      else logger.warn('crash_report_unreadable', { key, revision, detail: report.error })
    }
  }

  function takeMissing (replicaIds: readonly string[], returnedMs: number): void {
    metrics.count('bendfall_registrations_missing_total')
    logger.info('registrations_missing', { replicas: replicaIds.join(','), returnedMs: Math.round(returnedMs) })
    loop.dispatch({ type: 'replicas_missing', replicaIds })
  }

  const replicaIdsOf = (keys: readonly string[]): string[] =>
    keys.filter((key) => key.startsWith(dialect.replicaPrefix)).map(dialect.readReplicaId)

  // One watch for both: with a watch each, two of three calls of an idle entry were for
  // configurations, which change some times a minute.
  const follower = followPrefix({
    port,
    clock: loop.clock,
    prefix: dialect.sharedPrefix,
    boundMs,
    listener: {
      onPresent: (entries) => {
        const configs = entries.filter(({ key }) => key.startsWith(dialect.configPrefix))
        const registrations = entries.filter(({ key }) => key.startsWith(dialect.replicaPrefix))
        takeCrashes(entries)
        if (configs.length > 0) takeConfig(configs)
        if (registrations.length > 0) takeReplicas(registrations)
        // After the replicas that they speak of.
        onOwnDocuments(entries.filter(({ key }) => key.startsWith(OWN_PREFIX)), [])
      },
      // The last configuration stays in force.
      onGone: (keys) => {
        for (const key of keys) unreadable.delete(key)
        onOwnDocuments([], keys)
        const gone = replicaIdsOf(keys)
        if (gone.length === 0) return
        loop.dispatch({ type: 'replicas_changed', present: [], gone })
        onChange()
      },
      onMissing: (keys, returnedMs) => {
        onOwnDocuments([], keys)
        const replicaIds = replicaIdsOf(keys)
        if (replicaIds.length > 0) takeMissing(replicaIds, returnedMs)
      },
      onCurrent: (staleMs, provenAtMs) => {
        noteStaleness(staleMs)
        // One that can't be read may have taken keys away.
        if (provenAtMs !== undefined && isConfigReadable) loop.dispatch({ type: 'config_proven', provenAtMs })
        loop.dispatch({ type: 'replicas_current' })
        onReplicas()
      },
      onReachable
    }
  })

  // Without an answer in time the requests go on with what was known: the service is away.
  async function refresh (): Promise<void> {
    const waited = new AbortController()
    await Promise.race([follower.refresh(), pause(loop.clock, REFRESH_WAIT_MS, waited.signal)])
    waited.abort()
    loop.dispatch({ type: 'replicas_refreshed' })
  }

  return combineTeardowns([
    follower.close,
    loop.registerEffect('refresh_replicas', () => {
      refresh().catch((error: unknown) => logger.error('refresh_failed', { error }))
    })
  ])
}
