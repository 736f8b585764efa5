/**
 * Grants units while no leader of the allotments can, for a short term: after the loss of all
 * processes, and while a new leader's bucket is empty. One entry at a time does so, whichever
 * claims the term first.
 *
 * The units beyond the allotments that are set aside for this are divided into a few parts, each
 * with a key of its own in the key-value service. A term grants one part; the next part is claimed
 * when the holder of the latest one is gone, so that a second and a third loss of all entries are
 * covered. Equal shares of all entries would be smaller than a single stream at 25 entries.
 *
 * The bound relies on the leases of the claims alone, not on the number of entries or their
 * restarts: a lease outlasts its term by one window of the bounds, so that no window holds the
 * grants of two terms of a part.
 *
 * @module
 */
import type { Customer } from '../BendfallRouterTypes.js'
import { INTERIM_SHARES, overuseUnitsOf } from './BendfallRouterAllotmentLeader.js'
import type { AllotmentBounds, UnitsOutcome } from './BendfallRouterAllotmentLeader.js'

/** Covers the lease of a leader that is lost without proof, and the time in which its successor's bucket is empty. */
export const INTERIM_TERM_MS = 6_000

/** Allows for the time in which a granted request travels to its replica. */
const LEASE_MARGIN_MS = 1_000

/** Allows for a reserve of an earlier version that has not learned of the loss of its lease. */
const FORMER_RESERVE_LEASE_MS = 5_000

/** State of one term. */
export interface InterimTerm {
  readonly bounds: AllotmentBounds
  /** Share of the units beyond an allotment that the term grants. */
  readonly share: number
  /** Units granted to each customer in this term, less those given back. */
  readonly grantedUnits: Map<string, number>
}

/**
 * Creates the state of a term in which nothing has been granted.
 *
 * @param bounds - permitted use beyond the allotments in this deployment
 * @param part - index of the part that the term grants
 * @returns the state
 */
export function createInterimTerm (bounds: AllotmentBounds, part = 0): InterimTerm {
  return { bounds, share: INTERIM_SHARES[part] ?? 0, grantedUnits: new Map() }
}

/**
 * Decides which part is to be claimed.
 *
 * @param revisions - for each part the revision at which it was claimed; undefined while it is not
 * @param goneRevision - claims up to this revision are known to grant nothing any more: their term has ended, or their holder does not respond
 * @returns index of the part; undefined while a claim may still grant, or when all parts are claimed
 */
export function nextInterimPart (revisions: ReadonlyArray<number | undefined>, goneRevision: number): number | undefined {
  if (revisions.some((revision = 0) => revision > goneRevision)) return undefined
  const index = revisions.indexOf(undefined)
  return index === -1 ? undefined : index
}

/**
 * Returns the lease under which a term is claimed.
 *
 * @param bounds - permitted use beyond the allotments in this deployment
 * @returns duration of the lease, which must not be revoked or renewed
 */
export function interimLeaseMs ({ windowMs }: AllotmentBounds): number {
  return INTERIM_TERM_MS + windowMs + LEASE_MARGIN_MS
}

/**
 * Returns how long entries of earlier versions must have been fenced off the reserve before any
 * part but the first is claimed: their reserve grants more, which must have left the window.
 *
 * @param bounds - permitted use beyond the allotments in this deployment
 * @returns time since the fence was written
 */
export function fenceSettleMs ({ windowMs }: AllotmentBounds): number {
  return FORMER_RESERVE_LEASE_MS + windowMs + LEASE_MARGIN_MS
}

/**
 * Takes units in a term that has not ended.
 *
 * @param term - changed in place
 * @param customer - customer from the active configuration
 * @param units - units that the request needs
 * @returns `granted`, or `uncertain` once the term's units are spent, which says nothing about the allotment
 */
export function takeFromInterim (term: InterimTerm, { allotment, name }: Customer, units: number): UnitsOutcome {
  if (allotment === undefined) return { type: 'granted' }
  const granted = (term.grantedUnits.get(name) ?? 0) + units
  if (granted > term.share * overuseUnitsOf(term.bounds, allotment)) return { type: 'uncertain' }
  term.grantedUnits.set(name, granted)
  return { type: 'granted' }
}

/**
 * Returns units that were taken in this term for a request that never ran.
 *
 * @param term - changed in place
 * @param customer - name of the customer
 * @param units - units to return
 */
export function giveBackToInterim ({ grantedUnits }: InterimTerm, customer: string, units: number): void {
  grantedUnits.set(customer, Math.max(0, (grantedUnits.get(customer) ?? 0) - units))
}
