/**
 * Keys in the key-value service under which the leaders of the allotments are registered.
 *
 * @module
 */
import type { AllotmentRole } from 'bendfall-router'

/** Prefix of the keys of all roles. */
export const ALLOTMENT_PREFIX = 'bendfall/allotments/'

/** Keys of the roles. Entries of earlier versions elect their reserve at {@link FENCE_KEY}. */
const KEYS: Readonly<Record<AllotmentRole, string>> = {
  primary: `${ALLOTMENT_PREFIX}primary`,
  reserve: `${ALLOTMENT_PREFIX}reserve-2`,
  interim: `${ALLOTMENT_PREFIX}interim`
}

/**
 * Key at which entries of earlier versions elect a reserve that grants more than ours. While it
 * holds a value that names no process and has no lease, none of them takes it.
 */
export const FENCE_KEY = `${ALLOTMENT_PREFIX}reserve`

/** Value of that key once earlier versions are fenced off. */
export const FENCE_VALUE = JSON.stringify({ fenced: true })

/** Key that holds the era in which the fence has settled. */
export const FENCE_SETTLED_KEY = `${FENCE_KEY}/fenced`

/**
 * Returns the key of a role.
 *
 * @param role - role that a leader is elected for
 * @returns key in the key-value service
 */
export function keyOfRole (role: AllotmentRole): string {
  return KEYS[role]
}

/**
 * Returns the key at which a part of the interim role is claimed.
 *
 * @param part - index of the part; earlier versions know only the first one
 * @returns key in the key-value service
 */
export function keyOfInterimPart (part: number): string {
  return part === 0 ? KEYS.interim : `${KEYS.interim}-${part + 1}`
}
