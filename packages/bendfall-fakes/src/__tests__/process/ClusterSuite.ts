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

const PRINTED_REQUESTS = 3

export type ClusterTest = (name: string, run: (cluster: Cluster) => Promise<void>) => void

/** Tests in one file share a cluster, and leave it as they found it. */
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

/** Shows which processes got no processor, and when: a starved machine is told from a fault by it. */
function printStalls ({ fleet }: Cluster): void {
  const nodes = [...fleet.sidecars, ...fleet.entries].map(({ process }) => process)
  for (const { lines, name } of [...nodes, ...fleet.upstreams.values(), fleet.keyValue, fleet.instanceList]) {
    for (const line of lines) {
      if (line.includes('event=process_stalled')) console.log(`${name} ${line}`)
    }
  }
}

/** Shows what all processes recorded of the requests that ended without an answer, the first few of them. */
async function printUnanswered (cluster: Cluster): Promise<void> {
  const events = await cluster.timeline()
  const ends = events.filter(({ event, fields }) => event === 'request_ended' && fields.outcome !== 'answered')
  for (const { subject } of ends.slice(0, PRINTED_REQUESTS)) {
    console.log(formatTimeline(events.filter((event) => event.subject === subject)))
  }
}

export interface OpenCall {
  /** Resolves with the first output; rejects when the call ends before it. */
  readonly output: Promise<void>
  readonly verdict: Promise<CallVerdict>
  readonly leave: () => void
}

export function openChat (cluster: Cluster, entry: string, prompt: string, maxTokens: number): OpenCall {
  const caller = new AbortController()
  let sawOutput = (): void => {}
  const output = new Promise<void>((resolve) => { sawOutput = resolve })
  const verdict = judgeChat(cluster.callers(entry), { prompt, maxTokens, signal: caller.signal, onText: () => sawOutput() })
  const first = Promise.race([output, verdict.then((ended) => { throw new Error(`ended before output: ${JSON.stringify(ended)}`) })])
  first.catch(() => {})
  return { output: first, verdict, leave: () => caller.abort() }
}

/** Waits until an engine of a pool holds an attempt, and tells which. */
export async function holder (cluster: Cluster, pool = 'decode'): Promise<string> {
  const instanceIds = cluster.instanceIds.filter((instanceId) => instanceId.startsWith(`${pool}-`))
  const { value } = await eventually(`an engine of ${pool} works`, async () => {
    const states = await Promise.all(instanceIds.map((instanceId) => cluster.engine(instanceId)))
    return instanceIds.find((_, index) => states[index].attempts.length > 0)
  })
  return value
}

/** Waits until no engine holds anything, and asserts the bound. */
export async function untilFree (cluster: Cluster, boundMs: number): Promise<void> {
  const engines = [...cluster.fleet.upstreams.keys()].filter((instanceId) => !instanceId.startsWith('freight'))
  await eventually('engine memory free', async () => {
    const states = await Promise.all(engines.map((instanceId) => cluster.engine(instanceId)))
    return states.every(({ attempts, usedKvBytes }) => attempts.length === 0 && usedKvBytes === 0)
  }, boundMs)
}

export async function untilLive (cluster: Cluster, entries: readonly string[] = ['entry-1', 'entry-2']): Promise<void> {
  const upstreams = cluster.fleet.sidecars.length
  await eventually('all upstreams live at the entries', async () => {
    const all = await Promise.all(entries.map((entry) => cluster.status(entry)))
    return all.every(({ reconcileJson }) => (JSON.parse(reconcileJson) as { readonly liveUpstreams: number }).liveUpstreams === upstreams)
  })
}

export function assertType (verdict: CallVerdict, ...types: ReadonlyArray<CallVerdict['type']>): void {
  assert.ok(types.includes(verdict.type), JSON.stringify(verdict))
}

/** No answer was cut, doubled or of another request, and refusals say that nothing ran. */
export function assertUncut (verdicts: readonly CallVerdict[]): void {
  const cut = verdicts.filter((verdict) => verdict.type !== 'answered' && !(verdict.type === 'refused' && verdict.outcome === 'not_run'))
  assert.equal(cut, [])
  assert.ok(verdicts.some(({ type }) => type === 'answered'), 'some were answered')
}

export function entryOf (index: number): string {
  return `entry-${index % 2 + 1}`
}

/** Small chats through both entries in turn, or as a balancer sends them. */
export function startChats (cluster: Cluster, callers: number, balance = entryOf): ClusterLoad {
  return startLoad(callers, (index) => judgeChat(cluster.callers(balance(index)), { prompt: `load ${index}`, maxTokens: 10 }), cluster.ended)
}

/** Bookings without a key through both entries in turn. */
export function startBookings (cluster: Cluster, callers: number): ClusterLoad {
  return startLoad(callers, (index) => judgeBooking(cluster.callers(entryOf(index)), { name: 'load' }), cluster.ended)
}
