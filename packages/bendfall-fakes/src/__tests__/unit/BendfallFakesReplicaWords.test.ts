import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callFor, inScene } from './EntryScene.js'

/** Time that a replica which leaves is given to see its last new work. */
const DRAIN_MS = 2_000

/** Until latencies are known. */
const WARM_UP_MS = 300

const REST_S = 3

/** After this long all know that a replica rests. */
const HEARD_MS = 500

/** Requests that may reach a replica in its rest. */
const ALLOWED_IN_REST = 2

test('a replica that says in its answers alone that it leaves gets no request after the drain time', () => inScene(async (scene) => {
  assert.ok((await callFor(scene, WARM_UP_MS)).atLeaving > 0, 'both replicas are used')
  scene.leaves.sayLeaving()
  await callFor(scene, DRAIN_MS)
  const { answered, asked, atLeaving } = await callFor(scene, 1_500)
  assert.is(atLeaving, 0)
  assert.is(answered, asked)
}))

test('replicas that all refuse and ask for rest get two requests at most within it', () => inScene(async (scene) => {
  await callFor(scene, WARM_UP_MS)
  const replicas = [scene.stays, scene.leaves]
  const firstRests = replicas.map((replica) => {
    replica.askForRest(REST_S)
    return replica.seen.length
  })
  await callFor(scene, (REST_S - HEARD_MS / 1_000) * 1_000)
  for (const [index, replica] of replicas.entries()) {
    const refused = replica.seen.slice(firstRests[index]).filter(({ isRefused }) => isRefused)
    const restsAtMs = refused[0]?.atMs ?? Infinity
    const within = refused.filter(({ atMs }) => atMs > restsAtMs + HEARD_MS && atMs < restsAtMs + REST_S * 1_000)
    assert.ok(refused.length > 0, `${replica.address} is asked`)
    assert.ok(within.length <= ALLOWED_IN_REST, `${within.length} requests reached ${replica.address} within its rest`)
  }
}))

test('a replica is used again once its rest is over', () => inScene(async (scene) => {
  await callFor(scene, WARM_UP_MS)
  scene.leaves.askForRest(1)
  await callFor(scene, 300)
  scene.leaves.askForRest(0)
  await sleep(1_000)
  assert.ok((await callFor(scene, WARM_UP_MS)).atLeaving > 0, 'used again')
}))

test.run()
