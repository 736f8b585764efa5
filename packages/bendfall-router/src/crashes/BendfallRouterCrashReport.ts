/**
 * What entries tell each other of crashes.
 *
 * @module
 */
import { addTime, vouch } from './BendfallRouterCrashRecords.js'
import type { CrashRecords, ProcessTime, ProcessTimes } from './BendfallRouterCrashRecords.js'

/** Crashes of one request as entries tell them to each other. */
export interface SuspectReport {
  readonly fingerprint: string
  /** Processes that ended. */
  readonly processes: readonly string[]
  /** Ages by process; an entry of an earlier version tells none. */
  readonly ages?: Readonly<Record<string, CrashAge>>
}

/** Times before the report was made: clocks of entries differ, ages do not. */
export interface CrashAge {
  /** Time since the entry knew of the crash. */
  readonly knownMs: number
  /** Time since the request was sent there. */
  readonly sentMs: number
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
 * @param isListed - whether a process is registered still: only then do the ages tell when it ended, since
 *   a report may have stood in the service for long
 */
export function takeReport (records: CrashRecords, { cleared, suspects }: CrashReport, isOwn: boolean, nowMs: number, isListed: (process: string) => boolean = () => false): void {
  for (const { fingerprint, processes } of cleared) {
    vouch(records, fingerprint)
    for (const name of processes) {
      addTime(records, 'cleared', fingerprint, name, { atMs: nowMs, isOwn })
      records.suspects.get(fingerprint)?.delete(name)
    }
  }
  for (const { ages, fingerprint, processes } of suspects) {
    const acquitted = records.cleared.get(fingerprint)
    for (const name of processes) {
      if (acquitted?.has(name) !== true) addTime(records, 'suspects', fingerprint, name, { ...timesOf(isListed(name) ? ages?.[name] : undefined, nowMs), isOwn })
    }
  }
}

function timesOf (age: CrashAge | undefined, nowMs: number): Pick<ProcessTime, 'atMs' | 'sentAtMs'> {
  return age === undefined ? { atMs: nowMs } : { atMs: nowMs - age.knownMs, sentAtMs: nowMs - age.sentMs }
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
  const own = [...all].map(([fingerprint, times]) => {
    const seen = [...times].filter(([, { atMs, isOwn }]) => isOwn && nowMs - atMs < limits.rememberedMs)
    return { fingerprint, processes: seen.map(([name]) => name), ...agesOf(seen, nowMs) }
  })
  return own.filter(({ processes }) => processes.length > 0).slice(-MOST_REPORTED)
}

function agesOf (seen: ReadonlyArray<readonly [string, ProcessTime]>, nowMs: number): Pick<SuspectReport, 'ages'> {
  const known = seen.flatMap(([name, { atMs, sentAtMs }]) => sentAtMs === undefined ? [] : [[name, { knownMs: Math.round(nowMs - atMs), sentMs: Math.round(nowMs - sentAtMs) }] as const])
  return known.length === 0 ? {} : { ages: Object.fromEntries(known) }
}
