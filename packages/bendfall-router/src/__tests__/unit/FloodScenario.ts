import { simulateLoad } from './LoadSimulation.js'
import type { LoadResult, LoadScenario } from './LoadSimulation.js'

const SEEDS = [11, 1, 2]
/** Returns the same rate for a number of seconds. */
export const repeat = (count: number, perSecond: number): number[] => Array.from({ length: count }, () => perSecond)
/** Fifteen customers at two thirds of what the memory supports, and one more that asks for as much as each of them or, for six seconds, for 24 times that. */
export const CALM: LoadScenario = { prefills: 8, decodes: 8, waitSpread: 0.05, calmMs: 8_000, customers: 15, perSecond: repeat(12, 16), floodPerSecond: repeat(12, 1) }

/** The same with a flood for six seconds. */
export const FLOOD: LoadScenario = { ...CALM, floodPerSecond: [...repeat(3, 1), ...repeat(6, 24), ...repeat(3, 1)] }

/** Sums a result over the seeds; without another one, the streams that were served in their callers' time. */
export function total (load: LoadScenario, read: (result: LoadResult) => number = ({ asked, unserved }) => asked - unserved): number {
  return SEEDS.reduce((sum, seed) => sum + read(simulateLoad({ ...load, seed })), 0)
}
