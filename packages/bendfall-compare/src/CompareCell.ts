/**
 * Defines the unit of a comparison: one simulated day of one deployment, run with
 * one variant of the router.
 *
 * @module
 */

/** Parameters of one run. Runs of two variants with the same site, day and seed form a pair. */
export interface Cell {
  readonly variant: string
  /** Name of the site file without its folder and extension. */
  readonly site: string
  readonly day: string
  /** Seed of the day's random events; if absent, the day's default seed is used. */
  readonly seed?: number
}

/** Result of one run. */
export interface Outcome extends Cell {
  /** Fraction of the attainable worth that was earned, after deducting costs. */
  readonly worth: number
  /** Fraction of the attainable worth that was earned, before deducting costs. */
  readonly servedShare: number
  /** Names of the rules of the bench that the run violated. */
  readonly brokenRules: readonly string[]
}

/**
 * Returns a key that identifies a cell among earlier results.
 *
 * @param cell - cell or outcome; only the parameters of the run are used
 * @returns text that is unique for the cell
 */
export function cellKey ({ day, seed, site, variant }: Cell): string {
  return [variant, site, day, seed ?? 'own'].join(' ')
}
