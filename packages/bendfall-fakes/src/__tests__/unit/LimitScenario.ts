import { setTimeout as sleep } from 'node:timers/promises'
import type { ForwardedResponse, RateWindow } from '../../fleet/BendfallFakesRateJudge.js'
import { findWorstWindow } from '../../fleet/BendfallFakesRateJudge.js'
import { callEntry, withCustomerHarness } from './CustomerHarness.js'
import type { CustomerResponse, CustomerEntry, CustomerHarness } from './CustomerHarness.js'

/** Requests per second that a limited replica accepts from all entries together. */
export const LIMIT_PER_S = 5.1

/** Time until replicas advertise their limits: by then, entries have measured latencies. */
const ADVERTISED_AFTER_MS = 1_000

const CALL_INTERVAL_MS = 30

/** Wait before the first call, after which the entries that take the callers' first calls are known. */
const WARM_UP_MS = 1_500

/** Callers that send requests to replicas which advertise limits. */
export interface LimitScenario {
  readonly entries: number
  /** How many of the three plain replicas advertise the limit. */
  readonly limited: number
  readonly seconds: number
  readonly callers?: number
  /** Time between two calls of a caller. */
  readonly pauseMs?: number
  /** Returns the entry for a call; without it, the callers use the entries in turn. */
  readonly entryOf?: (callIndex: number) => number
  /** Task that runs concurrently with the callers; `isOver` becomes true once they stop. */
  readonly concurrentTask?: (harness: CustomerHarness, isOver: () => boolean) => Promise<void>
}

/** Call of a scenario with its response. */
export interface LimitCall extends CustomerResponse {
  readonly entry: string
  readonly sentAtMs: number
}

/** Result of a scenario. */
export interface LimitOutcome {
  /** Requests above the limit in the worst window of the worst replica; 0 if the limits were kept. */
  readonly over: number
  readonly worst?: RateWindow
  /** Share of the allowed requests that arrived since the limits were advertised. */
  readonly usedShare: number
  readonly calls: readonly LimitCall[]
  /** Monotonic time at which the replicas began to advertise the limits. */
  readonly advertisedAtMs: number
}

/** Runs a scenario and compares the arrivals at the replicas with their limits. */
export async function runLimitScenario (scenario: LimitScenario): Promise<LimitOutcome> {
  let outcome: LimitOutcome | undefined
  await withCustomerHarness(scenario.entries, [], async (harness) => { outcome = await runScenario(harness, scenario) }, 1)
  if (outcome === undefined) throw new Error('the scenario has no outcome')
  return outcome
}

async function runScenario (harness: CustomerHarness, { concurrentTask = async () => {}, callers = 18, entryOf, limited, pauseMs = CALL_INTERVAL_MS, seconds }: LimitScenario): Promise<LimitOutcome> {
  await sleep(WARM_UP_MS)
  const calls: LimitCall[] = []
  const endsAtMs = performance.now() + seconds * 1_000
  const isOver = (): boolean => performance.now() >= endsAtMs
  const limitedReplicas = harness.plain.slice(0, limited)
  let advertisedAtMs = Infinity
  const advertising = sleep(ADVERTISED_AFTER_MS).then(() => {
    advertisedAtMs = performance.now()
    for (const replica of limitedReplicas) replica.advertiseLimit(LIMIT_PER_S)
  })
  let nextCallIndex = 0
  const takeCallIndex = (): number => nextCallIndex++
  const calling = Array.from({ length: callers }, async () => {
    while (!isOver()) {
      const index = entryOf?.(takeCallIndex()) ?? takeCallIndex() % harness.entries.length
      calls.push(await callOnce(harness.entries[index] as CustomerEntry))
      await sleep(pauseMs)
    }
  })
  await Promise.all([advertising, concurrentTask(harness, isOver), ...calling])
  const answers: ForwardedResponse[] = calls.map((call) => ({ ...call, requestId: call.id }))
  const windows = limitedReplicas.map((replica) => findWorstWindow({ replica, replicaId: replicaIdOf(harness, replica), answers }))
  const worst = windows.sort((one, other) => (other?.over ?? 0) - (one?.over ?? 0))[0]
  const arrivals = limitedReplicas.reduce((sum, { seen }) => sum + seen.filter(({ atMs }) => atMs > advertisedAtMs && atMs < endsAtMs).length, 0)
  const usedShare = arrivals / (limited * LIMIT_PER_S * (endsAtMs - advertisedAtMs) / 1_000)
  return { over: Math.max(0, worst?.over ?? 0), worst, usedShare, calls, advertisedAtMs }
}

async function callOnce (entry: CustomerEntry): Promise<LimitCall> {
  const sentAtMs = performance.now()
  return { ...await callEntry(entry, { path: '/open/1' }), entry: entry.host, sentAtMs }
}

function replicaIdOf (harness: CustomerHarness, replica: CustomerHarness['plain'][number]): string {
  return `i-${100 + harness.replicas.indexOf(replica)}`
}
