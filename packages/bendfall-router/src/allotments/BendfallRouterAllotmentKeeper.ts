/**
 * Keeps the allotments of all customers at one entry, which holds that duty under a lease.
 *
 * Two roles share what a customer may use. The primary keeps the allotment itself. The
 * reserve keeps what the bounds allow beyond it, and is asked only while no primary answers,
 * so that neither an entry that dies nor one that is cut off refuses what is due, and both
 * together stay within the bounds whoever asks whom.
 *
 * @module
 */
import type { Allotment, Customer } from '../BendfallRouterTypes.js'
import { createBucket, giveBackUnits, takeUnits } from './BendfallRouterTokenBucket.js'
import type { BucketLimit, TakeOutcome, TokenBucket } from './BendfallRouterTokenBucket.js'

/** Which part of the allotments an entry keeps. */
export type AllotmentRole = 'primary' | 'reserve'

/** All roles. */
export const ALLOTMENT_ROLES: readonly AllotmentRole[] = ['primary', 'reserve']

/** What may be used beyond an allotment, in any window. */
export interface AllotmentBounds {
  readonly windowMs: number
  /** Of the allotment of a window. */
  readonly overShare: number
  readonly slackUnits: number
}

/** Without bounds in the settings nothing is granted beyond an allotment. */
export const DEFAULT_ALLOTMENT_BOUNDS: AllotmentBounds = { windowMs: 8_000, overShare: 0, slackUnits: 0 }

/** Outcome of asking a keeper. */
export type UnitsOutcome =
  | TakeOutcome
  /** No answer, or its process doesn't hold the duty. */
  | { readonly type: 'unreachable' }

/** Buckets of one time of holding the duty. */
export interface AllotmentKeeper {
  readonly role: AllotmentRole
  readonly bounds: AllotmentBounds
  /** Since when the duty is held; before, another process may have granted. */
  readonly sinceMs: number
  readonly buckets: Map<string, TokenBucket>
}

/** Of the units beyond an allotment: those that the reserve grants at once after a time without use. */
const RESERVE_BURST_SHARE = 0.5

const MS_PER_SECOND = 1_000

/**
 * Makes a keeper that has granted nothing.
 *
 * @param role - that it has
 * @param bounds - of the deployment
 * @param sinceMs - since when the duty is held
 * @returns the keeper
 */
export function createAllotmentKeeper (role: AllotmentRole, bounds: AllotmentBounds, sinceMs: number): AllotmentKeeper {
  return { role, bounds, sinceMs, buckets: new Map() }
}

/**
 * Takes units of a customer's allotment.
 *
 * @param keeper - its buckets are changed in place
 * @param customer - by the configuration in force here
 * @param units - of the request
 * @param nowMs - the time
 * @returns whether they were granted
 */
export function takeOfAllotment (keeper: AllotmentKeeper, { allotment, name }: Customer, units: number, nowMs: number): TakeOutcome {
  if (allotment === undefined) return { type: 'granted' }
  const limit = limitOf(keeper, allotment)
  return limit.unitsPerS <= 0 ? { type: 'refused', retryAfterMs: 0 } : takeUnits(bucketOf(keeper, name, limit), limit, units, nowMs)
}

/**
 * Gives units back to a customer's allotment.
 *
 * @param keeper - its buckets are changed in place
 * @param customer - by the configuration in force here
 * @param units - that were taken for a request that never ran
 * @param nowMs - the time
 */
export function giveBackToAllotment (keeper: AllotmentKeeper, { allotment, name }: Customer, units: number, nowMs: number): void {
  if (allotment === undefined) return
  const limit = limitOf(keeper, allotment)
  giveBackUnits(bucketOf(keeper, name, limit), limit, units, nowMs)
}

/**
 * Forgets customers that the configuration no longer has.
 *
 * @param keeper - its buckets are changed in place
 * @param names - of the customers that remain
 */
export function keepCustomers ({ buckets }: AllotmentKeeper, names: ReadonlySet<string>): void {
  for (const name of buckets.keys()) if (!names.has(name)) buckets.delete(name)
}

function bucketOf ({ buckets, sinceMs }: AllotmentKeeper, name: string, limit: BucketLimit): TokenBucket {
  const known = buckets.get(name)
  if (known !== undefined) return known
  const made = createBucket(limit, sinceMs)
  buckets.set(name, made)
  return made
}

function limitOf ({ bounds, role }: AllotmentKeeper, { burstUnits, unitsPerS }: Allotment): BucketLimit {
  if (role === 'primary') return { unitsPerS, burstUnits }
  const windowS = bounds.windowMs / MS_PER_SECOND
  const beyondUnits = bounds.overShare * (unitsPerS * windowS + burstUnits) + bounds.slackUnits
  return { unitsPerS: beyondUnits * (1 - RESERVE_BURST_SHARE) / windowS, burstUnits: beyondUnits * RESERVE_BURST_SHARE }
}
