/**
 * One day of one deployment as played by one variant of the router.
 *
 * @module
 */

/** What is played: the same day and seed are a pair across variants. */
export interface Cell {
  readonly variant: string
  /** Name of the site file without its folder and ending. */
  readonly site: string
  readonly day: string
  /** Seed of the day's luck; absent: the day's own. */
  readonly seed?: number
}

/** What the day was worth. */
export interface Outcome extends Cell {
  /** Share of the worth owed that was earned, less prices. */
  readonly worth: number
  /** Share of the worth owed that was earned, before prices. */
  readonly servedShare: number
  readonly brokenRules: readonly string[]
}

/**
 * Names a cell, so that it is found again among earlier results.
 *
 * @param cell - the cell
 * @returns text that differs for different cells
 */
export function nameOfCell ({ day, seed, site, variant }: Cell): string {
  return [variant, site, day, seed ?? 'own'].join(' ')
}
