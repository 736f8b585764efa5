/**
 * What operators allow the router to do with the pools of model replicas. It
 * acts on an intent only if its digest was confirmed.
 *
 * @module
 */
import { digestJson } from 'bendfall-core'

/** Shares of a service's model replicas that read prompts. */
export interface PoolIntent {
  /** Aimed at while no work was measured. */
  readonly usualPrefillShare: number
  readonly leastPrefillShare: number
  /** Prefill replicas at the least, whatever the share; half of all at the most. A pool of two that loses one halves. */
  readonly leastPrefillReplicas: number
  readonly mostPrefillShare: number
}

/** An intent as it stands in version control, with what operators confirmed. */
export interface PoolDocument {
  readonly intent: PoolIntent
  /** Digest of the confirmed intent; empty while none is. */
  readonly confirmedDigest: string
}

/** Schema of the document; see JSON Schema. */
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
 * Digest that operators confirm.
 *
 * @param intent - the intent
 * @returns hexadecimal digits
 */
export function digestPoolIntent (intent: PoolIntent): string {
  return digestJson(intent)
}

/**
 * The intent in force.
 *
 * @param document - intent and confirmation
 * @returns the intent if it is the one that was confirmed
 */
export function confirmedIntent ({ confirmedDigest, intent }: PoolDocument): PoolIntent | undefined {
  return confirmedDigest === digestPoolIntent(intent) ? intent : undefined
}
