/**
 * Seeded random numbers of the response fuzzer.
 *
 * @module
 */
import { drawIndex } from 'bendfall-core'

/** Deterministic random source. */
export interface Random {
  /** @returns an integer from 0 to `below` - 1 */
  readonly integer: (below: number) => number
  /** @returns one of the items */
  readonly pick: <T>(items: readonly T[]) => T
  /** @returns true with this probability */
  readonly chance: (probability: number) => boolean
}

/** Resolution of probabilities. */
const PROBABILITY_STEPS = 10_000

/**
 * Creates a random source.
 *
 * @param seed - seed that determines all values
 * @returns the random source
 */
export function createRandom (seed: number): Random {
  let state = seed

  function integer (below: number): number {
    const drawn = drawIndex(state, Math.max(1, below))
    state = drawn.seed
    return drawn.value
  }

  return {
    integer,
    pick: (items) => items[integer(items.length)] as (typeof items)[number],
    chance: (probability) => integer(PROBABILITY_STEPS) < probability * PROBABILITY_STEPS
  }
}
