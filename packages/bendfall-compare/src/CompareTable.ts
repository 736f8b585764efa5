/**
 * Compares each variant with the base for each site, and formats the result as a
 * table.
 *
 * @module
 */
import { cellKey } from './CompareCell.js'
import type { Outcome } from './CompareCell.js'
import { pairedDifference } from './CompareStatistics.js'
import type { PairedDifference } from './CompareStatistics.js'

/** Comparison of one variant with the base on one site. */
export interface ComparisonRow {
  readonly variant: string
  readonly site: string
  /** Worth of the base minus that of the variant; positive if the base's choice is better. */
  readonly gain: PairedDifference
  /** Rules that the variant violated and the base did not, sorted and without duplicates. */
  readonly brokenRules: readonly string[]
}

/**
 * Pairs the outcomes of each variant with those of the base.
 *
 * @param outcomes - outcomes of all variants, including the base
 * @param base - name of the base
 * @returns one row for each variant and site with at least one pair
 */
export function compareWithBase (outcomes: readonly Outcome[], base: string): ComparisonRow[] {
  const baseByCell = new Map(outcomes.filter(({ variant }) => variant === base).map((outcome) => [cellKey(outcome), outcome]))
  const groups = new Map<string, Array<{ readonly own: Outcome, readonly other: Outcome }>>()
  for (const own of outcomes) {
    const other = baseByCell.get(cellKey({ ...own, variant: base }))
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
 * Formats rows as a Markdown table.
 *
 * @param rows - rows from {@link compareWithBase}
 * @returns the table with its header
 */
export function toMarkdown (rows: readonly ComparisonRow[]): string {
  const lines = rows.map(({ brokenRules, gain, site, variant }) =>
    `| ${variant} | ${site} | ${gain.pairs} | ${formatSigned(gain.mean)} ± ${gain.halfWidth.toFixed(3)} | ${gain.isNoise ? 'noise' : gain.mean > 0 ? 'gain' : 'loss'} | ${brokenRules.join(', ')} |`)
  return ['| variant | site | pairs | base less variant | | rules broken without it |', '|---|---|---|---|---|---|', ...lines].join('\n')
}

function formatSigned (value: number): string {
  return `${value < 0 ? '' : '+'}${value.toFixed(3)}`
}
