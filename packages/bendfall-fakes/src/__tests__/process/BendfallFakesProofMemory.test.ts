import * as assert from 'uvu/assert'
import { clusterSuite, waitForBusyEngine, openChat, waitUntilEnginesFree, waitUntilUpstreamsLive } from './ClusterSuite.js'

const LEASE_MS = 10_000
const RECONNECT_MS = 1_000
const CANCEL_RETRY_MS = 1_000
// Tolerance for a busy machine between two polls; not part of the guarantee.
const SLACK_MS = 1_000
const LONG_OUTPUT = 3_000
// At a step of 10 ms this output takes 12 s, longer than the lease.
const OUTLASTING_OUTPUT = 1_200

const { test, run } = clusterSuite('decode memory is freed after its caller disconnects', { prefill: 1, decode: 2, engine: { prefillTokensPerSecond: 2_000 } })

test('memory is freed within the cancel bound after its caller closes the connection', async (cluster) => {
  const call = openChat(cluster, 'entry-1', 'caller gone', LONG_OUTPUT)
  await call.output
  call.disconnect()
  await waitUntilEnginesFree(cluster, CANCEL_RETRY_MS + SLACK_MS)
})

test('prefill and reservation are freed when their caller disconnects before any output', async (cluster) => {
  const call = openChat(cluster, 'entry-1', 'gone during the prefill '.repeat(300), 10)
  await waitForBusyEngine(cluster, 'prefill')
  call.disconnect()
  await waitUntilEnginesFree(cluster, CANCEL_RETRY_MS + SLACK_MS)
})

test('a cancel that the engine drops is retried until it is confirmed', async (cluster) => {
  const call = openChat(cluster, 'entry-1', 'cancel lost', LONG_OUTPUT)
  await call.output
  const decode = await waitForBusyEngine(cluster)
  await cluster.injectFault(decode, { mode: 'lose_cancel', count: 3 })
  call.disconnect()
  await waitUntilEnginesFree(cluster, 3 * CANCEL_RETRY_MS + SLACK_MS)
})

test('memory of an entry killed with SIGKILL is freed before its lease expires', async (cluster) => {
  const call = openChat(cluster, 'entry-1', 'entry killed', LONG_OUTPUT)
  await call.output
  await cluster.kill('entry-1')
  await waitUntilEnginesFree(cluster, RECONNECT_MS + CANCEL_RETRY_MS + SLACK_MS)
  await cluster.restart('entry-1')
  await waitUntilUpstreamsLive(cluster)
})

test('memory of an entry suspended beyond its leases is freed, and stays free when the entry resumes', async (cluster) => {
  const call = openChat(cluster, 'entry-2', 'entry paused', LONG_OUTPUT)
  await call.output
  cluster.signal('entry-2', 'SIGSTOP')
  call.disconnect()
  await waitUntilEnginesFree(cluster, LEASE_MS + CANCEL_RETRY_MS + SLACK_MS)
  cluster.signal('entry-2', 'SIGCONT')
  await waitUntilUpstreamsLive(cluster)
  await waitUntilEnginesFree(cluster, CANCEL_RETRY_MS + SLACK_MS)
})

test('a decode that takes longer than a lease continues while its entry runs', async (cluster) => {
  const verdict = await openChat(cluster, 'entry-1', 'longer than a lease', OUTLASTING_OUTPUT).verdict
  assert.is(verdict.type, 'answered', JSON.stringify(verdict))
  const events = verdict.type === 'answered' ? await cluster.timeline(verdict.requestId) : []
  assert.is(events.filter(({ event }) => event === 'decode_started').length, 1)
  await waitUntilEnginesFree(cluster, SLACK_MS)
})

test('a sidecar that is killed and restarted clears its engine', async (cluster) => {
  const call = openChat(cluster, 'entry-1', 'sidecar killed', LONG_OUTPUT)
  await call.output
  const decode = await waitForBusyEngine(cluster)
  await cluster.kill(decode)
  call.disconnect()
  await cluster.restart(decode)
  await waitUntilEnginesFree(cluster, CANCEL_RETRY_MS + SLACK_MS)
  await waitUntilUpstreamsLive(cluster)
})

run()
