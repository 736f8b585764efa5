/**
 * Record of the software that may have begun the streams which callers can still resume. An entry that has just started
 * has seen too little to tell, so that all entries keep the record together, in the key-value service.
 *
 * @module
 */
import type { SoftwareDigest } from './BendfallRouterStreamOrigins.js'

/** Digests in ascending order by the name of the route. Nothing is known of a route that is absent. */
export type ResumableSoftware = ReadonlyMap<string, readonly SoftwareDigest[]>

/**
 * Joins two sets of digests.
 *
 * @param some - digests
 * @param others - digests, some of which may be the same
 * @returns each digest once, in ascending order
 */
export function joinSoftware (some: readonly SoftwareDigest[], others: readonly SoftwareDigest[]): SoftwareDigest[] {
  return [...new Set([...some, ...others])].sort((a, b) => a - b)
}

/**
 * Compares two records.
 *
 * @param one - record
 * @param other - record
 * @returns whether both name the same software for the same routes
 */
export function isSameRecord (one: ResumableSoftware, other: ResumableSoftware): boolean {
  return one.size === other.size && [...one].every(([route, software]) => other.get(route)?.join(' ') === software.join(' '))
}
