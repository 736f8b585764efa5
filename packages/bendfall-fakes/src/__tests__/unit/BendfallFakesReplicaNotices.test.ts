import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callFor, inScene } from './EntryScene.js'

/** Time that a replica which leaves is given to see its last new work. */
const DRAIN_MS = 2_000

/** Until latencies are known. */
const WARM_UP_MS = 300

const BACKOFF_S = 3

/** After this long the entry knows that a replica backs off. */
const HEARD_MS = 500

/** Requests that may reach a replica in its backoff. */
const ALLOWED_IN_BACKOFF = 2

test('a replica that says in its answers alone that it leaves gets no request after the drain time', () => inScene(async (scene) => {
  assert.ok((await callFor(scene, WARM_UP_MS)).atLeaving > 0, 'both replicas are used')
  scene.leaves.sayLeaving()
  await callFor(scene, DRAIN_MS)
  const { answered, asked, atLeaving } = await callFor(scene, 1_500)
  assert.is(atLeaving, 0)
  assert.is(answered, asked)
}))

test('replicas that all refuse and ask for a backoff get two requests at most within it', () => inScene(async (scene) => {
  await callFor(scene, WARM_UP_MS)
  const replicas = [scene.stays, scene.leaves]
  const firstSeen = replicas.map((replica) => {
    replica.askForBackoff(BACKOFF_S)
    return replica.seen.length
  })
  await callFor(scene, (BACKOFF_S - HEARD_MS / 1_000) * 1_000)
  for (const [index, replica] of replicas.entries()) {
    const refused = replica.seen.slice(firstSeen[index]).filter(({ isRefused }) => isRefused)
    const refusedAtMs = refused[0]?.atMs ?? Infinity
    const within = refused.filter(({ atMs }) => atMs > refusedAtMs + HEARD_MS && atMs < refusedAtMs + BACKOFF_S * 1_000)
    assert.ok(refused.length > 0, `${replica.address} is asked`)
    assert.ok(within.length <= ALLOWED_IN_BACKOFF, `${within.length} requests reached ${replica.address} within its backoff`)
  }
}))

test('a replica is used again once its backoff is over', () => inScene(async (scene) => {
  await callFor(scene, WARM_UP_MS)
  scene.leaves.askForBackoff(1)
  await callFor(scene, 300)
  scene.leaves.askForBackoff(0)
  await sleep(1_000)
  assert.ok((await callFor(scene, WARM_UP_MS)).atLeaving > 0, 'used again')
}))

test.run()
