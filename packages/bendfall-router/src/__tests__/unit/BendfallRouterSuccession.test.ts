import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { LimitNotice, ReplicaNotice } from '../../index.js'
import { arrival, createSimulation, plainRoute, replicaOf } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

// Guards against a process that restarts under its id and is sent requests although it has reported that it wants none:
// its report was taken for one of its predecessor, which was still registered, and dropped with that registration.

const FIRST_START_MS = 1_000_000
const BACKOFF_MS = 8_000
const ADDRESS = 'a1:80'
const BACKS_OFF: ReplicaNotice = { isLeaving: false, backoffMs: BACKOFF_MS }
const LEAVES: ReplicaNotice = { isLeaving: true }

/** The replica that restarts. */
const FIRST = replicaOf('a1', 'plain', { startedAtMs: FIRST_START_MS, address: ADDRESS })

let nextKey = 0

function createScene (): RouterSimulation {
  const replicas = [FIRST, replicaOf('a2', 'plain', { startedAtMs: FIRST_START_MS, address: 'a2:80' })]
  const simulation = createSimulation([plainRoute()], replicas)
  simulation.send({ type: 'replica_spoke', replicaId: 'a2', notice: LEAVES })
  return simulation
}

/** Registers the process that has started again, so long before, by a clock that is ahead by `skewMs`. */
function register (simulation: RouterSimulation, startedAgoMs: number, skewMs = 0): void {
  const unixMs = 2 * FIRST_START_MS
  simulation.send({ type: 'replicas_changed', unixMs, present: [replicaOf('a1', 'plain', { startedAtMs: unixMs - startedAgoMs + skewMs, address: ADDRESS, revision: 9, registeredAtRevision: 9 })], gone: [] })
}

/** Returns whether a call is sent to the replica, which is the only one that stays. */
function isUsed (simulation: RouterSimulation): boolean {
  const key = `k${nextKey++}`
  const effects = simulation.send(arrival(key, '/rates/1'))
  simulation.send({ type: 'caller_left', key })
  return effects.some((effect) => effect.type === 'send_run' && effect.replicaId === 'a1')
}

const speak = (simulation: RouterSimulation, notice: ReplicaNotice): void => { simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice }) }

for (const [name, notice] of [['a backoff', BACKS_OFF], ['a shutdown', LEAVES]] as const) {
  test(`${name} that a process reports before its registration arrives holds on`, () => {
    const simulation = createScene()
    simulation.send({ type: 'connection_refused', address: ADDRESS })
    speak(simulation, notice)
    assert.is(isUsed(simulation), false)
    register(simulation, 1_200)
    assert.is(isUsed(simulation), false)
  })

  test(`${name} of a process that has ended does not bind its successor, before and after its registration`, () => {
    const simulation = createScene()
    speak(simulation, notice)
    simulation.send({ type: 'connection_refused', address: ADDRESS })
    assert.is(isUsed(simulation), true)
    register(simulation, 1_200)
    assert.is(isUsed(simulation), true)
  })

  test(`${name} that a process reports over an older connection after one was refused does not bind its successor`, () => {
    const simulation = createScene()
    simulation.send({ type: 'connection_refused', address: ADDRESS })
    simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice, isFormerProcess: true })
    assert.is(isUsed(simulation), true)
    register(simulation, 1_200)
    simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice, isFormerProcess: true })
    assert.is(isUsed(simulation), true)
  })
}

test('a process that runs on after a refused connection is believed over its older connections', () => {
  const simulation = createScene()
  simulation.send({ type: 'connection_refused', address: ADDRESS })
  for (let heartbeats = 1; heartbeats <= 6; heartbeats += 1) {
    simulation.wait(1_200)
    simulation.send({ type: 'replicas_changed', present: [{ ...FIRST, heartbeats: FIRST.heartbeats + heartbeats, revision: 9 + heartbeats }], gone: [] })
  }
  simulation.send({ type: 'replica_spoke', replicaId: 'a1', notice: LEAVES, isFormerProcess: true })
  assert.is(isUsed(simulation), false)
})

test('a backoff lasts as long as its process has asked for, whatever its predecessor had asked for', () => {
  const simulation = createScene()
  speak(simulation, { isLeaving: false, backoffMs: 600_000 })
  simulation.send({ type: 'connection_refused', address: ADDRESS })
  speak(simulation, BACKS_OFF)
  register(simulation, 1_200)
  assert.is(isUsed(simulation), false)
  simulation.wait(BACKOFF_MS)
  assert.is(isUsed(simulation), true)
})

test('without a refused connection a backoff is kept that the new process may have asked for, but not for minutes', () => {
  const simulation = createScene()
  speak(simulation, { isLeaving: false, backoffMs: 600_000 })
  register(simulation, 1_200)
  assert.is(isUsed(simulation), false)
  simulation.wait(10_000)
  assert.is(isUsed(simulation), true)
})

test('without a refused connection a backoff is dropped that is older than the new process on any clock', () => {
  const simulation = createScene()
  speak(simulation, { isLeaving: false, backoffMs: 600_000 })
  simulation.wait(15_000)
  register(simulation, 5_000, 4_000)
  assert.is(isUsed(simulation), true)
})

test('a limit that a process advertises before its registration arrives holds on', () => {
  const simulation = createScene()
  const limit: LimitNotice = { type: 'named', perS: 0.1 }
  simulation.send({ type: 'connection_refused', address: ADDRESS })
  speak(simulation, { isLeaving: false, limit })
  register(simulation, 1_200)
  assert.is([...simulation.state.limits.values()].filter(({ perS, processName }) => perS === 0.1 && processName.startsWith('a1')).length, 1)
  assert.is(isUsed(simulation), false)
})

test.run()
