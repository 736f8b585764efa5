import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createWorld, plainRoute, replicaOf } from './RouterWorld.js'

const FORMER = replicaOf('a5', 'plain', { address: 'a:80', registeredAtRevision: 3 })
const SUCCESSORS = [replicaOf('a9', 'plain', { address: 'a:80', registeredAtRevision: 8 }), replicaOf('a1', 'plain', { address: 'a:80', registeredAtRevision: 8 })]
for (const successor of SUCCESSORS) {
  for (const present of [[FORMER, successor], [successor, FORMER]]) {
    test(`of two registrations at one address the later counts: ${present.map(({ replicaId }) => replicaId).join(', ')}`, () => {
      const world = createWorld([plainRoute()], [])
      world.send({ type: 'replicas_changed', present, gone: [] })
      world.send({ type: 'replicas_changed', present: [FORMER], gone: [] })
      assert.equal([...world.state.replicas.keys()], [successor.replicaId])
    })
  }
}

test('a replica counts again when the later registration at its address is gone', () => {
  const world = createWorld([plainRoute()], [])
  world.send({ type: 'replicas_changed', present: [FORMER, ...SUCCESSORS.slice(1)], gone: [] })
  world.send({ type: 'replicas_changed', present: [FORMER], gone: ['a1'] })
  assert.equal([...world.state.replicas.keys()], ['a5'])
})

test.run()
