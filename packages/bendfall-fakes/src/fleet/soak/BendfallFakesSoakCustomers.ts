/**
 * Customers of the soak: their keys, which are taken away, given back and moved, and what
 * replicas may run for them.
 *
 * @module
 */
import type { Draw } from '../../BendfallFakesClusterFaults.js'
import type { SeenRequest } from '../BendfallFakesFleetReplica.js'
import type { CallRecord } from './BendfallFakesFleetCaller.js'

/** Begins all keys, so that one search finds any of them. */
const KEY_MARK = 'soak-key-'

/** Time after which a key that was taken away opens nothing. */
export const SOAK_REVOKED_WITHIN_MS = 2_000

/** What customers may use beyond their allotments. */
export const SOAK_ALLOTMENTS = { windowMs: 4_000, overShare: 0.1, slackUnits: 8_000 }

/** Of the customer that asks for more than its limit. */
const LIMIT = { unit: 'token_stream', 'uncached-tokens': 200, 'rate-per-s': 3_000, burst: 3_000 }
const FLOODING = 'flooding'

/** Never taken away: what is served after the faults is asked with it. */
export const STEADY_KEY = `${KEY_MARK}steady`

const CUSTOMERS = ['steady', 'moving', FLOODING] as const
type CustomerName = (typeof CUSTOMERS)[number]

const FIRST_HOLDERS: Readonly<Record<string, CustomerName>> = {
  [STEADY_KEY]: 'steady',
  [`${KEY_MARK}1`]: 'moving',
  [`${KEY_MARK}2`]: 'moving',
  [`${KEY_MARK}3`]: FLOODING,
  [`${KEY_MARK}4`]: FLOODING
}

const UNKNOWN_KEY = `${KEY_MARK}unknown`

/** Time in which a customer had a key. */
interface Holding {
  readonly key: string
  readonly customer: CustomerName
  readonly fromMs: number
  untilMs: number
}

/** Customers and the history of their keys. */
export interface SoakCustomers {
  /** @returns them as operators write them */
  readonly tenants: () => object[]
  /** Takes a key away, gives it back or moves it. */
  readonly change: (draw: Draw) => string
  /** Gives all keys back. */
  readonly restore: () => void
  readonly drawKey: (draw: Draw) => string
  /**
   * Finds runs that keys did not open, keys that were passed on, and runs beyond a limit.
   *
   * @param records - of all callers
   * @param runs - as replicas saw them
   * @returns a line for each
   */
  readonly judge: (records: readonly CallRecord[], runs: readonly SeenRequest[]) => string[]
}

/** @returns customers with all of their keys */
export function createSoakCustomers (): SoakCustomers {
  const holdings: Holding[] = []
  const holdingOf = (key: string): Holding | undefined => holdings.find((one) => one.key === key && one.untilMs === Infinity)

  function give (key: string, customer: CustomerName | undefined): void {
    const nowMs = performance.now()
    const held = holdingOf(key)
    if (held?.customer === customer) return
    if (held !== undefined) held.untilMs = nowMs
    if (customer !== undefined) holdings.push({ key, customer, fromMs: nowMs, untilMs: Infinity })
  }

  function restore (): void {
    for (const [key, customer] of Object.entries(FIRST_HOLDERS)) give(key, customer)
  }

  // A key may open for who had it when the call began, or within the bound before.
  function mayRun ({ key = '', startedAtMs }: CallRecord, { atMs, headers }: SeenRequest): boolean {
    return holdings.some((one) => one.key === key && one.customer === headers['x-tenant'] && one.fromMs <= atMs && startedAtMs <= one.untilMs + SOAK_REVOKED_WITHIN_MS)
  }

  function judge (records: readonly CallRecord[], runs: readonly SeenRequest[]): string[] {
    const byId = new Map(records.map((record) => [record.requestId, record]))
    const wrong = runs.flatMap((run) => {
      const record = byId.get(run.requestId)
      if (JSON.stringify(run.headers).includes(KEY_MARK)) return [`${run.requestId}: its key was passed on`]
      if (record === undefined || mayRun(record, run)) return []
      return [`${run.requestId}: ran for ${run.headers['x-tenant']} at ${Math.round(run.atMs)}, its key had ${holdings.filter(({ key }) => key === record.key).map(({ customer, fromMs, untilMs }) => `${customer} ${Math.round(fromMs)}-${Math.round(untilMs)}`).join(', ')}`]
    })
    return [...wrong, ...findBeyondLimit(records, runs)]
  }

  restore()
  return {
    tenants: () => CUSTOMERS.map((name) => ({ name, 'api-keys': holdings.filter(({ customer, untilMs }) => customer === name && untilMs === Infinity).map(({ key }) => key), ...(name === FLOODING ? LIMIT : {}) })),
    change: (draw) => {
      const key = draw(Object.keys(FIRST_HOLDERS).filter((one) => one !== STEADY_KEY))
      const customer = draw([undefined, ...CUSTOMERS])
      give(key, customer)
      return `${key} to ${customer ?? 'nobody'}`
    },
    restore,
    drawKey: (draw) => draw([...Object.keys(FIRST_HOLDERS), `${KEY_MARK}3`, `${KEY_MARK}4`, UNKNOWN_KEY]),
    judge
  }
}

/**
 * Finds keys in what processes wrote.
 *
 * @param lines - of all processes
 * @returns a line for each that has one
 */
export function findWrittenKeys (lines: readonly string[]): string[] {
  return lines.filter((line) => line.includes(KEY_MARK)).map((line) => `written: ${line}`)
}

// Counted as the caller sent it and a replica ran it, both within the window.
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
