import { suite } from 'uvu'
import type { Test } from 'uvu'
import * as assert from 'uvu/assert'
import { formatTimeline } from 'bendfall-node'
import { judgeBooking, judgeChat } from '../../BendfallFakesClusterCalls.js'
import type { CallVerdict } from '../../BendfallFakesClusterCalls.js'
import { startCluster } from '../../BendfallFakesCluster.js'
import type { Cluster } from '../../BendfallFakesCluster.js'
import { startLoad } from '../../BendfallFakesClusterLoad.js'
import type { ClusterLoad } from '../../BendfallFakesClusterLoad.js'
import { planCluster, planClusterIntent } from '../../BendfallFakesClusterPlan.js'
import type { ClusterSize } from '../../BendfallFakesClusterPlan.js'
import { eventually } from '../../BendfallFakesClusterWait.js'
import type { FleetPlan } from '../../BendfallFakesDemoSetup.js'

const MAX_PRINTED_REQUESTS = 3

export type ClusterTest = (name: string, run: (cluster: Cluster) => Promise<void>) => void

/** Creates a suite whose tests share one cluster; each test must leave it in its initial state. */
export function clusterSuite (name: string, size: ClusterSize, plan: Partial<FleetPlan> = {}): { readonly test: ClusterTest, readonly run: () => void } {
  const tests: Test = suite(name)
  let cluster: Cluster | undefined
  tests.before(async () => { cluster = await startCluster({ ...planCluster(size), ...plan }, planClusterIntent(size)) })
  tests.after(async () => { await cluster?.stop() })
  const test: ClusterTest = (title, run) => tests(title, async () => {
    if (cluster === undefined) throw new Error('the cluster did not start')
    try {
      await run(cluster)
    } catch (error) {
      printStalls(cluster)
      await printUnanswered(cluster)
      throw error
    }
  })
  return { test, run: () => tests.run() }
}

/** Prints when processes got no processor time, which distinguishes an overloaded machine from a fault. */
function printStalls ({ fleet }: Cluster): void {
  const nodes = [...fleet.sidecars, ...fleet.entries].map(({ process }) => process)
  for (const { lines, name } of [...nodes, ...fleet.upstreams.values(), fleet.keyValue, fleet.instanceList]) {
    for (const line of lines) {
      if (line.includes('event=process_stalled')) console.log(`${name} ${line}`)
    }
  }
}

/** Prints the events that all processes recorded for the first few requests that ended without a response. */
async function printUnanswered (cluster: Cluster): Promise<void> {
  const events = await cluster.timeline()
  const ends = events.filter(({ event, fields }) => event === 'request_ended' && fields.outcome !== 'answered')
  for (const { subject } of ends.slice(0, MAX_PRINTED_REQUESTS)) {
    console.log(formatTimeline(events.filter((event) => event.subject === subject)))
  }
}

export interface OpenCall {
  /** Resolves on the first output; rejects if the call ends before it. */
  readonly output: Promise<void>
  readonly verdict: Promise<CallVerdict>
  readonly disconnect: () => void
}

export function openChat (cluster: Cluster, entry: string, prompt: string, maxTokens: number): OpenCall {
  const caller = new AbortController()
  let sawOutput = (): void => {}
  const output = new Promise<void>((resolve) => { sawOutput = resolve })
  const verdict = judgeChat(cluster.callers(entry), { prompt, maxTokens, signal: caller.signal, onText: () => sawOutput() })
  const firstOutput = Promise.race([output, verdict.then((ended) => { throw new Error(`ended before output: ${JSON.stringify(ended)}`) })])
  firstOutput.catch(() => {})
  return { output: firstOutput, verdict, disconnect: () => caller.abort() }
}

/** Waits until an engine of a pool has an open attempt, and returns its instance ID. */
export async function waitForBusyEngine (cluster: Cluster, pool = 'decode'): Promise<string> {
  const instanceIds = cluster.instanceIds.filter((instanceId) => instanceId.startsWith(`${pool}-`))
  const { value } = await eventually(`an engine of ${pool} has an open attempt`, async () => {
    const states = await Promise.all(instanceIds.map((instanceId) => cluster.engine(instanceId)))
    return instanceIds.find((_, index) => states[index].attempts.length > 0)
  })
  return value
}

/** Waits until no engine has open attempts or used memory; fails after `maxWaitMs`. */
export async function waitUntilEnginesFree (cluster: Cluster, maxWaitMs: number): Promise<void> {
  const engines = [...cluster.fleet.upstreams.keys()].filter((instanceId) => !instanceId.startsWith('freight'))
  await eventually('engine memory free', async () => {
    const states = await Promise.all(engines.map((instanceId) => cluster.engine(instanceId)))
    return states.every(({ attempts, usedKvBytes }) => attempts.length === 0 && usedKvBytes === 0)
  }, maxWaitMs)
}

export async function waitUntilUpstreamsLive (cluster: Cluster, entries: readonly string[] = ['entry-1', 'entry-2']): Promise<void> {
  const upstreams = cluster.fleet.sidecars.length
  await eventually('all upstreams live at the entries', async () => {
    const all = await Promise.all(entries.map((entry) => cluster.status(entry)))
    return all.every(({ reconcileJson }) => (JSON.parse(reconcileJson) as { readonly liveUpstreams: number }).liveUpstreams === upstreams)
  })
}

export function assertType (verdict: CallVerdict, ...types: ReadonlyArray<CallVerdict['type']>): void {
  assert.ok(types.includes(verdict.type), JSON.stringify(verdict))
}

/** Asserts that every call was answered or refused as not run: no response was aborted, duplicated or of another request. */
export function assertAnsweredOrNotRun (verdicts: readonly CallVerdict[]): void {
  const unexpected = verdicts.filter((verdict) => verdict.type !== 'answered' && !(verdict.type === 'refused' && verdict.outcome === 'not_run'))
  assert.equal(unexpected, [])
  assert.ok(verdicts.some(({ type }) => type === 'answered'), 'at least one call must be answered')
}

export function entryOf (index: number): string {
  return `entry-${index % 2 + 1}`
}

/** Starts small chats through both entries in turn, or through the entries that `balance` returns. */
export function startChats (cluster: Cluster, callers: number, balance = entryOf): ClusterLoad {
  return startLoad(callers, (index) => judgeChat(cluster.callers(balance(index)), { prompt: `load ${index}`, maxTokens: 10 }), cluster.ended)
}

/** Starts bookings without an idempotency key through both entries in turn. */
export function startBookings (cluster: Cluster, callers: number): ClusterLoad {
  return startLoad(callers, (index) => judgeBooking(cluster.callers(entryOf(index)), { name: 'load' }), cluster.ended)
}
