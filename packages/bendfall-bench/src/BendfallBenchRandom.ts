/**
 * Seeded random numbers. Each purpose draws from a stream of its own, so that
 * one more draw for one purpose leaves the others as they were.
 *
 * @module
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** A stream of random numbers. */
export interface Random {
  /** A number from 0 (included) to 1 (excluded). */
  readonly next: () => number
  /** A whole number of a range, both ends included. */
  readonly integer: (range: Range) => number
  /** An exponentially distributed number with a mean. */
  readonly exponential: (mean: number) => number
  /** An index, drawn in proportion to the weights. */
  readonly index: (weights: readonly number[]) => number
}

/** A closed range of numbers. */
export interface Range {
  readonly from: number
  readonly to: number
}

/**
 * Creates a stream of random numbers.
 *
 * @param seed - seed of the run
 * @param purpose - name of the stream
 * @returns the stream; the same arguments give the same numbers
 */
export function createRandom (seed: number, purpose: string): Random {
  const generator = xoroshiro128plus(hashText(`${seed}/${purpose}`))
  const next = () => uniformFloat64(generator)
  return {
    next,
    integer: (range) => range.from + Math.floor(next() * (range.to - range.from + 1)),
    exponential: (mean) => -mean * Math.log(1 - next()),
    index: (weights) => pickIndex(weights, next())
  }
}

function pickIndex (weights: readonly number[], draw: number): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  let left = draw * total
  for (const [index, weight] of weights.entries()) {
    left -= weight
    if (left < 0) return index
  }
  return weights.length - 1
}

function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (const char of text) {
    hash = Math.imul(hash ^ char.charCodeAt(0), FNV_PRIME)
  }
  return hash | 0
}
