/**
 * Keys of the entries that keep the allotments, in the key-value service.
 *
 * @module
 */
import type { AllotmentRole } from 'bendfall-router'

/** Begins the keys of all roles; the role follows. */
export const ALLOTMENT_PREFIX = 'bendfall/allotments/'

/**
 * Names the key of a role.
 *
 * @param role - the role
 * @returns key in the key-value service
 */
export function keyOfRole (role: AllotmentRole): string {
  return `${ALLOTMENT_PREFIX}${role}`
}
