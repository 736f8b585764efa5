/**
 * What scripted replicas know of the requests that reached them.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { AskedFor, ScriptFraming } from './BendfallFakesAnswersScript.js'

/** An answer as it was sent. */
export interface SentAnswer {
  readonly status: number
  readonly framing: ScriptFraming
  /** Whether the connection was reset behind the last bytes. */
  readonly isReset: boolean
  /** Digest of the whole body. */
  readonly body: string
  /** Digest of the part that was sent before the connection was closed in order; absent where that didn't happen. */
  readonly sentBody?: string
}

/** A request that reached a replica. */
export interface Arrival {
  readonly replicaId: string
  readonly connection: number
  readonly asked: AskedFor
  readonly isStream: boolean
  readonly requestId: string
  readonly method: string
  readonly path: string
  /** Memory that the request names. */
  readonly source?: string
  readonly hold?: string
  /** Handle or hold that its answer gives. */
  readonly given?: string
  /** Whether the replica worked on it, as opposed to refused it. */
  readonly hasRun: boolean
  readonly atMs: number
  readonly script: string
  readonly answer: SentAnswer
  /** Digest of the request's body; absent until it was read whole. */
  sentRequest?: string
}

/** Truth of all replicas. */
export interface AnswersTruth {
  readonly arrivals: readonly Arrival[]
  /** Bytes on connections that are no request. */
  readonly garbage: readonly string[]
}

const DIGEST_CHARACTERS = 16

/**
 * Names bytes.
 *
 * @param bytes - any
 * @returns their length and a digest
 */
export function digestOf (bytes: Buffer): string {
  return `${bytes.length}-${createHash('sha1').update(bytes).digest('hex').slice(0, DIGEST_CHARACTERS)}`
}
