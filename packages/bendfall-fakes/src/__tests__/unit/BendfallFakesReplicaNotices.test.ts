import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callFor, withEntryHarness } from './EntryHarness.js'

/** Time after its announcement within which a replica that shuts down may still get new requests. */
const DRAIN_MS = 2_000

/** Time until the entry has measured latencies. */
const WARM_UP_MS = 300

const BACKOFF_S = 3

/** Time within which the entry must know that a replica requested a backoff. */
const PROPAGATION_MS = 500

/** Maximum number of requests that may reach a replica during its backoff. */
const MAX_REQUESTS_IN_BACKOFF = 2

test('a replica that announces its shutdown only in response headers gets no requests after the drain time', () => withEntryHarness(async (harness) => {
  assert.ok((await callFor(harness, WARM_UP_MS)).atLeaving > 0, 'both replicas are used')
  harness.leavingReplica.advertiseLeaving()
  await callFor(harness, DRAIN_MS)
  const { answered, sent, atLeaving } = await callFor(harness, 1_500)
  assert.is(atLeaving, 0)
  assert.is(answered, sent)
}))

test('replicas that all refuse and request a backoff get at most two requests each during it', () => withEntryHarness(async (harness) => {
  await callFor(harness, WARM_UP_MS)
  const replicas = [harness.stayingReplica, harness.leavingReplica]
  const firstSeen = replicas.map((replica) => {
    replica.requestBackoff(BACKOFF_S)
    return replica.seen.length
  })
  await callFor(harness, (BACKOFF_S - PROPAGATION_MS / 1_000) * 1_000)
  for (const [index, replica] of replicas.entries()) {
    const refused = replica.seen.slice(firstSeen[index]).filter(({ isRefused }) => isRefused)
    const refusedAtMs = refused[0]?.atMs ?? Infinity
    const within = refused.filter(({ atMs }) => atMs > refusedAtMs + PROPAGATION_MS && atMs < refusedAtMs + BACKOFF_S * 1_000)
    assert.ok(refused.length > 0, `${replica.address} must get requests`)
    assert.ok(within.length <= MAX_REQUESTS_IN_BACKOFF, `${within.length} requests reached ${replica.address} during its backoff`)
  }
}))

test('a replica gets requests again after its backoff', () => withEntryHarness(async (harness) => {
  await callFor(harness, WARM_UP_MS)
  harness.leavingReplica.requestBackoff(1)
  await callFor(harness, 300)
  harness.leavingReplica.requestBackoff(0)
  await sleep(1_000)
  assert.ok((await callFor(harness, WARM_UP_MS)).atLeaving > 0, 'the replica must get requests again')
}))

test.run()
