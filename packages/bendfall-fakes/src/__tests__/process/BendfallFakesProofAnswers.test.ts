import * as assert from 'uvu/assert'
import { ANSWERS_CLUSTER, assertGuaranteesHold, runRound, MAX_FREE_MS } from './AnswersRound.js'
import { assertAnsweredOrNotRun, clusterSuite, entryOf, waitUntilEnginesFree, waitUntilUpstreamsLive } from './ClusterSuite.js'

const { test, run } = clusterSuite('every caller gets its own complete response once, or the true outcome of its request', ANSWERS_CLUSTER)

test('concurrent callers through two entries each get the response to their own request', async (cluster) => {
  const { chats, bookings } = await runRound(cluster)
  assert.ok([...chats, ...bookings.flatMap(({ verdicts }) => verdicts)].every(({ type }) => type === 'answered'))
  await assertGuaranteesHold(cluster, { chats, bookings })
})

test('requests are refused as not run, and did not run, while every replica refuses connections', async (cluster) => {
  await Promise.all([cluster.kill('freight-1'), cluster.kill('freight-2'), cluster.kill('decode-1'), cluster.kill('decode-2')])
  const ended = await runRound(cluster)
  await assertGuaranteesHold(cluster, ended)
  assert.ok([...ended.chats, ...ended.bookings.flatMap(({ verdicts }) => verdicts)].every((verdict) => verdict.type === 'refused' && verdict.outcome === 'not_run'))
  for (const instanceId of ['freight-1', 'freight-2', 'decode-1', 'decode-2']) await cluster.restart(instanceId)
  await waitUntilUpstreamsLive(cluster)
})

test('when an entry is killed, its callers get no outcome and all others get their responses', async (cluster) => {
  const ended = await runRound(cluster, { kind: 'kill', instanceId: 'entry-1' })
  await assertGuaranteesHold(cluster, ended)
  assertAnsweredOrNotRun(ended.chats.filter((_, index) => entryOf(index) === 'entry-2'))
  await waitUntilEnginesFree(cluster, MAX_FREE_MS)
})

run()
