/**
 * Choice of a replica for a call. Handles many entries that have the same information and choose at
 * the same time. Each compares only two replicas drawn at random, so that they don't all send to the
 * one that looks best.
 *
 * @module
 */

/**
 * Chooses the better of two replicas drawn at random.
 *
 * @param candidates - replicas that may be sent to
 * @param costOf - returns the expected time at a replica, in milliseconds
 * @param draw - returns a random number in [0, 1)
 * @returns the chosen one; undefined without candidates
 */
export function chooseOfTwo<T> (candidates: readonly T[], costOf: (candidate: T) => number, draw: () => number): T | undefined {
  if (candidates.length < 2) return candidates[0]
  const first = Math.floor(draw() * candidates.length)
  const second = (first + 1 + Math.floor(draw() * (candidates.length - 1))) % candidates.length
  const [one, other] = [candidates[first] as T, candidates[second] as T]
  return costOf(other) < costOf(one) ? other : one
}
