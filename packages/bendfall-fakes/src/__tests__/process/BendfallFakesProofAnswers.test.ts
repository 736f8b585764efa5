import * as assert from 'uvu/assert'
import { ANSWERS_CLUSTER, assertTrue, callUnder, FREE_BOUND_MS } from './AnswersRound.js'
import { assertUncut, clusterSuite, entryOf, untilFree, untilLive } from './ClusterSuite.js'

const { test, run } = clusterSuite('every caller gets its own whole answer once, or the truth', ANSWERS_CLUSTER)

test('many at once through two entries: each its own, none crossed', async (cluster) => {
  const { chats, bookings } = await callUnder(cluster)
  assert.ok([...chats, ...bookings.flatMap(({ verdicts }) => verdicts)].every(({ type }) => type === 'answered'))
  await assertTrue(cluster, { chats, bookings })
})

test('a connection refused at every replica is not run, and did not run', async (cluster) => {
  await Promise.all([cluster.kill('freight-1'), cluster.kill('freight-2'), cluster.kill('decode-1'), cluster.kill('decode-2')])
  const ended = await callUnder(cluster)
  await assertTrue(cluster, ended)
  assert.ok([...ended.chats, ...ended.bookings.flatMap(({ verdicts }) => verdicts)].every((verdict) => verdict.type === 'refused' && verdict.outcome === 'not_run'))
  for (const instanceId of ['freight-1', 'freight-2', 'decode-1', 'decode-2']) await cluster.restart(instanceId)
  await untilLive(cluster)
})

test('an entry killed: its callers know nothing, all others get theirs', async (cluster) => {
  const ended = await callUnder(cluster, { kind: 'kill', instanceId: 'entry-1' })
  await assertTrue(cluster, ended)
  assertUncut(ended.chats.filter((_, index) => entryOf(index) === 'entry-2'))
  await untilFree(cluster, FREE_BOUND_MS)
})

run()
