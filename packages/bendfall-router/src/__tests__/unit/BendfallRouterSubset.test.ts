import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SUBSET_SIZE } from '../../index.js'
import { arrival, createSimulation, loadOf, only, replicaOf, summaryRoute } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

const PREFILLS = Array.from({ length: 3 }, (_, i) => replicaOf(`p${i}`, 'prefill'))

function simulationWith (decodes: number): RouterSimulation {
  return createSimulation([summaryRoute()], [...PREFILLS, ...Array.from({ length: decodes }, (_, i) => replicaOf(`d${i}`, 'decode'))])
}

test('all replicas of a small fleet are used', () => {
  assert.is(simulationWith(SUBSET_SIZE).state.subset.size, SUBSET_SIZE + PREFILLS.length)
})

test('an entry uses a bounded subset of a large fleet and sends requests to no other replica', () => {
  const simulation = simulationWith(100)
  assert.is(simulation.state.subset.size, SUBSET_SIZE + PREFILLS.length)
  const outside = [...simulation.state.replicas.keys()].find((id) => id.startsWith('d') && !simulation.state.subset.has(id)) as string
  for (const id of simulation.state.subset) if (id.startsWith('d')) simulation.send({ type: 'load_learned', load: loadOf(id, 'decode', 9_000) })
  simulation.send({ type: 'load_learned', load: loadOf(outside, 'decode', 30_000) })
  assert.ok(simulation.state.subset.has(only(simulation.send(arrival('1')), 'reserve').replicaId))
})

test('a draining replica is replaced in the subset', () => {
  const simulation = simulationWith(100)
  const used = [...simulation.state.subset].find((id) => id.startsWith('d')) as string
  simulation.send({ type: 'replicas_changed', present: [replicaOf(used, 'decode', { isDraining: true })], gone: [] })
  assert.is(simulation.state.subset.has(used), false)
  assert.is(simulation.state.subset.size, SUBSET_SIZE + PREFILLS.length)
})

test.run()
