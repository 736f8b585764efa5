/**
 * Watches which software versions serve each service, to tell whether one version alone has served
 * it for a time.
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
 * Returns the software that alone served a service for a time.
 *
 * @param history - observations of this process
 * @param service - name of the service
 * @param sinceMs - start of the time, up to now
 * @returns the software; undefined if there were several, or the time was not observed completely
 */
export function soleSoftware (history: SoftwareHistory, service: string, sinceMs: number): SoftwareDigest | undefined {
  return history.completeSinceMs > sinceMs ? undefined : onlySeenSoftware(history, service, sinceMs)
}

/**
 * Returns the only software of a service that this process has seen in a time. While the key-value service is down no
 * entry learns of another one, so that gaps don't matter here; what was before the process had started does.
 *
 * @param history - observations of this process
 * @param service - name of the service
 * @param sinceMs - start of the time, up to now
 * @returns the software; undefined if there were several or none, or the process was started later
 */
export function onlySeenSoftware ({ beganAtMs, services }: SoftwareHistory, service: string, sinceMs: number): SoftwareDigest | undefined {
  if (beganAtMs > sinceMs) return undefined
  const recent = [...services.get(service) ?? []].filter(([, { lastSeenAtMs, replicas }]) => replicas > 0 || lastSeenAtMs >= sinceMs)
  return recent.length === 1 ? recent[0]?.[0] : undefined
}
