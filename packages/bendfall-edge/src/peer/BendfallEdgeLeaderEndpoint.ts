/**
 * Encodes and decodes the document in the key-value service by which an elected leader
 * announces its instance and address.
 *
 * @module
 */
import { checkDocument, parseDocument } from 'bendfall-node'
import type { Result } from 'ts-results-es'

/** Instance and address of an entry that is, or may become, a leader. */
export interface LeaderEndpoint {
  readonly instanceId: string
  /** `ip:port` at which it serves other entries. */
  readonly address: string
}

/** Schema of a leader's endpoint. */
export const ENDPOINT_SCHEMA = {
  type: 'object',
  required: ['instanceId', 'address'],
  properties: { instanceId: { type: 'string', minLength: 1 }, address: { type: 'string', format: 'ip-port' } }
}

/**
 * Encodes the endpoint of a leader.
 *
 * @param endpoint - instance and address of the entry
 * @returns JSON, identical for equal endpoints
 */
export function encodeLeaderEndpoint ({ address, instanceId }: LeaderEndpoint): string {
  return JSON.stringify({ instanceId, address })
}

/**
 * Decodes the endpoint of a leader.
 *
 * @param text - JSON document
 * @param key - key under which the document is stored, for messages
 * @returns the endpoint, or a description of why the text is invalid
 */
export function decodeLeaderEndpoint (text: string, key: string): Result<LeaderEndpoint, string> {
  const checked = parseDocument(text, key).andThen((document) => checkDocument<LeaderEndpoint>(ENDPOINT_SCHEMA, document, key))
  return checked.mapErr((findings) => findings.map(({ expected, found, pointer }) => `${pointer}: expected ${expected}, found ${found}`).join('; '))
}
