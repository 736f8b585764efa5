/**
 * Keeps what this entry has seen of crashes in the key-value service, under a lease that
 * ends with the time for which a crash counts: a report outlives its entry.
 *
 * @module
 */
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { backoffMs, combineTeardowns, pause } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import type { CrashReport, RouterEffect, RouterEvent } from 'bendfall-router'
import { CRASH_PREFIX, encodeCrashReport } from './BendfallEdgeCrashDocument.js'

/** What the reports need. */
export interface CrashReportOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly logger: Logger
  readonly instanceId: string
  /** Time for which a crash counts; the longest lease of the service is ten minutes. */
  readonly rememberedMs: number
}

/** Crashes within this are told at once: one that ends many requests is heard of many times. */
const GATHER_MS = 50

/** Pauses after failed writes; half of them by chance, since many entries see one crash. */
const FIRST_PAUSE_MS = 100
const LONGEST_PAUSE_MS = 2_000

/**
 * Registers the effect `publish_crashes`.
 *
 * @param options - update path and service
 * @returns teardown
 */
export function registerCrashReports ({ instanceId, logger, loop, port, rememberedMs }: CrashReportOptions): Teardown {
  const key = `${CRASH_PREFIX}${instanceId}`
  const ended = new AbortController()
  let latest: CrashReport | undefined
  let isWriting = false
  let revision: number | undefined

  async function write (report: CrashReport): Promise<boolean> {
    const lease = await port.grantLease(rememberedMs)
    if (lease.type !== 'granted') return false
    revision ??= await readRevision()
    if (revision === undefined) return false
    const written = await port.compareAndSwap({ key, expectedRevision: revision, value: encodeCrashReport(report), leaseId: lease.leaseId })
    // Whether it was done, and which revision stands there, is read before the next try.
    revision = written.type === 'applied' ? written.revision : undefined
    return written.type === 'applied'
  }

  async function readRevision (): Promise<number | undefined> {
    const read = await port.get(key)
    if (read.type === 'unavailable') return undefined
    return read.type === 'found' ? read.entry.revision : 0
  }

  async function writeLatest (): Promise<void> {
    for (let tried = 0; latest !== undefined && !ended.signal.aborted; tried += 1) {
      await pause(loop.clock, tried === 0 ? GATHER_MS : backoffMs(FIRST_PAUSE_MS, LONGEST_PAUSE_MS, tried) * (0.5 + Math.random()), ended.signal)
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
    () => ended.abort(),
    // The copy may lack the report, or have an older one.
    port.onEra?.(() => {
      revision = undefined
      loop.dispatch({ type: 'crashes_untold' })
    }) ?? (() => {}),
    loop.registerEffect('publish_crashes', ({ report }) => publish(report))
  ])
}
