/**
 * Customers of the soak: revokes, reissues and reassigns their API keys, and checks that replicas run
 * only what the keys and limits allow.
 *
 * @module
 */
import type { Draw } from '../../BendfallFakesClusterFaults.js'
import type { SeenRequest } from '../BendfallFakesFleetReplica.js'
import type { CallRecord } from './BendfallFakesFleetCaller.js'

/** Common prefix of all keys, so that one search finds any of them. */
const KEY_PREFIX = 'soak-key-'

/** Time after which a revoked key must be rejected. */
export const SOAK_REVOKED_WITHIN_MS = 2_000

/** Tolerances for use beyond an allotment. */
export const SOAK_ALLOTMENTS = { windowMs: 4_000, overShare: 0.1, slackUnits: 8_000 }

/** Limit of the customer that exceeds it. */
const LIMIT = { unit: 'token_stream', 'uncached-tokens': 200, 'rate-per-s': 3_000, burst: 3_000 }
const FLOODING = 'flooding'

/** Key of the customer that exceeds its limit. */
export const FLOODING_KEY = `${KEY_PREFIX}3`

/** Key that is never revoked; the calls after the faults use it. */
export const STEADY_KEY = `${KEY_PREFIX}steady`

const CUSTOMERS = ['steady', 'moving', FLOODING] as const
type CustomerName = (typeof CUSTOMERS)[number]

const INITIAL_CUSTOMERS: Readonly<Record<string, CustomerName>> = {
  [STEADY_KEY]: 'steady',
  [`${KEY_PREFIX}1`]: 'moving',
  [`${KEY_PREFIX}2`]: 'moving',
  [FLOODING_KEY]: FLOODING,
  [`${KEY_PREFIX}4`]: FLOODING
}

const UNKNOWN_KEY = `${KEY_PREFIX}unknown`

/** Period in which a key belonged to a customer. */
interface KeyAssignment {
  readonly key: string
  readonly customer: CustomerName
  readonly fromMs: number
  untilMs: number
}

/** Customers and the assignment history of their keys. */
export interface SoakCustomers {
  /** @returns the customers in the format of the configuration */
  readonly tenants: () => object[]
  /**
   * Revokes, reissues or reassigns a drawn key.
   *
   * @returns the change, for the list of faults
   */
  readonly change: (draw: Draw) => string
  /** Returns all keys to their initial customers. */
  readonly restore: () => void
  readonly drawKey: (draw: Draw) => string
  /**
   * Finds runs without a valid key, keys that were forwarded to replicas, and runs beyond a limit.
   *
   * @param records - calls of all callers
   * @param runs - requests that replicas ran
   * @returns one line per violation
   */
  readonly findViolations: (records: readonly CallRecord[], runs: readonly SeenRequest[]) => string[]
}

/**
 * Creates the customers, each with its initial keys.
 *
 * @param priorities - priority of each customer; absent: that of the route
 * @returns the customers
 */
export function createSoakCustomers (priorities: Readonly<Partial<Record<CustomerName, number>>> = {}): SoakCustomers {
  const assignments: KeyAssignment[] = []
  const findCurrentAssignment = (key: string): KeyAssignment | undefined => assignments.find((one) => one.key === key && one.untilMs === Infinity)

  function assignKey (key: string, customer: CustomerName | undefined): void {
    const nowMs = performance.now()
    const current = findCurrentAssignment(key)
    if (current?.customer === customer) return
    if (current !== undefined) current.untilMs = nowMs
    if (customer !== undefined) assignments.push({ key, customer, fromMs: nowMs, untilMs: Infinity })
  }

  function restore (): void {
    for (const [key, customer] of Object.entries(INITIAL_CUSTOMERS)) assignKey(key, customer)
  }

  // A run is allowed for the customer that held the key when the call began or lost it within the revocation bound before.
  function mayRun ({ key = '', startedAtMs }: CallRecord, { atMs, headers }: SeenRequest): boolean {
    return assignments.some((one) => one.key === key && one.customer === headers['x-tenant'] && one.fromMs <= atMs && startedAtMs <= one.untilMs + SOAK_REVOKED_WITHIN_MS)
  }

  function findViolations (records: readonly CallRecord[], runs: readonly SeenRequest[]): string[] {
    const byId = new Map(records.map((record) => [record.requestId, record]))
    const wrong = runs.flatMap((run) => {
      const record = byId.get(run.requestId)
      if (JSON.stringify(run.headers).includes(KEY_PREFIX)) return [`${run.requestId}: its key was forwarded to a replica`]
      if (record === undefined || mayRun(record, run)) return []
      return [`${run.requestId}: ran for ${run.headers['x-tenant']} at ${Math.round(run.atMs)}; its key belonged to ${assignments.filter(({ key }) => key === record.key).map(({ customer, fromMs, untilMs }) => `${customer} ${Math.round(fromMs)}-${Math.round(untilMs)}`).join(', ')}`]
    })
    return [...wrong, ...findBeyondLimit(records, runs)]
  }

  restore()
  return {
    tenants: () => CUSTOMERS.map((name) => ({ name, priority: priorities[name], 'api-keys': assignments.filter(({ customer, untilMs }) => customer === name && untilMs === Infinity).map(({ key }) => key), ...(name === FLOODING ? LIMIT : {}) })),
    change: (draw) => {
      const key = draw(Object.keys(INITIAL_CUSTOMERS).filter((one) => one !== STEADY_KEY))
      const customer = draw([undefined, ...CUSTOMERS])
      assignKey(key, customer)
      return `${key} to ${customer ?? 'no customer'}`
    },
    restore,
    drawKey: (draw) => draw([...Object.keys(INITIAL_CUSTOMERS), `${KEY_PREFIX}3`, `${KEY_PREFIX}4`, UNKNOWN_KEY]),
    findViolations
  }
}

/**
 * Finds keys that leaked into the output of processes.
 *
 * @param lines - output lines of all processes
 * @returns one line per leak
 */
export function findLeakedKeys (lines: readonly string[]): string[] {
  return lines.filter((line) => line.includes(KEY_PREFIX)).map((line) => `leaked key: ${line}`)
}

// Counts a request in a window only if both the call and the run at a replica lie within it.
function findBeyondLimit (records: readonly CallRecord[], runs: readonly SeenRequest[]): string[] {
  const sentAtMs = new Map(records.map(({ requestId, startedAtMs }) => [requestId, startedAtMs]))
  const first = new Map<string, SeenRequest>()
  for (const run of runs) if (run.headers['x-tenant'] === FLOODING && !first.has(run.requestId)) first.set(run.requestId, run)
  const counted = [...first.values()].map((run) => ({ fromMs: sentAtMs.get(run.requestId) ?? run.atMs, untilMs: run.atMs, units: unitsOf(run) }))
  const { overShare, slackUnits, windowMs } = SOAK_ALLOTMENTS
  const bound = (LIMIT['rate-per-s'] * windowMs / 1_000 + LIMIT.burst) * (1 + overShare) + slackUnits
  return counted.flatMap(({ fromMs }) => {
    const units = counted.filter((one) => one.fromMs >= fromMs && one.untilMs < fromMs + windowMs).reduce((sum, one) => sum + one.units, 0)
    return units > bound ? [`allotment: ${units} units ran within ${windowMs} ms from ${Math.round(fromMs)}, ${bound} are allowed`] : []
  })
}

function unitsOf ({ headers }: SeenRequest): number {
  const counts = headers['x-token-counts'] as string | undefined
  return counts === undefined ? LIMIT['uncached-tokens'] : counts.split(',').reduce((sum, one) => sum + Number(one), 0)
}
