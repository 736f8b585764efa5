/**
 * Two situations beside the table: one client sends far more than its share,
 * and a retry storm after all decode replicas were down.
 *
 * @module
 */
import { DEPLOYMENTS } from './BendfallBenchDeployment.js'
import type { DeploymentName } from './BendfallBenchDeployment.js'
import { UPSTREAM_DOWN_MS, beginMs } from './BendfallBenchFaults.js'
import { WARM_UP_MS } from './BendfallBenchRun.js'
import type { Cell, CellResult } from './BendfallBenchRun.js'
import { formatRows, showSpread } from './BendfallBenchTable.js'

/** The client that bursts: one of middling share. */
const BURST_CLIENTS: Readonly<Record<DeploymentName, string>> = { jadranka: 'galeb', cadastre: 'estrie' }
const BURST_FACTOR = 6
/** Without the burst nothing is scarce: what the others lose is its doing. */
const BURST_LOAD = 0.8
const STORM_LOAD = 0.8
/** Every refused caller comes back, and again. */
const STORM_RETURN_SHARE = 1
/** Goodput is back when it reaches this share of the earlier one and stays there. */
const RECOVERED_SHARE = 0.9
/** Goodput is taken over so many seconds: a first rush is no recovery. */
const BUCKET_SECONDS = 20

/** What the situations are run for. */
export interface ScenarioParts {
  readonly deployments: readonly DeploymentName[]
  readonly policies: readonly string[]
  readonly seeds: readonly number[]
  readonly measuredMs: number
}

/**
 * Makes the cells of the burst: each with the burst and without it.
 *
 * @param parts - what to run it for
 * @returns the cells
 */
export function createBurstCells (parts: ScenarioParts): Cell[] {
  return createCells(parts, BURST_LOAD, 'none').flatMap((cell) => [
    cell,
    { ...cell, burst: { clientId: BURST_CLIENTS[cell.deployment], factor: BURST_FACTOR } }
  ])
}

/**
 * Makes the cells of the retry storm.
 *
 * @param parts - what to run it for
 * @returns the cells
 */
export function createStormCells (parts: ScenarioParts): Cell[] {
  return createCells(parts, STORM_LOAD, 'upstream_down').map((cell) => ({ ...cell, returnShare: STORM_RETURN_SHARE }))
}

function createCells ({ deployments, policies, seeds, measuredMs }: ScenarioParts, load: number, fault: Cell['fault']): Cell[] {
  return deployments.flatMap((deployment) =>
    policies.flatMap((policy) =>
      seeds.map((seed) => ({ deployment, policy, load, fault, seed, measuredMs }))))
}

/**
 * Prints what each client got with and without the burst.
 *
 * @param results - results of the burst cells
 * @returns a table
 */
export function formatBurst (results: readonly CellResult[]): string {
  const rows = groupResults(results).flatMap((group) => {
    const { deployment, policy } = group[0].cell
    return Object.keys(DEPLOYMENTS[deployment].clientShares).map((client) => {
      const isBursting = client === BURST_CLIENTS[deployment]
      const name = isBursting ? `${client} (sends x${BURST_FACTOR})` : client
      const calm = group.filter(({ cell }) => cell.burst === undefined)
      const bursting = group.filter(({ cell }) => cell.burst !== undefined)
      return [deployment, policy, name, servedPercent(calm, client), servedPercent(bursting, client), servedRate(calm, client), servedRate(bursting, client)]
    })
  })
  return formatRows(['deployment', 'policy', 'client', 'served % without burst', 'served % with burst', 'goodput/s without', 'goodput/s with'], rows)
}

function servedPercent (results: readonly CellResult[], client: string): string {
  return showSpread(results.map(({ summary }) => 100 * summary.clients[client].served / Math.max(1, summary.clients[client].offered)), 1)
}

function servedRate (results: readonly CellResult[], client: string): string {
  return showSpread(results.map(({ cell, summary }) => summary.clients[client].served / cell.measuredMs * 1000), 2)
}

/**
 * Prints goodput before, during and after the time without decode replicas.
 *
 * @param results - results of the storm cells
 * @returns a table
 */
export function formatStorm (results: readonly CellResult[]): string {
  const rows = groupResults(results).map((group) => {
    const { deployment, policy } = group[0].cell
    const storms = group.map(readStorm)
    return [
      deployment,
      policy,
      showSpread(storms.map(({ before }) => before), 2),
      showSpread(storms.map(({ during }) => during), 2),
      showSpread(storms.map(({ after }) => after), 2),
      storms.map(({ recoveredAfterSeconds }) => recoveredAfterSeconds ?? 'never').join(', ')
    ]
  })
  return formatRows(['deployment', 'policy', 'goodput/s before', 'while down', '10 to 40 s after', `s until it stays above ${RECOVERED_SHARE} of before, by seed`], rows)
}

interface Storm {
  readonly before: number
  readonly during: number
  readonly after: number
  readonly recoveredAfterSeconds?: number
}

function readStorm ({ cell, summary }: CellResult): Storm {
  const measured = { fromMs: WARM_UP_MS, toMs: WARM_UP_MS + cell.measuredMs }
  const downAt = beginMs(measured) / 1000
  const upAt = downAt + UPSTREAM_DOWN_MS / 1000
  const rate = (from: number, to: number) => mean(summary.servedBySecond.slice(from, to))
  const before = rate(WARM_UP_MS / 1000, downAt)
  const starts = Array.from({ length: measured.toMs / 1000 - upAt - BUCKET_SECONDS }, (_, second) => second)
  const lastLow = starts.findLastIndex((start) => rate(upAt + start, upAt + start + BUCKET_SECONDS) < RECOVERED_SHARE * before)
  const recovered = lastLow + 1 === starts.length ? undefined : lastLow + 1
  return { before, during: rate(downAt, upAt), after: rate(upAt + 10, upAt + 40), recoveredAfterSeconds: recovered }
}

function groupResults (results: readonly CellResult[]): CellResult[][] {
  const groups = new Map<string, CellResult[]>()
  for (const result of results) {
    const key = `${result.cell.deployment}/${result.cell.policy}`
    groups.set(key, [...groups.get(key) ?? [], result])
  }
  return [...groups.values()]
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}
