/**
 * Rows of the cost table: what one mechanism costs one process at the target size,
 * and whether that is within the limit of the resource.
 *
 * @module
 */
import { LIMITS } from './BendfallFakesCapacitySize.js'
import type { Estimate, Line } from './BendfallFakesCapacityFit.js'
import { exactly, plus } from './BendfallFakesCapacityFit.js'

/** Roles whose costs are estimated. */
export type CapacityRole = 'entry' | 'sidecar' | 'home holder' | 'watcher' | 'key-value service'

/** Resources with a limit; `LIMITS` gives the unit of each. */
export type Resource = keyof typeof LIMITS

/** Control traffic and the path of requests; only control has limits for all resources. */
export type CapacityPath = 'control' | 'data'

/** Cost of one mechanism for one process. */
export interface Row {
  readonly role: CapacityRole
  readonly path: CapacityPath
  readonly resource: Resource
  readonly mechanism: string
  readonly estimate: Estimate
  /** True for load that a fault adds to the ordinary load. */
  readonly isFault?: boolean
}

/** Result of the comparison of a row or a total with its limit. */
export type Verdict = 'fits' | 'DOES NOT FIT' | 'uncertain' | 'no limit'

/** Fitted lines by name. */
export type Lines<Name extends string> = Readonly<Record<Name, Line>>

/** Distance from the limit, in standard errors, at which a verdict is certain. */
const SAFE_ERRORS = 2

const ONE_CORE = 1

/**
 * Compares an estimate with a limit.
 *
 * @param estimate - figure with its standard error
 * @param limit - the limit, in the same unit
 * @returns the verdict; `uncertain` within two standard errors of the limit
 */
export function judge ({ value, error }: Estimate, limit: number): Verdict {
  if (value + SAFE_ERRORS * error <= limit) return 'fits'
  return value - SAFE_ERRORS * error > limit ? 'DOES NOT FIT' : 'uncertain'
}

/**
 * Compares a row with the limit of its resource.
 *
 * @param row - cost of one mechanism
 * @returns the verdict; `no limit` when the resource has none on this path
 */
export function judgeRow (row: Row): Verdict {
  const limit = limitOf(row.path, row.resource)
  return limit === undefined ? 'no limit' : judge(row.estimate, limit)
}

/**
 * Returns the limit of a resource.
 *
 * @param path - `control`, or `data` for the path of requests
 * @param resource - limited resource
 * @returns the limit; on the path of requests only CPU time has one, because a
 *   process handles requests on a single thread
 */
export function limitOf (path: CapacityPath, resource: Resource): number | undefined {
  if (path === 'control') return LIMITS[resource]
  return resource === 'cpu' ? ONE_CORE : undefined
}

/**
 * Adds up the rows that have a limit, by role, path and resource. Rows of faults
 * are not included.
 *
 * @param rows - all rows
 * @returns one total per role, path and resource
 */
export function sumRows (rows: readonly Row[]): readonly Row[] {
  const groups = new Map<string, Row[]>()
  for (const row of rows.filter(({ isFault, resource, path }) => isFault !== true && limitOf(path, resource) !== undefined)) {
    const key = `${row.role}/${row.path}/${row.resource}`
    groups.set(key, [...groups.get(key) ?? [], row])
  }
  return [...groups.values()].map(sumOf)
}

function sumOf (rows: readonly Row[]): Row {
  const estimate = plus(...rows.map((row) => row.estimate))
  return { ...rows[0], mechanism: `total of ${rows[0].path}`, estimate }
}

/** Creates a row of one role and path from resource, mechanism and cost. */
export type RowFactory = (resource: Resource, mechanism: string, estimate: Estimate | number) => Row

/**
 * Creates a factory for rows of one role and path.
 *
 * @param role - role of the process
 * @param path - `control`, or `data` for the path of requests
 * @returns the factory
 */
export function createRowFactory (role: CapacityRole, path: CapacityPath): RowFactory {
  return (resource, mechanism, estimate) => ({
    role,
    path,
    resource,
    mechanism,
    estimate: typeof estimate === 'number' ? exactly(estimate) : estimate
  })
}
