// A service that comes back from an older copy tells registrations as they were, at higher
// revisions: replicas that left since are listed again, those that drain are ready again.
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Replica } from '../../index.js'
import { createWorld, plainRoute, replicaOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

const BORN_MS = 1_764_000_000_000
const LATER_ERA = 1_000

const wordOf = (heartbeats: number, change: Partial<Replica> = {}): Replica =>
  replicaOf('a', 'plain', { startedAtMs: BORN_MS, heartbeats, revision: heartbeats, ...change })

const tell = (world: RouterWorld, replica: Replica): void => { world.send({ type: 'replicas_changed', present: [replica], gone: [] }) }
const remove = (world: RouterWorld): void => { world.send({ type: 'replicas_changed', present: [], gone: ['a'] }) }
const isKnown = ({ state }: RouterWorld): boolean => state.replicas.has('a')
const isDraining = ({ state }: RouterWorld): boolean => state.replicas.get('a')?.replica.isDraining === true

test('a replica whose registration was removed does not come back by an older word', () => {
  const world = createWorld([plainRoute()], [wordOf(9)])
  remove(world)
  tell(world, wordOf(7, { revision: LATER_ERA }))
  assert.is(isKnown(world), false)
  tell(world, wordOf(9, { revision: LATER_ERA }))
  assert.is(isKnown(world), false)
  tell(world, wordOf(10, { revision: LATER_ERA + 1 }))
  assert.is(isKnown(world), true)
})

test('a replica that drains is not ready again by an older word, nor by one of the same count', () => {
  const world = createWorld([plainRoute()], [wordOf(9, { isDraining: true })])
  for (const heartbeats of [7, 9, 10]) {
    tell(world, wordOf(heartbeats, { revision: LATER_ERA }))
    assert.is(isDraining(world), true, `${heartbeats}`)
  }
})

test('a later process under the id is news, an earlier one is not', () => {
  const world = createWorld([plainRoute()], [wordOf(9)])
  remove(world)
  tell(world, wordOf(20, { startedAtMs: BORN_MS - 1, revision: LATER_ERA }))
  assert.is(isKnown(world), false)
  tell(world, wordOf(1, { startedAtMs: BORN_MS + 1, revision: LATER_ERA }))
  assert.is(isKnown(world), true)
})

test('a live replica that the copy tells as it was stays in use', () => {
  const world = createWorld([plainRoute()], [wordOf(9)])
  tell(world, wordOf(7, { revision: LATER_ERA }))
  assert.is(isKnown(world), true)
  tell(world, wordOf(10, { revision: LATER_ERA + 1 }))
  assert.is(world.state.replicas.get('a')?.replica.heartbeats, 10)
})

test('those that left are remembered in a bounded number', () => {
  const world = createWorld([plainRoute()], [])
  for (let i = 0; i < 3_000; i++) {
    const replica = replicaOf(`r${i}`, 'plain', { startedAtMs: BORN_MS })
    world.send({ type: 'replicas_changed', present: [replica], gone: [] })
    world.send({ type: 'replicas_changed', present: [], gone: [replica.replicaId] })
  }
  assert.ok(world.state.departed.size <= 1_024)
})

// Words of one process in any order and at any revision, with removals between.
test('nothing that left or drains is used by an older word, in any order of words and copies', () => {
  const step = fc.oneof(
    fc.record({ type: fc.constant('word' as const), back: fc.nat(8) }),
    fc.record({ type: fc.constant('heartbeat' as const) }),
    fc.record({ type: fc.constant('drain' as const) }),
    fc.record({ type: fc.constant('remove' as const) })
  )
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const world = createWorld([plainRoute()], [])
    let heartbeats = 1
    let revision = 1
    let hasDrained = false
    let leftAt = 0
    for (const one of steps) {
      revision += 1
      if (one.type === 'drain') hasDrained = true
      if (one.type === 'remove') {
        // What was never known can't be remembered.
        leftAt = world.state.replicas.get('a')?.replica.heartbeats ?? leftAt
        remove(world)
        continue
      }
      if (one.type !== 'word') heartbeats += 1
      const told = one.type === 'word' ? Math.max(1, heartbeats - one.back) : heartbeats
      tell(world, wordOf(told, { revision, isDraining: one.type === 'word' ? false : hasDrained }))
      if (hasDrained && isKnown(world) && told > leftAt && one.type !== 'word') assert.is(isDraining(world), true)
      if (told <= leftAt) assert.is(isKnown(world) && (world.state.replicas.get('a')?.replica.heartbeats ?? 0) <= leftAt, false)
    }
  }))
})

test.run()
