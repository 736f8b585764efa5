/**
 * What entries tell each other of crashes.
 *
 * @module
 */
import { addTime, vouch } from './BendfallRouterCrashRecords.js'
import type { CrashRecords, ProcessTimes } from './BendfallRouterCrashRecords.js'

/** Crashes of one request as entries tell them to each other. */
export interface SuspectReport {
  readonly fingerprint: string
  /** Processes that ended. */
  readonly processes: readonly string[]
}

/** What one entry saw itself. */
export interface CrashReport {
  readonly suspects: readonly SuspectReport[]
  /** Crashes that a request did not cause. */
  readonly cleared: readonly SuspectReport[]
}

/** Fingerprints that an entry tells the others. */
const MOST_REPORTED = 64

/**
 * Takes what an entry saw.
 *
 * @param records - changed in place
 * @param report - of the entry
 * @param isOwn - whether this entry told it before it started again
 * @param nowMs - the time
 */
export function takeReport (records: CrashRecords, { cleared, suspects }: CrashReport, isOwn: boolean, nowMs: number): void {
  for (const { fingerprint, processes } of cleared) {
    vouch(records, fingerprint)
    for (const name of processes) {
      addTime(records, 'cleared', fingerprint, name, { atMs: nowMs, isOwn })
      records.suspects.get(fingerprint)?.delete(name)
    }
  }
  for (const { fingerprint, processes } of suspects) {
    const acquitted = records.cleared.get(fingerprint)
    for (const name of processes) {
      if (acquitted?.has(name) !== true) addTime(records, 'suspects', fingerprint, name, { atMs: nowMs, isOwn })
    }
  }
}

/**
 * Makes the report of what this entry saw itself.
 *
 * @param records - of this entry
 * @param nowMs - the time
 * @returns the newest suspects
 */
export function makeReport (records: CrashRecords, nowMs: number): CrashReport {
  return { suspects: ownOf(records, records.suspects, nowMs), cleared: ownOf(records, records.cleared, nowMs) }
}

function ownOf ({ limits }: CrashRecords, all: ReadonlyMap<string, ProcessTimes>, nowMs: number): SuspectReport[] {
  const own = [...all].map(([fingerprint, times]) => ({
    fingerprint,
    processes: [...times].filter(([, { atMs, isOwn }]) => isOwn && nowMs - atMs < limits.rememberedMs).map(([name]) => name)
  }))
  return own.filter(({ processes }) => processes.length > 0).slice(-MOST_REPORTED)
}
