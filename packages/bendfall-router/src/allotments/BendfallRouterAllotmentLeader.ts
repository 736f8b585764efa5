/**
 * Keeps the allotments of all customers at one entry, which is elected leader and holds a lease.
 *
 * There are two roles with an elected leader each. The primary grants the allotment itself. The
 * reserve grants part of the overuse that the bounds permit, and is asked only while no primary
 * responds; the rest is left for the time without either, in which an interim role grants.
 * Thus neither an entry that crashes nor one that is partitioned causes rejections of requests within
 * the allotment, and both leaders together stay within the bounds whichever of them each entry asks.
 *
 * @module
 */
import type { RouterDecisions } from '../BendfallRouterDecisions.js'
import type { Allotment, Customer } from '../BendfallRouterTypes.js'
import { createBucket, giveBackUnits, takeUnits } from './BendfallRouterTokenBucket.js'
import type { BucketLimit, TakeOutcome, TokenBucket } from './BendfallRouterTokenBucket.js'

/** Which part of the allotments a process grants. */
export type AllotmentRole = 'primary' | 'reserve' | 'interim'

/** All roles. */
export const ALLOTMENT_ROLES: readonly AllotmentRole[] = ['primary', 'reserve', 'interim']

/** Roles with an elected leader. */
export const ELECTED_ROLES: readonly AllotmentRole[] = ['primary', 'reserve']

/** Permitted use beyond an allotment, in any window. */
export interface AllotmentBounds {
  readonly windowMs: number
  /** Relative to what an allotment's rate yields in one window, without its burst. */
  readonly overShare: number
  readonly slackUnits: number
}

/** Used where the settings define no bounds: nothing is granted beyond an allotment. */
export const DEFAULT_ALLOTMENT_BOUNDS: AllotmentBounds = { windowMs: 8_000, overShare: 0, slackUnits: 0 }

/** Result of a request to a leader. */
export type UnitsOutcome =
  | Exclude<TakeOutcome, { readonly type: 'granted' }>
  /** `term` identifies the term of the leader, which alone may take the units back; absent if the leader runs an earlier version. */
  | { readonly type: 'granted', readonly term?: string }
  /** The leader did not respond, or the process is not the leader. */
  | { readonly type: 'unreachable' }

/** State of a leader, kept for one term. */
export interface AllotmentLeaderState {
  readonly role: AllotmentRole
  readonly bounds: AllotmentBounds
  /** When this process became leader; before that, another process may have granted units. */
  readonly sinceMs: number
  readonly buckets: Map<string, TokenBucket>
  /** Share of the units beyond an allotment that the reserve grants. */
  readonly reserveShare: number
}

/**
 * Shares of the units beyond an allotment that the parts of the interim role grant. The first is
 * also that of entries of earlier versions, which know only one part. With 120,000 units of slack a
 * part serves 0.97 of the first second of a customer at its usual load, with 0.2 instead of 0.24 0.94.
 */
export const INTERIM_SHARES: readonly number[] = [0.25, 0.24, 0.24]

/** Share of the first part. */
export const INTERIM_SHARE = 0.25

/** Share of the units beyond an allotment that the reserve grants where there is an interim role. */
export const RESERVE_SHARE = 0.27

/** Share of the reserve's units that it grants at once after an idle period: with 120,000 units of slack the largest stream. The interim parts cover longer bursts. */
const RESERVE_BURST_SHARE = 0.4

const MS_PER_SECOND = 1_000

/**
 * Creates the state of a leader that has granted nothing.
 *
 * @param role - which part of the allotments it grants
 * @param bounds - permitted use beyond the allotments in this deployment
 * @param sinceMs - when the process became leader
 * @param interim - whether part of the overuse is left for the interim role
 * @returns the state
 */
export function createAllotmentLeaderState (role: AllotmentRole, bounds: AllotmentBounds, sinceMs: number, interim: RouterDecisions['allotmentInterim'] = 'granted'): AllotmentLeaderState {
  return { role, bounds, sinceMs, buckets: new Map(), reserveShare: interim === 'granted' ? RESERVE_SHARE : 1 }
}

/**
 * Takes units from a customer's allotment, in order of arrival.
 *
 * @param state - its buckets are changed in place
 * @param customer - customer from the configuration that is active at the leader
 * @param units - units that the request needs
 * @param nowMs - current time
 * @returns whether the units were granted
 */
export function takeFromAllotment (state: AllotmentLeaderState, { allotment, name }: Customer, units: number, nowMs: number): TakeOutcome {
  if (allotment === undefined) return { type: 'granted' }
  const limit = limitOf(state, allotment)
  if (limit.unitsPerS <= 0) return { type: 'refused', retryAfterMs: 0 }
  return takeUnits(bucketOf(state, name, limit), limit, units, nowMs)
}

/**
 * Returns units to a customer's allotment.
 *
 * @param state - its buckets are changed in place
 * @param customer - customer from the configuration that is active at the leader
 * @param units - units taken for a request that never ran
 * @param nowMs - current time
 */
export function giveBackToAllotment (state: AllotmentLeaderState, { allotment, name }: Customer, units: number, nowMs: number): void {
  if (allotment === undefined) return
  const limit = limitOf(state, allotment)
  giveBackUnits(bucketOf(state, name, limit), limit, units, nowMs)
}

/**
 * Removes the buckets of customers that are no longer configured.
 *
 * @param state - its buckets are changed in place
 * @param names - names of the customers that remain
 */
export function retainCustomers ({ buckets }: AllotmentLeaderState, names: ReadonlySet<string>): void {
  for (const name of buckets.keys()) if (!names.has(name)) buckets.delete(name)
}

function bucketOf ({ buckets, sinceMs }: AllotmentLeaderState, name: string, limit: BucketLimit): TokenBucket {
  const existing = buckets.get(name)
  if (existing !== undefined) return existing
  const created = createBucket(limit, sinceMs)
  buckets.set(name, created)
  return created
}

/**
 * Returns the units that a customer may use beyond its allotment in any window.
 *
 * @param bounds - permitted use beyond the allotments in this deployment
 * @param allotment - allotment of the customer
 * @returns units that the reserve and the interim role may grant together
 */
export function overuseUnitsOf ({ overShare, slackUnits, windowMs }: AllotmentBounds, { unitsPerS }: Allotment): number {
  return overShare * unitsPerS * windowMs / MS_PER_SECOND + slackUnits
}

function limitOf ({ bounds, reserveShare, role }: AllotmentLeaderState, allotment: Allotment): BucketLimit {
  if (role === 'primary') return allotment
  const overuseUnits = reserveShare * overuseUnitsOf(bounds, allotment)
  return { unitsPerS: overuseUnits * (1 - RESERVE_BURST_SHARE) * MS_PER_SECOND / bounds.windowMs, burstUnits: overuseUnits * RESERVE_BURST_SHARE, maxWindowUnits: overuseUnits }
}
