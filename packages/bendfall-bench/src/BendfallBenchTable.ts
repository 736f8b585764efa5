/**
 * The table: one line a deployment, policy, load and fault, over all seeds.
 *
 * @module
 */
import type { Cell, CellResult } from './BendfallBenchRun.js'
import type { Served, Summary } from './BendfallBenchSummary.js'

interface Column {
  readonly title: string
  readonly show: (results: readonly CellResult[]) => string
}

const MS_PER_SECOND = 1000
const BYTES_PER_GB = 1e9

/** Columns that the same seeds reproduce. */
const COLUMNS: readonly Column[] = [
  { title: 'deployment', show: ([{ cell }]) => cell.deployment },
  { title: 'policy', show: ([{ cell }]) => cell.policy },
  { title: 'load', show: ([{ cell }]) => cell.load.toFixed(1) },
  { title: 'fault', show: ([{ cell }]) => cell.fault },
  { title: 'goodput/s', show: spreadOf(({ goodputPerSecond }) => goodputPerSecond, 2) },
  { title: 'of bound', show: spreadOf(({ ratioCheapest }) => ratioCheapest, 3) },
  { title: 'of bound, mix', show: spreadOf(({ ratioAsOffered }) => ratioAsOffered, 3) },
  { title: 'interactive %', show: spreadOf(({ interactive }) => percentOf(interactive), 1) },
  { title: 'calls %', show: spreadOf(({ calls }) => percentOf(calls), 1) },
  { title: 'summaries %', show: spreadOf(({ summary }) => percentOf(summary), 1) },
  { title: 'wasted prefill %', show: spreadOf(({ wastedShare }) => 100 * wastedShare, 2) },
  { title: 'cached % (of possible)', show: showCached },
  { title: 'prefill busy %', show: meanPercent(({ prefillBusyShare }) => prefillBusyShare) },
  { title: 'memory used %', show: meanPercent(({ memoryUsedShare }) => memoryUsedShare) },
  { title: 'longest refusal s', show: maximumOf(({ longestGivenUpMs }) => longestGivenUpMs / MS_PER_SECOND, 2) },
  { title: 'and since output s', show: maximumOf(({ longestSilentMs }) => longestSilentMs / MS_PER_SECOND, 2) },
  { title: 'held GB*s', show: spreadOf(({ heldByteSeconds }) => heldByteSeconds / BYTES_PER_GB, 2) },
  { title: 'held max ms', show: maximumOf(({ heldMaxMs }) => heldMaxMs, 0) },
  { title: 'returns served', show: showReturns },
  { title: 'misses', show: (results) => showCounts(results.map(({ summary }) => summary.misses)) },
  { title: 'violations', show: (results) => showCounts(results.map(({ summary }) => summary.violations)) }
]

/** Columns that differ from run to run. */
const TIMING_COLUMNS: readonly Column[] = [
  { title: 'decision p50 us', show: (results) => medianOf(results.map(({ decision }) => decision.p50Us)).toFixed(1) },
  { title: 'decision p99 us', show: (results) => medianOf(results.map(({ decision }) => decision.p99Us)).toFixed(1) }
]

/**
 * Prints results as a Markdown table.
 *
 * @param results - results of runs, those of one line next to each other
 * @param isTimed - true to add what differs from run to run
 * @returns the table
 */
export function formatTable (results: readonly CellResult[], isTimed: boolean): string {
  const columns = isTimed ? [...COLUMNS, ...TIMING_COLUMNS] : COLUMNS
  const rows = groupByLine(results).map((group) => columns.map(({ show }) => show(group)))
  return formatRows(columns.map(({ title }) => title), rows)
}

/**
 * Prints rows as a Markdown table.
 *
 * @param titles - titles of the columns
 * @param rows - cells, row by row
 * @returns the table
 */
export function formatRows (titles: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`
  return [line(titles), line(titles.map(() => '---')), ...rows.map(line)].join('\n')
}

/**
 * Prints mean and spread: half the distance between the extremes.
 *
 * @param values - one value a seed
 * @param digits - digits behind the point
 * @returns for instance `0.95 ±0.01`
 */
export function showSpread (values: readonly number[], digits: number): string {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  const half = (Math.max(...values) - Math.min(...values)) / 2
  return `${mean.toFixed(digits)} ±${half.toFixed(digits)}`
}

function groupByLine (results: readonly CellResult[]): CellResult[][] {
  const groups = new Map<string, CellResult[]>()
  for (const result of results) {
    const key = lineOf(result.cell)
    const group = groups.get(key) ?? []
    group.push(result)
    groups.set(key, group)
  }
  return [...groups.values()]
}

function lineOf ({ deployment, policy, load, fault }: Cell): string {
  return [deployment, policy, load, fault].join('/')
}

function spreadOf (read: (summary: Summary) => number, digits: number): Column['show'] {
  return (results) => showSpread(results.map(({ summary }) => read(summary)), digits)
}

function meanPercent (read: (summary: Summary) => number): Column['show'] {
  return (results) => (100 * results.reduce((sum, { summary }) => sum + read(summary), 0) / results.length).toFixed(0)
}

function showCached (results: readonly CellResult[]): string {
  const cached = meanPercent(({ cachedShare }) => cachedShare)(results)
  return `${cached} (${meanPercent(({ cacheableShare }) => cacheableShare)(results)})`
}

function maximumOf (read: (summary: Summary) => number, digits: number): Column['show'] {
  return (results) => Math.max(...results.map(({ summary }) => read(summary))).toFixed(digits)
}

function percentOf ({ offered, served }: Served): number {
  return offered === 0 ? 100 : 100 * served / offered
}

function showReturns (results: readonly CellResult[]): string {
  const offered = results.reduce((sum, { summary }) => sum + summary.returns.offered, 0)
  const served = results.reduce((sum, { summary }) => sum + summary.returns.served, 0)
  return offered === 0 ? '-' : `${served}/${offered}`
}

function showCounts (all: ReadonlyArray<Readonly<Record<string, number>>>): string {
  const total = new Map<string, number>()
  for (const counts of all) {
    for (const [name, count] of Object.entries(counts)) total.set(name, (total.get(name) ?? 0) + count)
  }
  return [...total].sort().map(([name, count]) => `${name} ${count}`).join(', ') || '-'
}

function medianOf (values: readonly number[]): number {
  return [...values].sort((one, other) => one - other)[values.length >> 1]
}
