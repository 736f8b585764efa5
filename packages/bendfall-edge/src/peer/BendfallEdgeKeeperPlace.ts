/**
 * Which entry keeps something for all of them, as it stands in the key-value service.
 *
 * @module
 */
import { checkDocument, parseDocument } from 'bendfall-node'
import type { Result } from 'ts-results-es'

/** An entry that keeps something. */
export interface KeeperPlace {
  readonly instanceId: string
  /** `ip:port` at which other entries ask it. */
  readonly address: string
}

const ENDPOINT_SCHEMA = {
  type: 'object',
  required: ['instanceId', 'address'],
  properties: { instanceId: { type: 'string', minLength: 1 }, address: { type: 'string', format: 'ip-port' } }
}

/**
 * Encodes the place of a keeper.
 *
 * @param place - of the entry
 * @returns JSON, the same for the same place
 */
export function encodeKeeper ({ address, instanceId }: KeeperPlace): string {
  return JSON.stringify({ instanceId, address })
}

/**
 * Decodes the place of a keeper.
 *
 * @param text - JSON
 * @param key - its place, for messages
 * @returns the entry, or what is wrong with the text
 */
export function decodeKeeper (text: string, key: string): Result<KeeperPlace, string> {
  const checked = parseDocument(text, key).andThen((document) => checkDocument<KeeperPlace>(ENDPOINT_SCHEMA, document, key))
  return checked.mapErr((findings) => findings.map(({ expected, found, pointer }) => `${pointer}: expected ${expected}, found ${found}`).join('; '))
}
