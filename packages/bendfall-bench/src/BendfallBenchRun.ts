/**
 * One run: a deployment, a policy, a load, a fault and a seed.
 *
 * @module
 */
import { computeCapacityRate } from './BendfallBenchBound.js'
import { Callers } from './BendfallBenchCallers.js'
import { Clock } from './BendfallBenchClock.js'
import { DEPLOYMENTS, RETURN_SHARE } from './BendfallBenchDeployment.js'
import type { DeploymentName } from './BendfallBenchDeployment.js'
import { FAULTS } from './BendfallBenchFaults.js'
import type { FaultName } from './BendfallBenchFaults.js'
import { POLICIES } from './BendfallBenchPolicies.js'
import { summarize } from './BendfallBenchSummary.js'
import type { Summary } from './BendfallBenchSummary.js'
import { Tally } from './BendfallBenchTally.js'
import { createTimes } from './BendfallBenchTimes.js'
import type { TimeSummary } from './BendfallBenchTimes.js'
import { createArrivals } from './BendfallBenchWorkload.js'
import type { Traffic } from './BendfallBenchWorkload.js'
import { World } from './BendfallBenchWorld.js'

/** What to run. */
export interface Cell {
  readonly deployment: DeploymentName
  readonly policy: string
  /** As a share of the capacity, see {@link computeCapacityRate}. */
  readonly load: number
  readonly fault: FaultName
  readonly seed: number
  /** Length of the measured stretch. */
  readonly measuredMs: number
  /** A client that sends so many times its share. */
  readonly burst?: { readonly clientId: string, readonly factor: number }
  /** Share of refused callers who come back; absent: the usual one. */
  readonly returnShare?: number
}

/** What came of a run. */
export interface CellResult {
  readonly cell: Cell
  readonly summary: Summary
  readonly unknownEffects: Readonly<Record<string, number>>
  /** Time for a decision. Differs from run to run. */
  readonly decision: TimeSummary
  /** Only kept when traces are asked for. */
  readonly tally?: Tally
}

/** The pools fill up before anything is measured. */
export const WARM_UP_MS = 15_000
/** Arrivals go on while the last measured requests are served. */
const COOL_DOWN_MS = 15_000
/** Nothing arrives any more; what is under way ends. */
const DRAIN_MS = 40_000

const capacityRates = new Map<DeploymentName, number>()

/**
 * Carries out a run.
 *
 * @param cell - what to run
 * @param isTracing - true to keep what happened to each request
 * @returns the figures
 */
export function runCell (cell: Cell, isTracing = false): CellResult {
  const deployment = DEPLOYMENTS[cell.deployment]
  const measured = { fromMs: WARM_UP_MS, toMs: WARM_UP_MS + cell.measuredMs }
  const clock = new Clock()
  const tally = new Tally()
  const times = createTimes()
  const world: World = new World({
    deployment,
    policy: POLICIES[cell.policy],
    seed: cell.seed,
    clock,
    tally,
    onEnd: (requestId) => callers.onEnd(requestId),
    onStep: (_type, elapsedMs) => times.record(elapsedMs),
    isTracing
  })
  const callers = new Callers(world, cell.returnShare ?? RETURN_SHARE)
  FAULTS[cell.fault].schedule(world, measured)
  callers.schedule(createArrivals(trafficOf(cell)))
  const endMs = measured.toMs + COOL_DOWN_MS + DRAIN_MS
  clock.runUntil(endMs)
  const summary = summarize({ tally, deployment, fault: cell.fault, measured, endMs })
  const unknownEffects = Object.fromEntries([...world.unknownEffects].sort())
  return { cell, summary, unknownEffects, decision: times.summarize(), tally: isTracing ? tally : undefined }
}

function trafficOf (cell: Cell): Traffic {
  const deployment = DEPLOYMENTS[cell.deployment]
  const rate = capacityRates.get(cell.deployment) ?? computeCapacityRate(deployment)
  capacityRates.set(cell.deployment, rate)
  const fromMs = WARM_UP_MS
  const toMs = WARM_UP_MS + cell.measuredMs
  return {
    deployment,
    seed: cell.seed,
    languagePerSecond: cell.load * rate,
    callsPerSecond: cell.load * deployment.callsPerSecond,
    endMs: toMs + COOL_DOWN_MS,
    burst: cell.burst === undefined ? undefined : { ...cell.burst, fromMs, toMs }
  }
}
