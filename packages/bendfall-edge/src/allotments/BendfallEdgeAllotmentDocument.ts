/**
 * Who keeps the allotments, as it stands in the key-value service.
 *
 * @module
 */
import { checkDocument, parseDocument } from 'bendfall-node'
import type { AllotmentRole } from 'bendfall-router'
import type { Result } from 'ts-results-es'

/** Begins the keys of all roles; the role follows. */
export const ALLOTMENT_PREFIX = 'bendfall/allotments/'

/** An entry that keeps allotments. */
export interface KeeperPlace {
  readonly instanceId: string
  /** `ip:port` at which other entries ask it. */
  readonly address: string
}

const PLACE_SCHEMA = {
  type: 'object',
  required: ['instanceId', 'address'],
  properties: { instanceId: { type: 'string', minLength: 1 }, address: { type: 'string', format: 'ip-port' } }
}

/**
 * Names the key of a role.
 *
 * @param role - the role
 * @returns key in the key-value service
 */
export function keyOfRole (role: AllotmentRole): string {
  return `${ALLOTMENT_PREFIX}${role}`
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
  const checked = parseDocument(text, key).andThen((document) => checkDocument<KeeperPlace>(PLACE_SCHEMA, document, key))
  return checked.mapErr((findings) => findings.map(({ expected, found, pointer }) => `${pointer}: expected ${expected}, found ${found}`).join('; '))
}
