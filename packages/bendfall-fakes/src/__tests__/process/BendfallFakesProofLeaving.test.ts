// On a machine that was busy with other tests, a chat of these tests was once refused with outcome unknown and reason
// prefill_lost. Suspended decode engines read no byte of a prefill's result; after each stalled transfer the entry
// assumed that the result was still held, and its last attempt fetched one that had expired. Stopping both engines
// reproduces it: three `transfer_ended result=transfer_stalled transferredBytes=0`, then `result=prefill_lost
// detail="source holds no cache"`, 1.0 s after the only `prefill_ended`. BendfallCoreEntryStall covers it in virtual time.
import { setTimeout as pause } from 'node:timers/promises'
import * as assert from 'uvu/assert'
import { judgeBooking } from '../../BendfallFakesClusterCalls.js'
import type { CallVerdict } from '../../BendfallFakesClusterCalls.js'
import type { Cluster } from '../../BendfallFakesCluster.js'
import { planClusterIntent } from '../../BendfallFakesClusterPlan.js'
import { eventually } from '../../BendfallFakesClusterWait.js'
import { confirmIntent } from '../../BendfallFakesDemoOperator.js'
import { assertType, assertAnsweredOrNotRun, clusterSuite, entryOf, waitForBusyEngine, openChat, startBookings, startChats, waitUntilUpstreamsLive } from './ClusterSuite.js'

// The guaranteed bound; the tests count requests only after it.
const MAX_LEAVING_MS = 3_000
const LIST_LAG_MS = 30_000
const HELD_TOKENS = 600
const HELD_CALL_MS = 6_000
const CALLERS = 4

const SIZE = { prefill: 1, decode: 2, services: 2 }
const { test, run } = clusterSuite('a leaving instance gets no new requests', SIZE)

async function countRequestsAt (cluster: Cluster, instanceId: string): Promise<number> {
  return (await cluster.engine(instanceId)).requestIds.length
}

async function countRunsAt (cluster: Cluster, instanceId: string): Promise<number> {
  const { byPath } = await cluster.service(instanceId)
  return byPath['POST /freight/bookings/load'] ?? 0
}

/** Asserts that no call was aborted, and that after the bound none was refused on its way to the leaving instance. */
function assertServedByOthers (verdicts: readonly CallVerdict[], ended: number): void {
  assertAnsweredOrNotRun(verdicts)
  const late = verdicts.slice(ended + CALLERS)
  assert.ok(late.length > 0, 'other instances must serve further calls')
  assert.equal(late.filter(({ type }) => type !== 'answered'), [])
}

async function restartAndRelist (cluster: Cluster, instanceId: string): Promise<void> {
  await cluster.restart(instanceId)
  await cluster.list(instanceId, 'live')
  await waitUntilUpstreamsLive(cluster)
}

test('a decode sidecar that stops, 30 s before the list says so', async (cluster) => {
  const held = [0, 1, 2, 3].map((index) => openChat(cluster, entryOf(index), `held ${index}`, HELD_TOKENS))
  await Promise.all(held.map(({ output }) => output))
  const leaving = await waitForBusyEngine(cluster)
  const load = startChats(cluster, CALLERS)
  await cluster.list(leaving, 'leaving', LIST_LAG_MS)
  const exitCode = cluster.terminate(leaving)
  await pause(MAX_LEAVING_MS)
  const [before, ended] = [await countRequestsAt(cluster, leaving), load.verdicts.length]
  assert.ok(cluster.node(leaving).process.isRunning(), 'the instance must still drain')
  assertAnsweredOrNotRun(await Promise.all(held.map(({ verdict }) => verdict)))
  assert.is(await exitCode, 0)
  assert.is(await countRequestsAt(cluster, leaving), before)
  assertServedByOthers(await load.stop(), ended)
  await restartAndRelist(cluster, leaving)
})

test('the sidecar of a plain service that stops, 30 s before the instance list shows it', async (cluster) => {
  const leaving = 'freight-1'
  await cluster.injectFault(leaving, { mode: 'slow', delayMs: HELD_CALL_MS, count: 1, pathPrefix: '/freight/bookings/held' })
  const held = judgeBooking(cluster.callers('entry-1'), { name: 'held' })
  await eventually('the sidecar runs the call', async () => (await cluster.status(leaving)).activeRequests > 0)
  const load = startBookings(cluster, CALLERS)
  await eventually('the load reaches the instance', async () => await countRunsAt(cluster, leaving) > 0)
  await cluster.list(leaving, 'leaving', LIST_LAG_MS)
  const exitCode = cluster.terminate(leaving)
  await pause(MAX_LEAVING_MS)
  const [before, ended] = [await countRunsAt(cluster, leaving), load.verdicts.length]
  assert.ok(cluster.node(leaving).process.isRunning(), 'the instance must still drain')
  assertType(await held, 'answered')
  assert.is(await exitCode, 0)
  assert.is(await countRunsAt(cluster, leaving), before)
  assertServedByOthers(await load.stop(), ended)
  await restartAndRelist(cluster, leaving)
})

test('an instance withdrawn by an intent, until the intent takes it back', async (cluster) => {
  const intent = planClusterIntent({ ...SIZE, decode: 1 })
  const load = startChats(cluster, CALLERS)
  await eventually('the load reaches the instance', async () => await countRequestsAt(cluster, 'decode-2') > 0)
  await confirmIntent(cluster.fleet, { ...intent, withdrawn: ['decode-2'] })
  await pause(MAX_LEAVING_MS)
  const before = await countRequestsAt(cluster, 'decode-2')
  await pause(MAX_LEAVING_MS)
  assert.is(await countRequestsAt(cluster, 'decode-2'), before)
  await confirmIntent(cluster.fleet, intent)
  await eventually('decode-2 gets requests again', async () => await countRequestsAt(cluster, 'decode-2') > before)
  assertAnsweredOrNotRun(await load.stop())
})

run()
