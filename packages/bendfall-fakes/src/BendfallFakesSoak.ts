/**
 * Entry point of the soak, `npm run soak -- --seconds N --seed S`: runs a cluster
 * of processes under load and seeded faults, and checks every response.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { formatTimeline } from 'bendfall-node'
import { startCluster } from './BendfallFakesCluster.js'
import type { Cluster } from './BendfallFakesCluster.js'
import { createKey, judgeBooking, judgeChat } from './BendfallFakesClusterCalls.js'
import type { CallVerdict } from './BendfallFakesClusterCalls.js'
import { createDraw, drawFaults, injectClusterFault, possibleFaults } from './BendfallFakesClusterFaults.js'
import type { ClusterFault, Draw } from './BendfallFakesClusterFaults.js'
import { startLoad } from './BendfallFakesClusterLoad.js'
import { planCluster, planClusterIntent } from './BendfallFakesClusterPlan.js'
import { findBookingViolations, findChatViolations } from './BendfallFakesClusterViolations.js'
import type { BookingRecord } from './BendfallFakesClusterViolations.js'
import { watchVersions } from './BendfallFakesClusterVersions.js'
import { eventually } from './BendfallFakesClusterWait.js'

const SIZE = { prefill: 2, decode: 2, services: 2, service: { latencyMs: 50 } }
const TIMINGS = { instancePollMs: 200, homeLeaseMs: 30_000 }
const ENTRIES = ['entry-1', 'entry-2']
const CHAT_CALLERS = 6
const BOOKING_CALLERS = 4
/** One in so many chat callers disconnects early. */
const DISCONNECT_EVERY = 10
const DISCONNECT_AFTER_MS = 150
const FAULT_COUNTS = [1, 1, 2, 3]
const FAULT_MS = [500, 1_500, 3_000, 7_000]
const RECOVERY_MS = [500, 2_000]
const FREE_TIMEOUT_MS = 15_000
const MS_PER_SECOND = 1_000

/** Results collected during the soak; `disconnects` counts the callers that left before their response. */
interface SoakResults { readonly chats: CallVerdict[], readonly bookings: BookingRecord[], readonly faults: ClusterFault[], disconnects: number }

async function main (seconds: number, seed: number): Promise<void> {
  const cluster = await startCluster({ ...planCluster(SIZE), timings: TIMINGS }, planClusterIntent(SIZE))
  const results: SoakResults = { chats: [], bookings: [], faults: [], disconnects: 0 }
  const violations: string[] = []
  try {
    const versions = watchVersions(cluster)
    const loads = [startLoad(CHAT_CALLERS, (index) => chat(cluster, results, seed, index), cluster.ended), startLoad(BOOKING_CALLERS, (index) => book(cluster, results, index), cluster.ended)]
    await runFaults(cluster, results, createDraw(seed), seconds * MS_PER_SECOND)
    await Promise.all(loads.map((load) => load.stop()))
    violations.push(...(await versions.stop()).regressions, ...await findBookingViolations(cluster, results.bookings), ...await findChatViolations(cluster, results.chats), ...await findUnreleasedEngines(cluster))
    for (const requestId of idsOf(results, violations)) console.log(formatTimeline(await cluster.timeline(requestId)))
  } catch (error) {
    violations.push(String(error))
  } finally {
    await cluster.stop()
  }
  report(results, violations, seconds, seed)
  process.exitCode = violations.length === 0 ? 0 : 1
}

async function chat (cluster: Cluster, results: SoakResults, seed: number, index: number): Promise<CallVerdict> {
  const disconnects = index % DISCONNECT_EVERY === 0
  const signal = disconnects ? AbortSignal.timeout(DISCONNECT_AFTER_MS) : undefined
  const verdict = await judgeChat(cluster.callers(ENTRIES[index % ENTRIES.length]), { prompt: `soak ${seed}.${index}`, maxTokens: 10 + index % 60, signal })
  if (disconnects && verdict.type === 'broken') results.disconnects += 1
  else results.chats.push(verdict)
  return await pauseAfter(verdict)
}

/** Makes a booking, and repeats it with the same key through the other entry. */
async function book (cluster: Cluster, results: SoakResults, index: number): Promise<CallVerdict> {
  const booking = { name: `soak-${index}`, key: createKey() }
  const first = await judgeBooking(cluster.callers(ENTRIES[index % ENTRIES.length]), booking)
  const repeated = await judgeBooking(cluster.callers(ENTRIES[(index + 1) % ENTRIES.length]), booking)
  results.bookings.push({ name: booking.name, verdicts: [first, repeated] })
  return await pauseAfter(repeated)
}

/** Pauses a caller after a call; longer after a failure, to limit the load while an entry refuses connections. */
async function pauseAfter (verdict: CallVerdict): Promise<CallVerdict> {
  await sleep(verdict.type === 'answered' ? 20 : 200)
  return verdict
}

async function runFaults (cluster: Cluster, results: SoakResults, draw: Draw, durationMs: number): Promise<void> {
  const endsAtMs = performance.now() + durationMs
  while (performance.now() < endsAtMs) {
    const faults = drawFaults(draw, possibleFaults(cluster), draw(FAULT_COUNTS))
    results.faults.push(...faults)
    const clearFaults = await Promise.all(faults.map((fault) => injectClusterFault(cluster, fault)))
    await sleep(draw(FAULT_MS))
    await Promise.all(clearFaults.map((clearFault) => clearFault()))
    await sleep(draw(RECOVERY_MS))
  }
}

/** Reports the engines that still hold attempts after the load has ended. */
async function findUnreleasedEngines (cluster: Cluster): Promise<string[]> {
  const engines = cluster.instanceIds.filter((instanceId) => /^(decode|prefill)/.test(instanceId))
  const isFree = async (instanceId: string): Promise<boolean> => (await cluster.engine(instanceId)).attempts.length === 0
  const outcomes = await Promise.allSettled(engines.map((instanceId) => eventually(`all attempts of ${instanceId} released`, () => isFree(instanceId), FREE_TIMEOUT_MS)))
  return outcomes.flatMap((outcome) => outcome.status === 'rejected' ? [String(outcome.reason)] : [])
}

/** Returns the ids of the chat requests that a violation mentions. */
function idsOf (results: SoakResults, violations: readonly string[]): string[] {
  const ids = results.chats.flatMap((verdict) => 'requestId' in verdict && verdict.requestId !== '' ? [verdict.requestId] : [])
  return ids.filter((id) => violations.some((violation) => violation.includes(id)))
}

function report ({ chats, bookings, faults, disconnects }: SoakResults, violations: readonly string[], seconds: number, seed: number): void {
  const outcomeOf = (verdict: CallVerdict): string => verdict.type === 'refused' ? `${verdict.outcome}/${verdict.reason}` : verdict.type
  console.log(`soak of ${seconds} s, seed ${seed}`)
  console.log(`chats: ${chats.length + disconnects} (${disconnects} callers disconnected) ${countBy(chats, outcomeOf)}`)
  console.log(`bookings: ${bookings.length}, each made twice: ${countBy(bookings.flatMap(({ verdicts }) => verdicts), outcomeOf)}`)
  console.log(`faults: ${faults.length} ${countBy(faults, ({ kind }) => kind)}`)
  console.log(`violations: ${violations.length}\n${violations.join('\n')}`)
}

function countBy<T> (items: readonly T[], nameOf: (item: T) => string): string {
  const counts = new Map<string, number>()
  for (const item of items) counts.set(nameOf(item), (counts.get(nameOf(item)) ?? 0) + 1)
  return [...counts].sort().map(([name, count]) => `${name}=${count}`).join(' ')
}

const { values } = parseArgs({ options: { seconds: { type: 'string', default: '120' }, seed: { type: 'string', default: '1' } } })
await main(Number(values.seconds), Number(values.seed))
