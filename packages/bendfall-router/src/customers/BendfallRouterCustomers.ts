/**
 * Finds out whose request it is. A key decides it, never the caller's own word. What an
 * entry knows of keys is as old as the question whose answer told it; when that is too long
 * ago a key may have been taken away since, and requests with keys are refused.
 *
 * @module
 */
import type { Customer, RouterConfig } from '../BendfallRouterTypes.js'

/** Bounds on what an entry may believe of keys. */
export interface CredentialLimits {
  /** Time after which a key that was taken away must open nothing, at any entry. */
  readonly revokedWithinMs: number
  /** Whether that holds for entries that can't learn of it; otherwise they go on with what they know. */
  readonly isStrict: boolean
  /** Time after which a new key must be known to entries that reach the key-value service. */
  readonly appliedWithinMs: number
}

/** Limits where the settings tell none. */
export const DEFAULT_CREDENTIAL_LIMITS: CredentialLimits = { revokedWithinMs: 5_000, isStrict: true, appliedWithinMs: 2_000 }

/** Of the time until a removal binds: the rest is for clocks that differ and a process that is late. */
const TRUSTED_SHARE = 0.8

/** Of the time until a new key is known: an entry that knows less can't call a key unknown. */
const UNKNOWN_SHARE = 0.9

/** Of the time for which keys are believed: an entry that comes near its end sends callers elsewhere. */
const READY_SHARE = 0.85

/** Customers of a configuration. */
export interface CustomerIndex {
  readonly byKeyDigest: ReadonlyMap<string, Customer>
  readonly byName: ReadonlyMap<string, Customer>
}

/** Whose request it is. */
export type Authentication =
  /** The deployment has no customers, or the route is open and the key is no customer's. */
  | { readonly type: 'anonymous' }
  | { readonly type: 'customer', readonly customer: Customer }
  /** No configuration that may be in force has the key. */
  | { readonly type: 'unknown' }
  /** The key may have been taken away, or added, since the entry last learned of keys. */
  | { readonly type: 'unproven' }

/** What decides it. */
export interface Credentials {
  /** Absent where the deployment has no customers. */
  readonly index?: CustomerIndex
  readonly limits: CredentialLimits
  /** Time since which the entry knows of all changes of keys. */
  readonly ageMs: number
}

/**
 * Makes the index of a configuration.
 *
 * @param config - the configuration
 * @returns the index; undefined where the configuration has no customers
 */
export function indexCustomers ({ customers }: RouterConfig): CustomerIndex | undefined {
  if (customers === undefined) return undefined
  const byKeyDigest = new Map<string, Customer>()
  for (const customer of customers) {
    for (const digest of customer.keyDigests) if (!byKeyDigest.has(digest)) byKeyDigest.set(digest, customer)
  }
  return { byKeyDigest, byName: new Map(customers.map((customer) => [customer.name, customer])) }
}

/**
 * Finds the customer of a request.
 *
 * @param credentials - what the entry knows of keys
 * @param keyDigest - digest of the key that came with the request, if one did
 * @param isOpen - whether the route asks for no key
 * @returns whose request it is
 */
export function authenticate ({ ageMs, index, limits }: Credentials, keyDigest: string | undefined, isOpen: boolean): Authentication {
  if (index === undefined) return { type: 'anonymous' }
  const customer = keyDigest === undefined ? undefined : index.byKeyDigest.get(keyDigest)
  const isTrusted = ageMs <= trustedMs(limits)
  if (isOpen) return customer === undefined || !isTrusted ? { type: 'anonymous' } : { type: 'customer', customer }
  // Without a key there is nothing that a newer version could tell.
  if (keyDigest === undefined) return { type: 'unknown' }
  if (!isTrusted) return { type: 'unproven' }
  if (customer !== undefined) return { type: 'customer', customer }
  return ageMs <= limits.appliedWithinMs * UNKNOWN_SHARE ? { type: 'unknown' } : { type: 'unproven' }
}

/**
 * Tells whether an entry knows enough of keys for callers to be sent to it.
 *
 * @param credentials - what the entry knows of keys
 * @returns false when it would soon refuse requests with keys
 */
export function isKnowledgeFresh ({ ageMs, index, limits }: Credentials): boolean {
  return index === undefined || ageMs <= trustedMs(limits) * READY_SHARE
}

function trustedMs ({ isStrict, revokedWithinMs }: CredentialLimits): number {
  return isStrict ? revokedWithinMs * TRUSTED_SHARE : Infinity
}
