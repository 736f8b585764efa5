import * as assert from 'uvu/assert'
import { judgeBooking, judgeChat } from '../../BendfallFakesClusterCalls.js'
import type { CallVerdict } from '../../BendfallFakesClusterCalls.js'
import type { Cluster } from '../../BendfallFakesCluster.js'
import { injectClusterFault } from '../../BendfallFakesClusterFaults.js'
import type { ClusterFault } from '../../BendfallFakesClusterFaults.js'
import { findBookingViolations, findChatViolations } from '../../BendfallFakesClusterViolations.js'
import type { BookingRecord } from '../../BendfallFakesClusterViolations.js'
import type { ClusterSize } from '../../BendfallFakesClusterPlan.js'
import { entryOf } from './ClusterSuite.js'

const CHATS = 16
const BOOKINGS = 16
const SERVICE_LATENCY_MS = 200

/** Maximum time until all engines are free after a round. */
export const MAX_FREE_MS = 8_000

/** Cluster of the tests that check the responses to callers. */
export const ANSWERS_CLUSTER: ClusterSize = { prefill: 2, decode: 2, services: 2, service: { latencyMs: SERVICE_LATENCY_MS } }

export interface RoundResult { readonly chats: readonly CallVerdict[], readonly bookings: readonly BookingRecord[] }

let roundNumber = 0

/** Runs chats and bookings concurrently and injects a fault once output has begun. */
export async function runRound (cluster: Cluster, fault?: ClusterFault): Promise<RoundResult> {
  roundNumber += 1
  let sawOutput = (): void => {}
  const outputSeen = new Promise<void>((resolve) => { sawOutput = resolve })
  const chats = Array.from({ length: CHATS }, (_, index) =>
    judgeChat(cluster.callers(entryOf(index)), { prompt: `lot ${roundNumber}.${index}`, maxTokens: 20 + 10 * index, onText: () => sawOutput() }))
  await Promise.race([outputSeen, Promise.all(chats)])
  const bookings = Array.from({ length: BOOKINGS }, async (_, index): Promise<BookingRecord> => {
    const name = `${roundNumber}-${index}`
    return { name, verdicts: [await judgeBooking(cluster.callers(entryOf(index)), { name })] }
  })
  const clearFault = fault === undefined ? undefined : await injectClusterFault(cluster, fault)
  const result = { chats: await Promise.all(chats), bookings: await Promise.all(bookings) }
  await clearFault?.()
  return result
}

/** Asserts that every caller received its own complete response once, or the true outcome of its request. */
export async function assertGuaranteesHold (cluster: Cluster, { chats, bookings }: RoundResult): Promise<void> {
  assert.equal(await findChatViolations(cluster, chats), [])
  assert.equal(await findBookingViolations(cluster, bookings), [])
}
