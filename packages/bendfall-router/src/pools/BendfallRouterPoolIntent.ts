/**
 * The operators' intent for the pools of model replicas. The router applies an intent only if its digest
 * was confirmed.
 *
 * @module
 */
import { digestJson } from 'bendfall-core'

/** Shares of a service's model replicas that are prefill replicas. */
export interface PoolIntent {
  /** Used until work has been measured. */
  readonly usualPrefillShare: number
  readonly leastPrefillShare: number
  /** Minimum number of prefill replicas regardless of the share, but at most half of all. A pool of two that loses one is halved. */
  readonly leastPrefillReplicas: number
  readonly mostPrefillShare: number
}

/** An intent as stored in version control, with the operators' confirmation. */
export interface PoolDocument {
  readonly intent: PoolIntent
  /** Digest of the confirmed intent; empty if none is confirmed. */
  readonly confirmedDigest: string
}

/** JSON Schema of the document. */
export const POOL_DOCUMENT_SCHEMA = {
  type: 'object',
  required: ['intent', 'confirmedDigest'],
  additionalProperties: false,
  properties: {
    intent: {
      type: 'object',
      required: ['usualPrefillShare', 'leastPrefillShare', 'leastPrefillReplicas', 'mostPrefillShare'],
      additionalProperties: false,
      properties: {
        usualPrefillShare: { type: 'number', minimum: 0, maximum: 1 },
        leastPrefillShare: { type: 'number', minimum: 0, maximum: 1 },
        leastPrefillReplicas: { type: 'integer', minimum: 1 },
        mostPrefillShare: { type: 'number', minimum: 0, maximum: 1 }
      }
    },
    confirmedDigest: { type: 'string' }
  }
}

/**
 * Returns the digest that operators confirm.
 *
 * @param intent - intent to be confirmed
 * @returns hexadecimal digits
 */
export function digestPoolIntent (intent: PoolIntent): string {
  return digestJson(intent)
}

/**
 * Returns the intent that is in effect.
 *
 * @param document - intent and confirmation
 * @returns the intent if it is the confirmed one, otherwise undefined
 */
export function confirmedIntent ({ confirmedDigest, intent }: PoolDocument): PoolIntent | undefined {
  return confirmedDigest === digestPoolIntent(intent) ? intent : undefined
}
