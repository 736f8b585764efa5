import * as assert from 'uvu/assert'
import type { ClusterFault } from '../../BendfallFakesClusterFaults.js'
import { ANSWERS_CLUSTER, assertGuaranteesHold, runRound, MAX_FREE_MS } from './AnswersRound.js'
import { clusterSuite, waitUntilEnginesFree, waitUntilUpstreamsLive } from './ClusterSuite.js'

const { test, run } = clusterSuite('under a fault every caller gets its own complete response once, or the true outcome of its request', ANSWERS_CLUSTER)

const FAULTS: readonly ClusterFault[] = [
  { kind: 'kill', instanceId: 'decode-1' },
  { kind: 'engine_crash', instanceId: 'decode-2' },
  { kind: 'stalled_transfer', instanceId: 'decode-1' },
  { kind: 'stalled_transfer', instanceId: 'prefill-1' },
  { kind: 'kill', instanceId: 'prefill-1' },
  { kind: 'half_answer', instanceId: 'prefill-2' },
  { kind: 'half_answer', instanceId: 'freight-1' },
  { kind: 'kill', instanceId: 'freight-2' }
]

for (const fault of FAULTS) {
  test(`${fault.kind} at ${fault.instanceId}: callers get complete responses or accurate refusals`, async (cluster) => {
    const ended = await runRound(cluster, fault)
    await waitUntilUpstreamsLive(cluster)
    await assertGuaranteesHold(cluster, ended)
    const broken = [...ended.chats, ...ended.bookings.flatMap(({ verdicts }) => verdicts)].filter(({ type }) => type === 'broken')
    assert.equal(broken, [], 'a running entry must respond to every caller')
    assert.ok(ended.chats.some(({ type }) => type === 'answered'))
    await waitUntilEnginesFree(cluster, MAX_FREE_MS)
  })
}

run()
