/**
 * Table of a comparison: each variant against the base, by site.
 *
 * @module
 */
import { nameOfCell } from './CompareCell.js'
import type { Outcome } from './CompareCell.js'
import { pairedDifference } from './CompareStatistics.js'
import type { PairedDifference } from './CompareStatistics.js'

/** One row: a variant on one site. */
export interface ComparisonRow {
  readonly variant: string
  readonly site: string
  /** Worth of the base less that of the variant: what the base's choice gains. */
  readonly gain: PairedDifference
  /** Rules that the variant broke and the base did not, without repeats. */
  readonly brokenRules: readonly string[]
}

/**
 * Pairs the outcomes of each variant with those of the base.
 *
 * @param outcomes - of all variants
 * @param base - name of the base
 * @returns rows by variant and site, without those that have no pair
 */
export function compareWithBase (outcomes: readonly Outcome[], base: string): ComparisonRow[] {
  const baseByCell = new Map(outcomes.filter(({ variant }) => variant === base).map((outcome) => [nameOfCell(outcome), outcome]))
  const groups = new Map<string, Array<{ readonly own: Outcome, readonly other: Outcome }>>()
  for (const own of outcomes) {
    const other = baseByCell.get(nameOfCell({ ...own, variant: base }))
    if (own.variant === base || other === undefined) continue
    const key = `${own.variant} ${own.site}`
    groups.set(key, [...groups.get(key) ?? [], { own, other }])
  }
  return [...groups.values()].map((pairs) => toRow(pairs))
}

function toRow (pairs: ReadonlyArray<{ readonly own: Outcome, readonly other: Outcome }>): ComparisonRow {
  const [first] = pairs
  const brokenRules = pairs.flatMap(({ other, own }) => own.brokenRules.filter((rule) => !other.brokenRules.includes(rule)))
  return {
    variant: first?.own.variant ?? '',
    site: first?.own.site ?? '',
    gain: pairedDifference(pairs.map(({ other, own }) => other.worth - own.worth)),
    brokenRules: [...new Set(brokenRules)].sort()
  }
}

/**
 * Writes rows as a Markdown table.
 *
 * @param rows - of a comparison
 * @returns lines of the table
 */
export function toMarkdown (rows: readonly ComparisonRow[]): string {
  const lines = rows.map(({ brokenRules, gain, site, variant }) =>
    `| ${variant} | ${site} | ${gain.pairs} | ${signed(gain.mean)} ± ${gain.halfWidth.toFixed(3)} | ${gain.isNoise ? 'noise' : gain.mean > 0 ? 'gain' : 'loss'} | ${brokenRules.join(', ')} |`)
  return ['| variant | site | pairs | base less variant | | rules broken without it |', '|---|---|---|---|---|---|', ...lines].join('\n')
}

function signed (value: number): string {
  return `${value < 0 ? '' : '+'}${value.toFixed(3)}`
}
