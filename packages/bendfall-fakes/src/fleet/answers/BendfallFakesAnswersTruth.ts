/**
 * Ground truth of the fuzzer: the requests that reached scripted replicas and the responses that these sent.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { RequestPurpose, ScriptFraming } from './BendfallFakesAnswersScript.js'

/** A response as it was sent. */
export interface SentResponse {
  readonly status: number
  readonly framing: ScriptFraming
  /** Whether the connection was reset after the last bytes. */
  readonly isReset: boolean
  /** Digest of the complete body. */
  readonly body: string
  /** Digest of the part that was sent before an orderly close within a close-delimited response; absent otherwise. */
  readonly sentBody?: string
}

/** A request that reached a replica. */
export interface Arrival {
  readonly replicaId: string
  readonly connection: number
  readonly asked: RequestPurpose
  readonly isStream: boolean
  readonly requestId: string
  readonly method: string
  readonly path: string
  /** Source of the prompt's memory that the request refers to. */
  readonly source?: string
  /** Hold of memory that the request refers to. */
  readonly hold?: string
  /** Handle or hold issued in the response. */
  readonly issued?: string
  /** Whether the replica ran the request instead of refusing it. */
  readonly hasRun: boolean
  readonly atMs: number
  readonly script: string
  readonly answer: SentResponse
  /** Digest of the request body; absent until the body is complete. */
  sentRequest?: string
}

/** Observations of all replicas. */
export interface AnswersTruth {
  readonly arrivals: readonly Arrival[]
  /** Bytes on connections that don't parse as a request. */
  readonly garbage: readonly string[]
}

const DIGEST_CHARACTERS = 16

/**
 * Identifies a byte sequence by its length and a short digest.
 *
 * @param bytes - bytes to identify
 * @returns length and truncated SHA-1 in hex
 */
export function digestOf (bytes: Buffer): string {
  return `${bytes.length}-${createHash('sha1').update(bytes).digest('hex').slice(0, DIGEST_CHARACTERS)}`
}
