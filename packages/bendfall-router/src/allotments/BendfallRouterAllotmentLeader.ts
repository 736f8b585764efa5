/**
 * Keeps the allotments of all customers at one entry, which is elected leader and holds a lease.
 *
 * There are two roles, each with its own leader. The primary grants the allotment itself. The
 * reserve grants the overuse that the bounds permit, and is asked only while no primary responds.
 * Thus neither an entry that crashes nor one that is partitioned causes rejections of requests within
 * the allotment, and both leaders together stay within the bounds whichever of them each entry asks.
 *
 * @module
 */
import type { Allotment, Customer } from '../BendfallRouterTypes.js'
import { createBucket, giveBackUnits, takeUnits } from './BendfallRouterTokenBucket.js'
import type { BucketLimit, TakeOutcome, TokenBucket } from './BendfallRouterTokenBucket.js'

/** Which part of the allotments a leader grants. */
export type AllotmentRole = 'primary' | 'reserve'

/** All roles. */
export const ALLOTMENT_ROLES: readonly AllotmentRole[] = ['primary', 'reserve']

/** Permitted use beyond an allotment, in any window. */
export interface AllotmentBounds {
  readonly windowMs: number
  /** Relative to the allotment of one window. */
  readonly overShare: number
  readonly slackUnits: number
}

/** Used where the settings define no bounds: nothing is granted beyond an allotment. */
export const DEFAULT_ALLOTMENT_BOUNDS: AllotmentBounds = { windowMs: 8_000, overShare: 0, slackUnits: 0 }

/** Result of a request to a leader. */
export type UnitsOutcome =
  | TakeOutcome
  /** The leader did not respond, or the process is not the leader. */
  | { readonly type: 'unreachable' }

/** State of a leader, kept for one term. */
export interface AllotmentLeaderState {
  readonly role: AllotmentRole
  readonly bounds: AllotmentBounds
  /** When this process became leader; before that, another process may have granted units. */
  readonly sinceMs: number
  readonly buckets: Map<string, TokenBucket>
}

/** Share of the units beyond an allotment that the reserve grants at once after an idle period. */
const RESERVE_BURST_SHARE = 0.5

const MS_PER_SECOND = 1_000

/**
 * Creates the state of a leader that has granted nothing.
 *
 * @param role - which part of the allotments it grants
 * @param bounds - permitted use beyond the allotments in this deployment
 * @param sinceMs - when the process became leader
 * @returns the state
 */
export function createAllotmentLeaderState (role: AllotmentRole, bounds: AllotmentBounds, sinceMs: number): AllotmentLeaderState {
  return { role, bounds, sinceMs, buckets: new Map() }
}

/**
 * Takes units from a customer's allotment.
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
  return limit.unitsPerS <= 0 ? { type: 'refused', retryAfterMs: 0 } : takeUnits(bucketOf(state, name, limit), limit, units, nowMs)
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

function limitOf ({ bounds, role }: AllotmentLeaderState, { burstUnits, unitsPerS }: Allotment): BucketLimit {
  if (role === 'primary') return { unitsPerS, burstUnits }
  const windowS = bounds.windowMs / MS_PER_SECOND
  const overuseUnits = bounds.overShare * (unitsPerS * windowS + burstUnits) + bounds.slackUnits
  return { unitsPerS: overuseUnits * (1 - RESERVE_BURST_SHARE) / windowS, burstUnits: overuseUnits * RESERVE_BURST_SHARE }
}
