/**
 * Authenticates requests by their API keys, never by what callers claim about themselves. An
 * entry's view of the keys is as old as the read that returned it. Once it is too old, a key may have been
 * revoked since, and requests with keys are rejected.
 *
 * @module
 */
import type { Customer, RouterConfig } from '../BendfallRouterTypes.js'

/** Bounds on how old an entry's view of the keys may be. */
export interface CredentialLimits {
  /** Time after a revocation by which every entry must reject the key. */
  readonly revokedWithinMs: number
  /** Whether that also binds entries that are cut off from revocations; otherwise they continue with their last view. */
  readonly isStrict: boolean
  /** Time by which a new key must be accepted by entries that can reach the key-value service. */
  readonly appliedWithinMs: number
}

/** Used where the settings define no limits. */
export const DEFAULT_CREDENTIAL_LIMITS: CredentialLimits = { revokedWithinMs: 5_000, isStrict: true, appliedWithinMs: 2_000 }

/** Share of `revokedWithinMs` for which a view is trusted; the rest covers clock differences and a delayed process. */
const TRUSTED_AGE_SHARE = 0.8

/** Share of `appliedWithinMs`: an entry with an older view can't reject a key as unknown. */
const UNKNOWN_KEY_AGE_SHARE = 0.9

/** Share of the trusted age: beyond it an entry reports not ready, so that callers are sent elsewhere. */
const READY_AGE_SHARE = 0.85

/** Lookup tables of the customers in a configuration. */
export interface CustomerIndex {
  readonly byKeyDigest: ReadonlyMap<string, Customer>
  readonly byName: ReadonlyMap<string, Customer>
}

/** Result of authenticating a request. */
export type Authentication =
  /** The deployment has no customers, or the route allows anonymous requests and the key can't be attributed to one. */
  | { readonly type: 'anonymous' }
  | { readonly type: 'customer', readonly customer: Customer }
  /** No configuration that may be active contains the key. */
  | { readonly type: 'unknown' }
  /** The key may have been revoked, or added, since the entry last read the keys. */
  | { readonly type: 'unproven' }

/** Inputs of authentication. */
export interface Credentials {
  /** Absent where the deployment has no customers. */
  readonly index?: CustomerIndex
  readonly limits: CredentialLimits
  /** Age of the entry's view of the keys: all changes before that are included. */
  readonly ageMs: number
}

/**
 * Creates the lookup tables for a configuration.
 *
 * @param config - configuration whose customers are indexed
 * @returns the index; undefined if the configuration has no customers
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
 * @param credentials - the entry's current view of the keys
 * @param keyDigest - digest of the API key sent with the request; undefined if there was none
 * @param allowsAnonymous - whether the route accepts requests without a key
 * @returns the customer, or why the request has none
 */
export function authenticate ({ ageMs, index, limits }: Credentials, keyDigest: string | undefined, allowsAnonymous: boolean): Authentication {
  if (index === undefined) return { type: 'anonymous' }
  const customer = keyDigest === undefined ? undefined : index.byKeyDigest.get(keyDigest)
  const isTrusted = ageMs <= maxTrustedAgeMs(limits)
  if (allowsAnonymous) return customer === undefined || !isTrusted ? { type: 'anonymous' } : { type: 'customer', customer }
  // A newer view could not change the result of a request without a key.
  if (keyDigest === undefined) return { type: 'unknown' }
  if (!isTrusted) return { type: 'unproven' }
  if (customer !== undefined) return { type: 'customer', customer }
  return ageMs <= limits.appliedWithinMs * UNKNOWN_KEY_AGE_SHARE ? { type: 'unknown' } : { type: 'unproven' }
}

/**
 * Returns whether an entry's view of the keys is recent enough for callers to be sent to it.
 *
 * @param credentials - the entry's current view of the keys
 * @returns false if the entry would soon reject requests with keys
 */
export function areKeysFresh ({ ageMs, index, limits }: Credentials): boolean {
  return index === undefined || ageMs <= maxTrustedAgeMs(limits) * READY_AGE_SHARE
}

function maxTrustedAgeMs ({ isStrict, revokedWithinMs }: CredentialLimits): number {
  return isStrict ? revokedWithinMs * TRUSTED_AGE_SHARE : Infinity
}
