/**
 * Lists the running entries by the documents that they write to the key-value service.
 *
 * @module
 */
import type { Logger } from 'bendfall-node'
import type { KeyValueEntry } from 'bendfall-platform'
import { decodeLeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'

/** Prefix of the keys under which entries register. */
export const ENTRY_PREFIX = 'bendfall/entries/'

/** List of the running entries. */
export interface EntryList {
  /**
   * Applies an update from the watch on the key-value service.
   *
   * @returns whether the update concerned entries
   */
  readonly applyUpdate: (documents: readonly KeyValueEntry[], removedKeys: readonly string[]) => boolean
  /** @returns `ip:port` at which each entry serves the others */
  readonly addresses: () => readonly string[]
}

/**
 * Creates an empty list.
 *
 * @param logger - receives a line for each unreadable document
 * @returns the list
 */
export function createEntryList (logger: Logger): EntryList {
  const addresses = new Map<string, string>()

  function learn ({ key, revision, value }: KeyValueEntry): void {
    const endpoint = decodeLeaderEndpoint(value, key)
    if (endpoint.isOk()) addresses.set(key, endpoint.value.address)
    else logger.warn('entry_unreadable', { key, revision, detail: endpoint.error })
  }

  return {
    applyUpdate: (documents, removedKeys) => {
      const present = documents.filter(({ key }) => key.startsWith(ENTRY_PREFIX))
      const gone = removedKeys.filter((key) => key.startsWith(ENTRY_PREFIX))
      present.forEach(learn)
      for (const key of gone) addresses.delete(key)
      return present.length > 0 || gone.length > 0
    },
    addresses: () => [...addresses.values()]
  }
}
