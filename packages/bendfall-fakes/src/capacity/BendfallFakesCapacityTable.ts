/**
 * Formats the Markdown tables that the capacity command prints.
 *
 * @module
 */
import type { MeasuredSlope } from './BendfallFakesCapacityFacts.js'
import type { Remedy } from './BendfallFakesCapacityRemedies.js'
import { judge, judgeRow, limitOf } from './BendfallFakesCapacityRow.js'
import type { Resource, Row } from './BendfallFakesCapacityRow.js'
import { LIMITS } from './BendfallFakesCapacitySize.js'

interface DisplayUnit {
  readonly unit: string
  readonly factor: number
}

const DISPLAY_UNITS: Readonly<Record<Resource, DisplayUnit>> = {
  cpu: { unit: '% of a core', factor: 100 },
  memory: { unit: 'MB', factor: 1e-6 },
  traffic: { unit: 'KB/s', factor: 1e-3 },
  reads: { unit: 'calls/s', factor: 1 },
  writes: { unit: 'calls/s', factor: 1 }
}

const SIGNIFICANT_DIGITS = 3

/**
 * Formats measurements with their points and fitted slopes.
 *
 * @param slopes - measurements and their fitted lines
 * @returns a Markdown table
 */
export function formatSlopes (slopes: readonly MeasuredSlope[]): string {
  const rows = slopes.map(({ name, unit, per, points, line }) => [
    name,
    points.map(({ size, value }) => `${size}: ${round(value)}`).join(', '),
    `${round(line.slope.value)} ${unit} per ${per}`,
    round(line.slope.error),
    round(line.intercept)
  ])
  return formatTable(['measured', 'points (size: value)', 'slope', 'standard error', 'at size 0'], rows)
}

/**
 * Formats cost rows with their limits and verdicts.
 *
 * @param rows - costs or totals
 * @returns a Markdown table
 */
export function formatCosts (rows: readonly Row[]): string {
  return formatTable(['role', 'path', 'mechanism', 'at target size', 'error', 'limit', 'verdict'], rows.map(productCells))
}

function productCells (row: Row): readonly string[] {
  const { unit, factor } = DISPLAY_UNITS[row.resource]
  const limit = limitOf(row.path, row.resource)
  const { value, error } = row.estimate
  return [row.role, row.isFault === true ? 'fault' : row.path, row.mechanism, `${round(value * factor)} ${unit}`, round(error * factor), limit === undefined ? '-' : round(limit * factor), judgeRow(row)]
}

/**
 * Formats remedies with the limits and verdicts.
 *
 * @param remedies - design changes with their costs
 * @returns a Markdown table
 */
export function formatRemedies (remedies: readonly Remedy[]): string {
  const titles = ['role', 'change', 'before', 'after', 'limit', 'verdict after']
  return formatTable(titles, remedies.map(({ role, resource, change, before, after }) => {
    const { unit, factor } = DISPLAY_UNITS[resource]
    const limit = LIMITS[resource]
    return [role, change, `${round(before.value * factor)} ${unit}`, `${round(after.value * factor)} ${unit}`, round(limit * factor), judge(after, limit)]
  }))
}

/**
 * Formats a Markdown table.
 *
 * @param titles - column headers
 * @param rows - cells of each row
 * @returns the table
 */
export function formatTable (titles: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  return [line(titles), line(titles.map(() => '---')), ...rows.map(line)].join('\n')
}

/**
 * Rounds to a few significant digits.
 *
 * @param value - any number
 * @returns the number with thousands separators and without exponent
 */
export function round (value: number): string {
  if (Math.abs(value) < 1e-9) return '0'
  return Number(value.toPrecision(SIGNIFICANT_DIGITS)).toLocaleString('en-GB', { maximumSignificantDigits: SIGNIFICANT_DIGITS })
}
