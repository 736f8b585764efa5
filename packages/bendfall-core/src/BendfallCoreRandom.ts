/**
 * Seeded random numbers; the seed lives in the state, so that a recorded
 * session replays to the byte.
 *
 * @module
 */
import { mixBits } from './BendfallCoreHash.js'

const WEYL_STEP = 0x9e3779b9
const UINT32_RANGE = 0x100000000

/** A random number and the seed for the next. */
export interface Draw {
  readonly value: number
  readonly seed: number
}

/**
 * Draws a number in [0, 1).
 *
 * @param seed - the present seed
 * @returns the number and the next seed
 */
export function drawUnit (seed: number): Draw {
  const next = (seed + WEYL_STEP) >>> 0
  return { value: mixBits(next) / UINT32_RANGE, seed: next }
}

/**
 * Draws an index of a list.
 *
 * @param seed - the present seed
 * @param length - length of the list, at least 1
 * @returns the index and the next seed
 */
export function drawIndex (seed: number, length: number): Draw {
  const draw = drawUnit(seed)
  return { value: Math.floor(draw.value * length), seed: draw.seed }
}
