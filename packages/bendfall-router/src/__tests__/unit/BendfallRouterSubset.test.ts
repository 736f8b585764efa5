import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SUBSET_SIZE } from '../../index.js'
import { arrival, createWorld, loadOf, only, replicaOf, summaryRoute } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

const PREFILLS = Array.from({ length: 3 }, (_, i) => replicaOf(`p${i}`, 'prefill'))

function worldWith (decodes: number): RouterWorld {
  return createWorld([summaryRoute()], [...PREFILLS, ...Array.from({ length: decodes }, (_, i) => replicaOf(`d${i}`, 'decode'))])
}

test('a small fleet is used whole', () => {
  assert.is(worldWith(SUBSET_SIZE).state.subset.size, SUBSET_SIZE + PREFILLS.length)
})

test('of a large fleet an entry uses a bounded part, and asks nobody else', () => {
  const world = worldWith(100)
  assert.is(world.state.subset.size, SUBSET_SIZE + PREFILLS.length)
  const outside = [...world.state.replicas.keys()].find((id) => id.startsWith('d') && !world.state.subset.has(id)) as string
  for (const id of world.state.subset) if (id.startsWith('d')) world.send({ type: 'load_learned', load: loadOf(id, 'decode', 9_000) })
  world.send({ type: 'load_learned', load: loadOf(outside, 'decode', 30_000) })
  assert.ok(world.state.subset.has(only(world.send(arrival('1')), 'reserve').replicaId))
})

test('another replica takes the place of one that drains', () => {
  const world = worldWith(100)
  const used = [...world.state.subset].find((id) => id.startsWith('d')) as string
  world.send({ type: 'replicas_changed', present: [replicaOf(used, 'decode', { isDraining: true })], gone: [] })
  assert.is(world.state.subset.has(used), false)
  assert.is(world.state.subset.size, SUBSET_SIZE + PREFILLS.length)
})

test.run()
