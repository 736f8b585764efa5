// Once, on a machine that was busy with other tests, a chat of these tests was refused with outcome
// unknown, reason prefill_lost. Decode engines that stand still take no byte of a prefill's result;
// the entry believed after each stalled transfer that the result lives on, and its last attempt
// fetched one that was gone. Made to come by stopping both engines: three `transfer_ended
// result=transfer_stalled transferredBytes=0`, then `result=prefill_lost detail="source holds no
// cache"`, 1.0 s after the only `prefill_ended`. BendfallCoreEntryStall has it in virtual time.
import { setTimeout as pause } from 'node:timers/promises'
import * as assert from 'uvu/assert'
import { judgeBooking } from '../../BendfallFakesClusterCalls.js'
import type { CallVerdict } from '../../BendfallFakesClusterCalls.js'
import type { Cluster } from '../../BendfallFakesCluster.js'
import { planClusterIntent } from '../../BendfallFakesClusterPlan.js'
import { eventually } from '../../BendfallFakesClusterWait.js'
import { confirmIntent } from '../../BendfallFakesDemoOperator.js'
import { assertType, assertUncut, clusterSuite, entryOf, holder, openChat, startBookings, startChats, untilLive } from './ClusterSuite.js'

// The bound that the promise states; all looks come after it.
const LEAVING_BOUND_MS = 3_000
const LIST_LAG_MS = 30_000
const HELD_TOKENS = 600
const HELD_CALL_MS = 6_000
const CALLERS = 4

const SIZE = { prefill: 1, decode: 2, services: 2 }
const { test, run } = clusterSuite('a leaving instance gets no new work', SIZE)

async function workAt (cluster: Cluster, instanceId: string): Promise<number> {
  return (await cluster.engine(instanceId)).requestIds.length
}

async function runsAt (cluster: Cluster, instanceId: string): Promise<number> {
  const { byPath } = await cluster.service(instanceId)
  return byPath['POST /freight/bookings/load'] ?? 0
}

/** Nothing was cut, and after the bound nothing was even refused on the way to the one that leaves. */
function assertTakenByOthers (verdicts: readonly CallVerdict[], ended: number): void {
  assertUncut(verdicts)
  const late = verdicts.slice(ended + CALLERS)
  assert.ok(late.length > 0, 'others took the work')
  assert.equal(late.filter(({ type }) => type !== 'answered'), [])
}

async function comeBack (cluster: Cluster, instanceId: string): Promise<void> {
  await cluster.restart(instanceId)
  await cluster.list(instanceId, 'live')
  await untilLive(cluster)
}

test('a decode sidecar that stops, 30 s before the list says so', async (cluster) => {
  const held = [0, 1, 2, 3].map((index) => openChat(cluster, entryOf(index), `held ${index}`, HELD_TOKENS))
  await Promise.all(held.map(({ output }) => output))
  const leaving = await holder(cluster)
  const load = startChats(cluster, CALLERS)
  await cluster.list(leaving, 'leaving', LIST_LAG_MS)
  const exitCode = cluster.terminate(leaving)
  await pause(LEAVING_BOUND_MS)
  const [before, ended] = [await workAt(cluster, leaving), load.verdicts.length]
  assert.ok(cluster.node(leaving).process.isRunning(), 'still drains')
  assertUncut(await Promise.all(held.map(({ verdict }) => verdict)))
  assert.is(await exitCode, 0)
  assert.is(await workAt(cluster, leaving), before)
  assertTakenByOthers(await load.stop(), ended)
  await comeBack(cluster, leaving)
})

test('the sidecar of a plain service that stops, 30 s before the list says so', async (cluster) => {
  const leaving = 'freight-1'
  await cluster.fail(leaving, { mode: 'slow', delayMs: HELD_CALL_MS, count: 1, pathPrefix: '/freight/bookings/held' })
  const held = judgeBooking(cluster.callers('entry-1'), { name: 'held' })
  await eventually('the call is held', async () => (await cluster.status(leaving)).activeRequests > 0)
  const load = startBookings(cluster, CALLERS)
  await eventually('load reaches it', async () => await runsAt(cluster, leaving) > 0)
  await cluster.list(leaving, 'leaving', LIST_LAG_MS)
  const exitCode = cluster.terminate(leaving)
  await pause(LEAVING_BOUND_MS)
  const [before, ended] = [await runsAt(cluster, leaving), load.verdicts.length]
  assert.ok(cluster.node(leaving).process.isRunning(), 'still drains')
  assertType(await held, 'answered')
  assert.is(await exitCode, 0)
  assert.is(await runsAt(cluster, leaving), before)
  assertTakenByOthers(await load.stop(), ended)
  await comeBack(cluster, leaving)
})

test('an instance withdrawn by an intent, until the intent takes it back', async (cluster) => {
  const intent = planClusterIntent({ ...SIZE, decode: 1 })
  const load = startChats(cluster, CALLERS)
  await eventually('load reaches it', async () => await workAt(cluster, 'decode-2') > 0)
  await confirmIntent(cluster.fleet, { ...intent, withdrawn: ['decode-2'] })
  await pause(LEAVING_BOUND_MS)
  const before = await workAt(cluster, 'decode-2')
  await pause(LEAVING_BOUND_MS)
  assert.is(await workAt(cluster, 'decode-2'), before)
  await confirmIntent(cluster.fleet, intent)
  await eventually('work comes back', async () => await workAt(cluster, 'decode-2') > before)
  assertUncut(await load.stop())
})

run()
