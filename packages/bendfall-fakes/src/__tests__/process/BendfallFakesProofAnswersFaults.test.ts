import * as assert from 'uvu/assert'
import type { ClusterFault } from '../../BendfallFakesClusterFaults.js'
import { ANSWERS_CLUSTER, assertTrue, callUnder, FREE_BOUND_MS } from './AnswersRound.js'
import { clusterSuite, untilFree, untilLive } from './ClusterSuite.js'

const { test, run } = clusterSuite('under a fault every caller gets its own whole answer once, or the truth', ANSWERS_CLUSTER)

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
  test(`${fault.kind} at ${fault.instanceId}: whole answers or honest refusals`, async (cluster) => {
    const ended = await callUnder(cluster, fault)
    await untilLive(cluster)
    await assertTrue(cluster, ended)
    const broken = [...ended.chats, ...ended.bookings.flatMap(({ verdicts }) => verdicts)].filter(({ type }) => type === 'broken')
    assert.equal(broken, [], 'an entry that lives tells every caller')
    assert.ok(ended.chats.some(({ type }) => type === 'answered'))
    await untilFree(cluster, FREE_BOUND_MS)
  })
}

run()
