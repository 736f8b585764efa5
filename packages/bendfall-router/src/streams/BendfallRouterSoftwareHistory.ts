/**
 * Watches which software versions serve each service, to tell which ones may have begun a stream.
 *
 * @module
 */
import type { SoftwareDigest } from './BendfallRouterStreamOrigins.js'

/** Software of the registered replicas over time. */
export interface SoftwareHistory {
  /** When registrations were first known; infinite before. */
  beganAtMs: number
  /** Start of the time for which all changes of registrations are known; infinite before the first read. */
  completeSinceMs: number
  /** When the registrations were last known to be complete. */
  confirmedAtMs: number
  readonly services: Map<string, Map<SoftwareDigest, SoftwareUse>>
}

/** Use of one software version by a service. */
interface SoftwareUse {
  replicas: number
  lastSeenAtMs: number
}

/** A longer time between two confirmations may hide a replica that came and went. */
const MAX_UNCONFIRMED_MS = 2_500

/** @returns a history without observations */
export function createSoftwareHistory (): SoftwareHistory {
  return { beganAtMs: Infinity, completeSinceMs: Infinity, confirmedAtMs: -Infinity, services: new Map() }
}

/**
 * Records that all changes of registrations up to now are known.
 *
 * @param history - changed in place
 * @param nowMs - current time
 */
export function confirmHistory (history: SoftwareHistory, nowMs: number): void {
  if (nowMs - history.confirmedAtMs > MAX_UNCONFIRMED_MS) history.completeSinceMs = nowMs
  history.confirmedAtMs = nowMs
  history.beganAtMs = Math.min(history.beganAtMs, nowMs)
}

/**
 * Records that replicas with a software were added to or removed from a service.
 *
 * @param history - changed in place
 * @param service - name of the service
 * @param software - software of the replicas
 * @param change - number of replicas that were added; negative if they were removed
 * @param nowMs - current time
 */
export function countSoftware (history: SoftwareHistory, service: string, software: SoftwareDigest, change: number, nowMs: number): void {
  const uses = history.services.get(service) ?? new Map<SoftwareDigest, SoftwareUse>()
  history.services.set(service, uses)
  const replicas = (uses.get(software)?.replicas ?? 0) + change
  uses.set(software, { replicas, lastSeenAtMs: nowMs })
}

/**
 * Records that the process may have missed any changes up to now, for example while its machine was suspended.
 *
 * @param history - changed in place
 */
export function interruptHistory (history: SoftwareHistory): void {
  history.completeSinceMs = Infinity
  history.confirmedAtMs = -Infinity
}

/**
 * Returns whether this process knows all changes of registrations since a time.
 *
 * @param history - observations of this process
 * @param sinceMs - start of the time, up to now
 * @returns false if it was started later or has missed a part
 */
export function isHistoryComplete ({ completeSinceMs }: SoftwareHistory, sinceMs: number): boolean {
  return completeSinceMs <= sinceMs
}

/**
 * Returns the software of a service that this process has seen in a time, of which it may have missed a part.
 *
 * @param history - observations of this process
 * @param service - name of the service
 * @param sinceMs - start of the time, up to now
 * @returns the software, in any order
 */
export function seenSoftware ({ services }: SoftwareHistory, service: string, sinceMs: number): SoftwareDigest[] {
  const uses = [...services.get(service) ?? []]
  return uses.filter(([, { lastSeenAtMs, replicas }]) => replicas > 0 || lastSeenAtMs >= sinceMs).map(([software]) => software)
}

/**
 * Returns whether a service has replicas with a software.
 *
 * @param history - observations of this process
 * @param service - name of the service
 * @param software - software to look for
 * @returns true if at least one is registered
 */
export function isSoftwareInUse ({ services }: SoftwareHistory, service: string, software: SoftwareDigest): boolean {
  return (services.get(service)?.get(software)?.replicas ?? 0) > 0
}
