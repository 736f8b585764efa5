/**
 * Creates and merges the crash reports that entries exchange.
 *
 * @module
 */
import { addObservation, addServedFingerprint } from './BendfallRouterCrashRecords.js'
import type { CrashObservation, CrashObservations, CrashRecords } from './BendfallRouterCrashRecords.js'

/** Crashes of one request in a report. */
export interface SuspectReport {
  readonly fingerprint: string
  /** Names of the processes that ended. */
  readonly processes: readonly string[]
  /** Ages by process name; absent in reports of earlier versions. */
  readonly ages?: Readonly<Record<string, CrashAge>>
}

/** Times relative to the creation of the report, since the clocks of entries differ but ages do not. */
export interface CrashAge {
  /** Time since the entry learned of the crash. */
  readonly knownMs: number
  /** Time since the request was sent to the process. */
  readonly sentMs: number
}

/** Crashes that one entry observed itself. */
export interface CrashReport {
  readonly suspects: readonly SuspectReport[]
  /** Crashes that a request did not cause. */
  readonly cleared: readonly SuspectReport[]
}

/** Maximum fingerprints per list of a report. */
const MAX_REPORTED = 64

/**
 * Merges the report of an entry into the records.
 *
 * @param records - changed in place
 * @param report - report of the entry
 * @param isOwn - whether this entry published the report before its restart
 * @param nowMs - current time
 * @param isListed - returns whether a process is still registered. Only then do the ages show when it ended, since a
 *   report may have been stored in the key-value service for long
 */
export function mergeCrashReport (records: CrashRecords, { cleared, suspects }: CrashReport, isOwn: boolean, nowMs: number, isListed: (process: string) => boolean = () => false): void {
  for (const { fingerprint, processes } of cleared) {
    addServedFingerprint(records, fingerprint)
    for (const name of processes) {
      addObservation(records, 'cleared', fingerprint, name, { atMs: nowMs, isOwn })
      records.suspects.get(fingerprint)?.delete(name)
    }
  }
  for (const { ages, fingerprint, processes } of suspects) {
    const clearedProcesses = records.cleared.get(fingerprint)
    for (const name of processes) {
      if (clearedProcesses?.has(name) !== true) addObservation(records, 'suspects', fingerprint, name, { ...observationTimes(isListed(name) ? ages?.[name] : undefined, nowMs), isOwn })
    }
  }
}

function observationTimes (age: CrashAge | undefined, nowMs: number): Pick<CrashObservation, 'atMs' | 'sentAtMs'> {
  return age === undefined ? { atMs: nowMs } : { atMs: nowMs - age.knownMs, sentAtMs: nowMs - age.sentMs }
}

/**
 * Creates the report of the crashes that this entry observed itself.
 *
 * @param records - crash records of this entry
 * @param nowMs - current time
 * @returns the report, with the most recent fingerprints
 */
export function createCrashReport (records: CrashRecords, nowMs: number): CrashReport {
  return { suspects: ownReports(records, records.suspects, nowMs), cleared: ownReports(records, records.cleared, nowMs) }
}

function ownReports ({ limits }: CrashRecords, all: ReadonlyMap<string, CrashObservations>, nowMs: number): SuspectReport[] {
  const own = [...all].map(([fingerprint, times]) => {
    const seen = [...times].filter(([, { atMs, isOwn }]) => isOwn && nowMs - atMs < limits.rememberedMs)
    return { fingerprint, processes: seen.map(([name]) => name), ...agesOf(seen, nowMs) }
  })
  return own.filter(({ processes }) => processes.length > 0).slice(-MAX_REPORTED)
}

function agesOf (seen: ReadonlyArray<readonly [string, CrashObservation]>, nowMs: number): Pick<SuspectReport, 'ages'> {
  const known = seen.flatMap(([name, { atMs, sentAtMs }]) => sentAtMs === undefined ? [] : [[name, { knownMs: Math.round(nowMs - atMs), sentMs: Math.round(nowMs - sentAtMs) }] as const])
  return known.length === 0 ? {} : { ages: Object.fromEntries(known) }
}
