/**
 * Remembers where prompt prefixes were computed last, in bounded memory.
 * Two generations: when the young one is full it becomes the old one.
 *
 * @module
 */
import { Map } from 'immutable'
import type { InstanceId } from '../BendfallCoreTypes.js'

/** Most prefixes in one generation. */
export const PREFIX_GENERATION_SIZE = 8192

/** Where prompt prefixes were computed last. */
export interface PrefixPlaces {
  readonly young: Map<string, InstanceId>
  readonly old: Map<string, InstanceId>
}

/**
 * Makes an empty memory of prefixes.
 *
 * @returns the memory
 */
export function createPrefixPlaces (): PrefixPlaces {
  return { young: Map(), old: Map() }
}

/**
 * Finds where a prefix was computed last.
 *
 * @param places - the memory
 * @param prefixHash - hash of the prefix
 * @returns the instance, if remembered
 */
export function placeOfPrefix (places: PrefixPlaces, prefixHash: string): InstanceId | undefined {
  return places.young.get(prefixHash) ?? places.old.get(prefixHash)
}

/**
 * Remembers where the prefixes of a prompt were computed.
 *
 * @param places - the memory
 * @param prefixHashes - hashes of the growing prefixes
 * @param instanceId - the prefill replica
 * @returns the new memory
 */
export function rememberPrefixes (places: PrefixPlaces, prefixHashes: readonly string[], instanceId: InstanceId): PrefixPlaces {
  const young = places.young.withMutations((draft) => {
    for (const prefixHash of prefixHashes) draft.set(prefixHash, instanceId)
  })
  if (young.size < PREFIX_GENERATION_SIZE) return { young, old: places.old }
  return { young: Map(), old: young }
}
