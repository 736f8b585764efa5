/**
 * Finds which software may have begun the streams of a route that callers can still resume, and keeps the record of it
 * that outlives the entries.
 *
 * @module
 */
import { rendezvousScore } from 'bendfall-core'
import { isHistoryComplete, isSoftwareInUse, seenSoftware } from '../streams/BendfallRouterSoftwareHistory.js'
import { isSameRecord, joinSoftware } from '../streams/BendfallRouterResumableSoftware.js'
import type { ResumableSoftware } from '../streams/BendfallRouterResumableSoftware.js'
import { digestSoftware } from '../streams/BendfallRouterStreamOrigins.js'
import type { SoftwareDigest } from '../streams/BendfallRouterStreamOrigins.js'
import type { Replica, Route } from '../BendfallRouterTypes.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RouterState } from './BendfallRouterState.js'

/** Lower bound of the time from the begin of a stream until its caller gives up. */
const MIN_RESUMABLE_MS = 20_000

/** The same as a multiple of the route's timeout. */
const RESUMABLE_TIMEOUT_FACTOR = 2

const REVIEW_INTERVAL_MS = 1_000

/** All entries learn of a new version at once; the first one that reviews the record writes it for all. */
const MAX_REVIEW_DELAY_MS = 200

/**
 * Returns the longest time from the begin of a stream until its caller gives up.
 *
 * @param route - route of the stream
 * @returns milliseconds
 */
export function resumableMs ({ timeoutMs }: Pick<Route, 'timeoutMs'>): number {
  return Math.max(MIN_RESUMABLE_MS, RESUMABLE_TIMEOUT_FACTOR * timeoutMs)
}

/**
 * Returns the software that may have begun a stream.
 *
 * @param state - state of the entry
 * @param route - route of the stream
 * @param sinceMs - earliest begin of the stream
 * @returns the software; undefined if some of it may be unknown
 */
export function possibleSoftware (state: RouterState, route: Route, sinceMs: number): readonly SoftwareDigest[] | undefined {
  const seen = seenOnRoute(state, route, sinceMs)
  if (isRouteObserved(state, route, sinceMs)) return seen
  const recorded = state.resumableSoftware?.get(route.name)
  return recorded === undefined ? undefined : joinSoftware(recorded, seen)
}

/**
 * Returns the software that has served a route, as far as this process has seen.
 *
 * @param state - state of the entry
 * @param route - route with its services
 * @param sinceMs - start of the time, up to now
 * @returns the software in ascending order
 */
export function seenOnRoute ({ softwareHistory }: RouterState, { services }: Route, sinceMs: number): SoftwareDigest[] {
  return joinSoftware(services.flatMap(({ service }) => seenSoftware(softwareHistory, service, sinceMs)), [])
}

/**
 * Returns whether a route has led to the same services for a time.
 *
 * @param state - state of the entry
 * @param route - route to check
 * @param sinceMs - start of the time, up to now
 * @returns false also if the entry has not known it for so long
 */
export function isRouteUnchanged ({ routedSinceMs }: RouterState, { name }: Route, sinceMs: number): boolean {
  return (routedSinceMs.get(name)?.sinceMs ?? Infinity) <= sinceMs
}

function isRouteObserved (state: RouterState, route: Route, sinceMs: number): boolean {
  return isRouteUnchanged(state, route, sinceMs) && isHistoryComplete(state.softwareHistory, sinceMs)
}

/**
 * Has the record reviewed soon if a registration brings a version that had no replicas.
 *
 * @param context - state, time and effects of the current event
 * @param replica - registration that has not been applied yet
 */
export function scheduleReview ({ nowMs, state }: RouterContext, replica: Replica): void {
  const digest = digestSoftware(replica)
  if (isSoftwareInUse(state.softwareHistory, replica.service, digest)) return
  const delayMs = rendezvousScore(digest, state.instanceId) * MAX_REVIEW_DELAY_MS
  state.resumableReviewAtMs = Math.min(state.resumableReviewAtMs, nowMs + delayMs)
}

/**
 * Has the record written if it lacks software that may begin streams, or names some of which no stream is left. Only an
 * entry that has watched a route for as long as streams last creates its record or removes software from it.
 *
 * @param context - state, time and effects of the current event
 */
export function reviewResumableSoftware ({ effects, nowMs, state }: RouterContext): void {
  if (nowMs < state.resumableReviewAtMs) return
  state.resumableReviewAtMs = nowMs + REVIEW_INTERVAL_MS
  const recorded: ResumableSoftware = state.resumableSoftware ?? new Map()
  const current = currentSoftware(state, nowMs)
  // Routes that the configuration lacks are kept, since this entry may not know of them yet.
  const unconfigured = [...recorded].filter(([route]) => !current.has(route))
  const software = new Map([...current, ...unconfigured])
  if (!isSameRecord(software, recorded)) effects.push({ type: 'record_resumable_software', software })
}

function currentSoftware (state: RouterState, nowMs: number): ResumableSoftware {
  const routes = (state.config?.routes ?? []).filter(({ isResumable, kind }) => kind === 'streaming' && isResumable)
  const current = new Map<string, readonly SoftwareDigest[]>()
  for (const route of routes) {
    const software = possibleSoftware(state, route, nowMs - resumableMs(route))
    if (software !== undefined) current.set(route.name, software)
  }
  return current
}
