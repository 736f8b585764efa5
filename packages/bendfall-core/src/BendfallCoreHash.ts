/**
 * Hashing for placement: cheap, stable over versions, not cryptographic.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
const UINT32_RANGE = 0x100000000

/**
 * Hashes text to 32 bits (FNV-1a with a murmur3 finalizer).
 *
 * @param text - the text
 * @returns an unsigned 32-bit integer
 */
export function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index)
    hash = Math.imul(hash, FNV_PRIME)
  }
  return mixBits(hash)
}

/**
 * Spreads the bits of a 32-bit integer (murmur3 finalizer).
 *
 * @param value - a 32-bit integer
 * @returns an unsigned 32-bit integer
 */
export function mixBits (value: number): number {
  let mixed = value
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * Scores a node for a key: rendezvous hashing, highest score wins. The same
 * scheme is CARP in "Proxy Caching with Hash Functions" (Baboescu, 2001).
 *
 * @param keyHash - hash of the key
 * @param node - name of the node
 * @returns a score in [0, 1)
 */
export function rendezvousScore (keyHash: number, node: string): number {
  return mixBits(keyHash ^ hashText(node)) / UINT32_RANGE
}

/**
 * Ranks nodes for a key by rendezvous hashing, best first.
 *
 * @param key - the key
 * @param nodes - names of the nodes
 * @param count - how many to return
 * @returns the best nodes
 */
export function rankByRendezvous (key: string, nodes: readonly string[], count: number): readonly string[] {
  const keyHash = hashText(key)
  const scored = nodes.map((node) => ({ node, score: rendezvousScore(keyHash, node) }))
  scored.sort((left, right) => right.score - left.score || (left.node < right.node ? -1 : 1))
  return scored.slice(0, count).map((entry) => entry.node)
}
