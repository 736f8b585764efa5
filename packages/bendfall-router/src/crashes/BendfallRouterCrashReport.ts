/**
 * Creates and merges the crash reports that entries exchange.
 *
 * @module
 */
import { addObservation, addServedTrait, addTraitServedElsewhere } from './BendfallRouterCrashRecords.js'
import type { CrashObservation, CrashObservations, CrashRecords } from './BendfallRouterCrashRecords.js'

/** Crashes under requests with one trait in a report. */
export interface SuspectReport {
  /** The trait; a fingerprint is the only kind that earlier versions know. */
  readonly fingerprint: string
  /** Names of the processes that ended. */
  readonly processes: readonly string[]
  /** Ages by process name; absent in reports of earlier versions. */
  readonly ages?: Readonly<Record<string, CrashAge>>
  /** Whether the entry has served requests with it; absent if not, and in reports of earlier versions. */
  readonly isServed?: boolean
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
  /** Crashes that a trait did not cause. */
  readonly cleared: readonly SuspectReport[]
  /** Traits that the entry has served and only other entries suspect; absent if there are none, and in reports of earlier versions. */
  readonly served?: readonly string[]
}

/** Maximum traits per list of a report. */
const MAX_REPORTED = 192

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
export function mergeCrashReport (records: CrashRecords, { cleared, served = [], suspects }: CrashReport, isOwn: boolean, nowMs: number, isListed: (process: string) => boolean = () => false): void {
  for (const { fingerprint: trait, processes } of cleared) {
    addServedTrait(records, trait)
    for (const name of processes) {
      addObservation(records, 'cleared', trait, name, { atMs: nowMs, isOwn })
      removeObservation(records, trait, name)
    }
  }
  for (const trait of served) addTraitServedElsewhere(records, trait)
  for (const { ages, fingerprint: trait, isServed = false, processes } of suspects) {
    if (isServed && !records.served.has(trait)) addServedTrait(records, trait)
    const clearedProcesses = records.cleared.get(trait)
    for (const name of processes) {
      if (clearedProcesses?.has(name) !== true) addObservation(records, 'suspects', trait, name, { ...observationTimes(isListed(name) ? ages?.[name] : undefined, nowMs), isOwn })
    }
  }
}

function removeObservation ({ suspects }: CrashRecords, trait: string, name: string): void {
  const crashes = suspects.get(trait)
  crashes?.delete(name)
  if (crashes?.size === 0) suspects.delete(trait)
}

function observationTimes (age: CrashAge | undefined, nowMs: number): Pick<CrashObservation, 'atMs' | 'sentAtMs'> {
  return age === undefined ? { atMs: nowMs } : { atMs: nowMs - age.knownMs, sentAtMs: nowMs - age.sentMs }
}

/**
 * Creates the report of the crashes that this entry observed itself.
 *
 * @param records - crash records of this entry
 * @param nowMs - current time
 * @returns the report, with the traits of the most crashes, and the most recent ones among equals
 */
export function createCrashReport (records: CrashRecords, nowMs: number): CrashReport {
  const suspects = ownReports(records, records.suspects, nowMs)
  const served = listDisputable(records).slice(0, MAX_REPORTED)
  return {
    suspects: suspects.map((suspect) => records.served.has(suspect.fingerprint) ? { ...suspect, isServed: true } : suspect),
    cleared: ownReports(records, records.cleared, nowMs),
    ...(served.length === 0 ? {} : { served })
  }
}

/**
 * Lists the traits that only other entries suspect, in enough crashes to refuse requests, and that this entry has served.
 *
 * @param records - crash records of this entry
 * @returns the traits
 */
export function listDisputable ({ limits, served, suspects }: CrashRecords): readonly string[] {
  const disputable = [...suspects].filter(([trait, crashes]) => crashes.size >= limits.replicas && served.has(trait) && ![...crashes.values()].some(({ isOwn }) => isOwn))
  return disputable.map(([trait]) => trait)
}

function ownReports ({ limits }: CrashRecords, all: ReadonlyMap<string, CrashObservations>, nowMs: number): SuspectReport[] {
  const own = [...all].reverse().map(([trait, times]) => {
    const seen = [...times].filter(([, { atMs, isOwn }]) => isOwn && nowMs - atMs < limits.rememberedMs)
    return { fingerprint: trait, processes: seen.map(([name]) => name), ...agesOf(seen, nowMs) }
  })
  const reported = own.filter(({ processes }) => processes.length > 0)
  return reported.sort((one, other) => other.processes.length - one.processes.length).slice(0, MAX_REPORTED)
}

function agesOf (seen: ReadonlyArray<readonly [string, CrashObservation]>, nowMs: number): Pick<SuspectReport, 'ages'> {
  const known = seen.flatMap(([name, { atMs, sentAtMs }]) => sentAtMs === undefined ? [] : [[name, { knownMs: Math.round(nowMs - atMs), sentMs: Math.round(nowMs - sentAtMs) }] as const])
  return known.length === 0 ? {} : { ages: Object.fromEntries(known) }
}
