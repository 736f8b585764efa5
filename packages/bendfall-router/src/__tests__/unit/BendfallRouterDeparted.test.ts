// A key-value service that is restored from a backup returns old registrations at higher revisions:
// replicas that left since then are listed again, and draining ones appear ready.
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Replica } from '../../index.js'
import { createSimulation, plainRoute, replicaOf } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

const STARTED_AT_MS = 1_764_000_000_000
const NEXT_ERA_REVISION = 1_000

const registrationOf = (heartbeats: number, changes: Partial<Replica> = {}): Replica =>
  replicaOf('a', 'plain', { startedAtMs: STARTED_AT_MS, heartbeats, revision: heartbeats, ...changes })

const update = (simulation: RouterSimulation, replica: Replica): void => { simulation.send({ type: 'replicas_changed', present: [replica], gone: [] }) }
const remove = (simulation: RouterSimulation): void => { simulation.send({ type: 'replicas_changed', present: [], gone: ['a'] }) }
const isKnown = ({ state }: RouterSimulation): boolean => state.replicas.has('a')
const isDraining = ({ state }: RouterSimulation): boolean => state.replicas.get('a')?.replica.isDraining === true

test('a replica whose registration was removed is not added again by a stale registration', () => {
  const simulation = createSimulation([plainRoute()], [registrationOf(9)])
  remove(simulation)
  update(simulation, registrationOf(7, { revision: NEXT_ERA_REVISION }))
  assert.is(isKnown(simulation), false)
  update(simulation, registrationOf(9, { revision: NEXT_ERA_REVISION }))
  assert.is(isKnown(simulation), false)
  update(simulation, registrationOf(10, { revision: NEXT_ERA_REVISION + 1 }))
  assert.is(isKnown(simulation), true)
})

test('a draining replica is not made ready by a registration with a lower, the same or a higher heartbeat count', () => {
  const simulation = createSimulation([plainRoute()], [registrationOf(9, { isDraining: true })])
  for (const heartbeats of [7, 9, 10]) {
    update(simulation, registrationOf(heartbeats, { revision: NEXT_ERA_REVISION }))
    assert.is(isDraining(simulation), true, `${heartbeats}`)
  }
})

test('a registration of a later process under the same id is accepted, one of an earlier process is not', () => {
  const simulation = createSimulation([plainRoute()], [registrationOf(9)])
  remove(simulation)
  update(simulation, registrationOf(20, { startedAtMs: STARTED_AT_MS - 1, revision: NEXT_ERA_REVISION }))
  assert.is(isKnown(simulation), false)
  update(simulation, registrationOf(1, { startedAtMs: STARTED_AT_MS + 1, revision: NEXT_ERA_REVISION }))
  assert.is(isKnown(simulation), true)
})

test('a live replica stays in use when a restored backup returns its old registration', () => {
  const simulation = createSimulation([plainRoute()], [registrationOf(9)])
  update(simulation, registrationOf(7, { revision: NEXT_ERA_REVISION }))
  assert.is(isKnown(simulation), true)
  update(simulation, registrationOf(10, { revision: NEXT_ERA_REVISION + 1 }))
  assert.is(simulation.state.replicas.get('a')?.replica.heartbeats, 10)
})

test('the number of remembered departed replicas is limited', () => {
  const simulation = createSimulation([plainRoute()], [])
  for (let i = 0; i < 3_000; i++) {
    const replica = replicaOf(`r${i}`, 'plain', { startedAtMs: STARTED_AT_MS })
    simulation.send({ type: 'replicas_changed', present: [replica], gone: [] })
    simulation.send({ type: 'replicas_changed', present: [], gone: [replica.replicaId] })
  }
  assert.ok(simulation.state.departed.size <= 1_024)
})

// Registrations of one process in any order and at any revision, with removals in between.
test('no order of registrations and restored backups makes a departed or draining replica usable by a stale registration', () => {
  const step = fc.oneof(
    fc.record({ type: fc.constant('word' as const), heartbeatsBehind: fc.nat(8) }),
    fc.record({ type: fc.constant('heartbeat' as const) }),
    fc.record({ type: fc.constant('drain' as const) }),
    fc.record({ type: fc.constant('remove' as const) })
  )
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const simulation = createSimulation([plainRoute()], [])
    let heartbeats = 1
    let revision = 1
    let hasDrained = false
    let heartbeatsAtRemoval = 0
    for (const one of steps) {
      revision += 1
      if (one.type === 'drain') hasDrained = true
      if (one.type === 'remove') {
        // A replica that was never known is not remembered as departed.
        heartbeatsAtRemoval = simulation.state.replicas.get('a')?.replica.heartbeats ?? heartbeatsAtRemoval
        remove(simulation)
        continue
      }
      if (one.type !== 'word') heartbeats += 1
      const reportedHeartbeats = one.type === 'word' ? Math.max(1, heartbeats - one.heartbeatsBehind) : heartbeats
      update(simulation, registrationOf(reportedHeartbeats, { revision, isDraining: one.type === 'word' ? false : hasDrained }))
      if (hasDrained && isKnown(simulation) && reportedHeartbeats > heartbeatsAtRemoval && one.type !== 'word') assert.is(isDraining(simulation), true)
      if (reportedHeartbeats <= heartbeatsAtRemoval) assert.is(isKnown(simulation) && (simulation.state.replicas.get('a')?.replica.heartbeats ?? 0) <= heartbeatsAtRemoval, false)
    }
  }))
})

test.run()
