/*
 * Users saw requests reach a replica more than two seconds after it had said that it
 * leaves. Two orders of events lead there, each with the entry well by itself:
 *
 * 1. An entry was cut from the store for three seconds. Within the cut a replica left
 *    without a word: its registration was removed. The first full read after the cut
 *    showed that, but since registrations that lapsed in an outage come back, the entry
 *    dropped the removal, and the next read came four seconds later.
 *    Evidence: logs with a line for the dropped removal, replica_gone 2.2 s after it on a
 *    played day, and sends to the replica in between; here 900 to 1,250 calls in 1.5 s.
 * 2. The connections to the store fell silent. A replica said that it drains; the watch
 *    that should have told was given up 3.2 s after its start.
 *    Evidence: sends with a registrationsAgeMs beyond 2,000 until directory_was_stale.
 *
 * Cause: nothing bounded the time for which an entry acts on what it last knew.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callFor, inScene, registrationOf } from './EntryScene.js'

/** Time that a replica which leaves is given to see its last new work. */
const DRAIN_MS = 2_000

/** After this long without a fault an entry is held to that time. */
const CALM_MS = 3_000

const CUT_MS = 3_000

/** Until latencies are known. */
const WARM_UP_MS = 300

test('a replica that left in a cut from the store gets no new work once the entry is calm', () => inScene(async (scene) => {
  assert.ok((await callFor(scene, WARM_UP_MS)).atLeaving > 0, 'both replicas are used')
  scene.storeProxy.harm('silent')
  await sleep(CUT_MS - 500)
  scene.store.remove('servers/i-leaves')
  await sleep(500)
  scene.storeProxy.harm(undefined)
  await sleep(CALM_MS)
  const { answered, atLeaving } = await callFor(scene, 1_500)
  assert.ok(answered > 20, `${answered} answered`)
  assert.is(atLeaving, 0)
}))

test('a replica that drains while the connections to the store are silent gets no new work after the drain time', () => inScene(async (scene) => {
  assert.ok((await callFor(scene, WARM_UP_MS)).atLeaving > 0, 'both replicas are used')
  // This ends the watch under way, so that the next one begins now.
  scene.store.put('servers/i-stays', registrationOf(scene.stays))
  await sleep(50)
  scene.storeProxy.silence()
  scene.store.put('servers/i-leaves', registrationOf(scene.leaves, { state: 'draining' }))
  await sleep(DRAIN_MS)
  const { answered, atLeaving } = await callFor(scene, 1_500)
  assert.ok(answered > 20, `${answered} answered`)
  assert.is(atLeaving, 0)
}))

test.run()
