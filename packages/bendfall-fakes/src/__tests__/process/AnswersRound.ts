import * as assert from 'uvu/assert'
import { judgeBooking, judgeChat } from '../../BendfallFakesClusterCalls.js'
import type { CallVerdict } from '../../BendfallFakesClusterCalls.js'
import type { Cluster } from '../../BendfallFakesCluster.js'
import { inflictFault } from '../../BendfallFakesClusterFaults.js'
import type { ClusterFault } from '../../BendfallFakesClusterFaults.js'
import { findFalseBookings, findFalseChats } from '../../BendfallFakesClusterTruth.js'
import type { BookingRecord } from '../../BendfallFakesClusterTruth.js'
import type { ClusterSize } from '../../BendfallFakesClusterPlan.js'
import { entryOf } from './ClusterSuite.js'

const CHATS = 16
const BOOKINGS = 16
const RUN_MS = 200

/** Time in which engines must be free again after a round. */
export const FREE_BOUND_MS = 8_000

/** Cluster that the proofs of answers run against. */
export const ANSWERS_CLUSTER: ClusterSize = { prefill: 2, decode: 2, services: 2, service: { latencyMs: RUN_MS } }

export interface Round { readonly chats: readonly CallVerdict[], readonly bookings: readonly BookingRecord[] }

let round = 0

/** Chats and bookings of all kinds at once; the fault hits once output flows. */
export async function callUnder (cluster: Cluster, fault?: ClusterFault): Promise<Round> {
  round += 1
  let sawOutput = (): void => {}
  const output = new Promise<void>((resolve) => { sawOutput = resolve })
  const chats = Array.from({ length: CHATS }, (_, index) =>
    judgeChat(cluster.callers(entryOf(index)), { prompt: `lot ${round}.${index}`, maxTokens: 20 + 10 * index, onText: () => sawOutput() }))
  await Promise.race([output, Promise.all(chats)])
  const bookings = Array.from({ length: BOOKINGS }, async (_, index): Promise<BookingRecord> => {
    const name = `${round}-${index}`
    return { name, verdicts: [await judgeBooking(cluster.callers(entryOf(index)), { name })] }
  })
  const heal = fault === undefined ? undefined : await inflictFault(cluster, fault)
  const ended = { chats: await Promise.all(chats), bookings: await Promise.all(bookings) }
  await heal?.()
  return ended
}

/** Every caller got its own whole answer once, or the truth. */
export async function assertTrue (cluster: Cluster, { chats, bookings }: Round): Promise<void> {
  assert.equal(await findFalseChats(cluster, chats), [])
  assert.equal(await findFalseBookings(cluster, bookings), [])
}
