/**
 * Keys in the key-value service under which the leaders of the allotments are registered.
 *
 * @module
 */
import type { AllotmentRole } from 'bendfall-router'

/** Prefix of the keys of all roles. */
export const ALLOTMENT_PREFIX = 'bendfall/allotments/'

/**
 * Returns the key of a role.
 *
 * @param role - role that a leader is elected for
 * @returns key in the key-value service
 */
export function keyOfRole (role: AllotmentRole): string {
  return `${ALLOTMENT_PREFIX}${role}`
}
