/**
 * Seeded draws of the answer fuzzer.
 *
 * @module
 */
import { drawIndex } from 'bendfall-core'

/** Draws that a seed repeats. */
export interface Random {
  /** @returns a whole number from 0 to below `below` */
  readonly whole: (below: number) => number
  /** @returns one of the items */
  readonly pick: <T>(items: readonly T[]) => T
  /** @returns true with this probability */
  readonly chance: (probability: number) => boolean
}

/** Steps of a probability. */
const CHANCES = 10_000

/**
 * Makes the draws of a seed.
 *
 * @param seed - of the draws
 * @returns the draws
 */
export function createRandom (seed: number): Random {
  let state = seed

  function whole (below: number): number {
    const drawn = drawIndex(state, Math.max(1, below))
    state = drawn.seed
    return drawn.value
  }

  return {
    whole,
    pick: (items) => items[whole(items.length)] as (typeof items)[number],
    chance: (probability) => whole(CHANCES) < probability * CHANCES
  }
}
