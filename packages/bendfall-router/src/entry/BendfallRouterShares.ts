/**
 * Tells ledgers which customer a request is of, so that they can share capacity between customers.
 *
 * @module
 */
import type { Customer } from '../BendfallRouterTypes.js'

/** Tokens that one request counts for where allotments are in requests: a mean prompt. */
const TOKENS_PER_REQUEST = 3_200

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** What a ledger learns of a request's customer. */
export interface CustomerShare {
  readonly customerHash?: number
  readonly customerWeight?: number
}

/**
 * Returns what a ledger learns of a request's customer: a hash of its name (FNV-1a), since the ledger only
 * tells customers apart, and the rate of its allotment as its weight.
 *
 * @param customer - customer of the request, if it has one
 * @returns the fields of a booking request; none without a customer
 */
export function shareOf (customer: Customer | undefined): CustomerShare {
  if (customer === undefined) return {}
  let hash = FNV_OFFSET
  for (let i = 0; i < customer.name.length; i++) hash = Math.imul(hash ^ customer.name.charCodeAt(i), FNV_PRIME)
  return { customerHash: hash >>> 0 || 1, customerWeight: weightOf(customer) }
}

function weightOf ({ allotment }: Customer): number | undefined {
  if (allotment === undefined) return undefined
  return Math.max(1, Math.round(allotment.unitsPerS * (allotment.unit === 'requests' ? TOKENS_PER_REQUEST : 1)))
}
