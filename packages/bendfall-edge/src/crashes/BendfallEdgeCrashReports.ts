/**
 * Publishes the crashes observed by this entry in the key-value service. The lease of a report
 * lasts as long as a crash counts, so that the report survives the entry.
 *
 * @module
 */
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { backoffMs, combineTeardowns, pause } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import type { CrashReport, RouterEffect, RouterEvent } from 'bendfall-router'
import { CRASH_PREFIX, encodeCrashReport } from './BendfallEdgeCrashDocument.js'

/** Dependencies of the reports. */
export interface CrashReportOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly logger: Logger
  readonly instanceId: string
  /** Time for which a crash counts; the service grants leases of at most ten minutes. */
  readonly rememberedMs: number
}

/** Crashes within this time are published together, since one crash that ends many requests is detected many times. */
const BATCH_DELAY_MS = 50

/** Bounds of the backoff after failed writes. It is randomized by ±50 %, since many entries observe the same crash. */
const INITIAL_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 2_000

/**
 * Registers the effect `publish_crashes`.
 *
 * @param options - event loop, key-value service and identity of the entry
 * @returns teardown
 */
export function registerCrashReports ({ instanceId, logger, loop, port, rememberedMs }: CrashReportOptions): Teardown {
  const key = `${CRASH_PREFIX}${instanceId}`
  const abortController = new AbortController()
  let latest: CrashReport | undefined
  let isWriting = false
  let revision: number | undefined

  async function write (report: CrashReport): Promise<boolean> {
    const lease = await port.grantLease(rememberedMs)
    if (lease.type !== 'granted') return false
    revision ??= await readRevision()
    if (revision === undefined) return false
    const outcome = await port.compareAndSwap({ key, expectedRevision: revision, value: encodeCrashReport(report), leaseId: lease.leaseId })
    // After a failure the next attempt first reads whether the write took effect, and its revision.
    revision = outcome.type === 'applied' ? outcome.revision : undefined
    return outcome.type === 'applied'
  }

  async function readRevision (): Promise<number | undefined> {
    const read = await port.get(key)
    if (read.type === 'unavailable') return undefined
    return read.type === 'found' ? read.entry.revision : 0
  }

  async function writeLatest (): Promise<void> {
    for (let tried = 0; latest !== undefined && !abortController.signal.aborted; tried += 1) {
      await pause(loop.clock, tried === 0 ? BATCH_DELAY_MS : backoffMs(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, tried) * (0.5 + Math.random()), abortController.signal)
      const report = latest
      if (!await write(report)) continue
      if (latest === report) latest = undefined
      logger.info('crashes_told', { suspects: report.suspects.length, cleared: report.cleared.length, tried })
    }
  }

  function publish (report: CrashReport): void {
    latest = report
    if (isWriting) return
    isWriting = true
    writeLatest()
      .catch((error: unknown) => logger.error('crashes_untold', { error }))
      .finally(() => { isWriting = false })
  }

  return combineTeardowns([
    () => abortController.abort(),
    // The restored backup may lack the report or contain an older one.
    port.onEra?.(() => {
      revision = undefined
      loop.dispatch({ type: 'crashes_untold' })
    }) ?? (() => {}),
    loop.registerEffect('publish_crashes', ({ report }) => publish(report))
  ])
}
