/**
 * Measures the CPU time and the retained memory of small operations.
 *
 * @module
 */
import { medianOf } from './BendfallFakesCapacityFit.js'
import type { Point } from './BendfallFakesCapacityFit.js'

/** Name and units of a measured quantity. */
export interface Quantity {
  readonly name: string
  /** Unit of the value. */
  readonly unit: 'B' | 'µs'
  /** Unit of the size, such as `request`. */
  readonly per: string
}

/** A quantity with the function that measures it at several sizes. */
export interface SlopeCase extends Quantity {
  readonly measure: () => readonly Point[]
}

/** A quantity with the points measured at several sizes. */
export interface MeasuredPoints extends Quantity {
  readonly points: readonly Point[]
}

const WARM_UPS = 2
const TIMED_RUNS = 5
const HEAP_RUNS = 3

/**
 * Measures a value at several sizes.
 *
 * @param sizes - sizes to measure at
 * @param valueAt - measures the value at one size
 * @returns one point per size
 */
export function pointsAt (sizes: readonly number[], valueAt: (size: number) => number): readonly Point[] {
  return sizes.map((size) => ({ size, value: valueAt(size) }))
}

/**
 * Measures the CPU time of an operation, including garbage collection: the median
 * of several runs after warm-up. Wall-clock time would include the time that other
 * processes take on a busy machine.
 *
 * @param prepare - creates the operation of one run; is not timed
 * @returns CPU time in microseconds
 */
export function timeUs (prepare: () => () => void): number {
  for (let iteration = 0; iteration < WARM_UPS; iteration++) prepare()()
  const values = Array.from({ length: TIMED_RUNS }, () => {
    const run = prepare()
    const before = process.cpuUsage()
    run()
    const { user, system } = process.cpuUsage(before)
    return user + system
  })
  return medianOf(values)
}

/**
 * Measures the memory that a piece of state retains on the heap and in external
 * buffers: the median of several runs, each between two garbage collections.
 *
 * @param build - creates the state
 * @returns retained bytes
 */
export function retainedBytes (build: () => unknown): number {
  build()
  return medianOf(Array.from({ length: HEAP_RUNS }, () => {
    const before = usedBytes()
    const holder = { kept: build() }
    const after = usedBytes()
    // Otherwise the state of this run could still be in memory at the start of the next run.
    holder.kept = undefined
    return after - before
  }))
}

/**
 * Returns the memory in use after a garbage collection.
 *
 * @returns bytes of heap and external buffers
 * @throws Error when Node.js runs without `--expose-gc`
 */
export function usedBytes (): number {
  if (globalThis.gc === undefined) throw new Error('memory measurements need node --expose-gc')
  globalThis.gc()
  globalThis.gc()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}
