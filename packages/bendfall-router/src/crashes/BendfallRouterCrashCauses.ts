/**
 * Attributes crashes to the traits that explain them. A trait that was only present while another one
 * crashed replicas is no cause, and of traits that were always together it is not known which one is.
 *
 * @module
 */
import { countCrashes } from './BendfallRouterCrashCount.js'
import type { CrashRecords } from './BendfallRouterCrashRecords.js'

/** Traits that explain crashes which no other traits explain. */
export interface CrashCause {
  /** One of these is the cause; they were present in the same crashes. */
  readonly traits: readonly string[]
  /** Names of the processes that ended. */
  readonly processes: readonly string[]
  /** Time until they no longer count as a cause. */
  readonly lapsesInMs: number
}

interface Explanation extends CrashCause {
  /** Whether requests with one of the traits were recently served, by any entry. */
  readonly isServed: boolean
}

/**
 * Finds the cause of crashes in a request. A request that lacks one of several traits that were always
 * together is not refused, since its outcome shows which of them is the cause.
 *
 * @param records - crash records of this entry
 * @param traits - traits of the request
 * @param nowMs - current time
 * @returns the cause, all of whose traits the request has; undefined if there is none
 */
export function findCause (records: CrashRecords, traits: readonly string[], nowMs: number): CrashCause | undefined {
  if (!traits.some((trait) => countCrashes(records, trait, nowMs).isCause)) return undefined
  return listCauses(records, nowMs).find((cause) => cause.traits.every((trait) => traits.includes(trait)))
}

/**
 * Lists the causes of the recorded crashes, the most likely one first. Traits that were never served go
 * before those that were, and those with more crashes before those with fewer.
 *
 * @param records - crash records of this entry
 * @param nowMs - current time
 * @returns the causes
 */
export function listCauses (records: CrashRecords, nowMs: number): readonly CrashCause[] {
  const explained = new Set<string>()
  return listExplanations(records, nowMs).filter(({ processes }) => {
    const unexplained = processes.filter((name) => !explained.has(name))
    if (unexplained.length < records.limits.replicas) return false
    for (const name of unexplained) explained.add(name)
    return true
  })
}

function listExplanations (records: CrashRecords, nowMs: number): Explanation[] {
  const byProcesses = new Map<string, Explanation>()
  for (const trait of records.suspects.keys()) {
    const { isCause, lapsesInMs, processes } = countCrashes(records, trait, nowMs)
    if (!isCause) continue
    const isServed = records.served.has(trait) || records.servedElsewhere.has(trait)
    const key = `${isServed} ${[...processes].sort().join(' ')}`
    const same = byProcesses.get(key)
    byProcesses.set(key, { traits: [...same?.traits ?? [], trait], processes, lapsesInMs: Math.max(lapsesInMs, same?.lapsesInMs ?? 0), isServed })
  }
  return [...byProcesses.values()].sort((one, other) => Number(one.isServed) - Number(other.isServed) || other.processes.length - one.processes.length)
}
