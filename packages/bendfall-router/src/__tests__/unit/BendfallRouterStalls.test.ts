import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { RouterEffect } from '../../index.js'
import { arrival, createWorld, only, plainRoute, replicaOf, typesOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

const ANSWER_MS = 60
const DEADLINE_MS = 4_000
const BOOKING = plainRoute({ name: 'booking', pathPrefix: '/bookings/', kind: 'non_idempotent', timeoutMs: DEADLINE_MS, maxAttempts: 1 })
const REPLICAS = ['a0', 'a1', 'a2', 'a3', 'a4'].map((id) => replicaOf(id, 'plain'))

function worldOf (): RouterWorld {
  return createWorld([plainRoute(), BOOKING], REPLICAS)
}

/** Calls that a replica never answers, while it answers all of another route. */
class Hanging {
  readonly sentInto: number[] = []
  private readonly due: Array<{ readonly atMs: number, readonly act: () => RouterEffect[] }> = []
  private nowMs = 0

  constructor (private readonly world: RouterWorld, private readonly hangs: (replicaId: string, path: string) => boolean) {}

  call (key: string, path: string): void {
    const run = this.world.send(arrival(key, path)).find(({ type }) => type === 'send_run')
    if (run?.type !== 'send_run') return
    if (this.hangs(run.replicaId, path)) {
      if (path.startsWith('/bookings/')) this.sentInto.push(this.nowMs)
      this.due.push({ atMs: this.nowMs + DEADLINE_MS, act: () => this.world.send({ type: 'deadline_passed', key }) })
    } else {
      this.due.push({ atMs: this.nowMs + ANSWER_MS, act: () => this.world.send({ type: 'answer_complete', key, attempt: run.attempt, status: 200, outputEvents: 0 }) })
    }
  }

  pass (ms: number): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs;) {
      this.nowMs += 20
      this.world.wait(20)
      for (const one of this.due.filter(({ atMs }) => atMs <= this.nowMs)) {
        this.due.splice(this.due.indexOf(one), 1)
        one.act()
      }
    }
  }
}

// Before, 61 of 1,500 went into it, 32 of them in the second half: quick lookups that it
// answered cleared its record, and a deadline taught nothing.
test('a replica that hangs on bookings and answers lookups gets few bookings', () => {
  const hanging = new Hanging(worldOf(), (replicaId, path) => replicaId === 'a0' && path.startsWith('/bookings/'))
  for (let i = 0; i < 1_500; i++) {
    hanging.call(`b${i}`, '/bookings/1')
    hanging.call(`l${i}`, '/rates/1')
    hanging.pass(200)
  }
  assert.ok(hanging.sentInto.length <= 14, `${hanging.sentInto.length} bookings into it`)
  assert.ok(hanging.sentInto.filter((atMs) => atMs > 150_000).length <= 6)
})

test('it gets bookings again when it answers them', () => {
  const world = worldOf()
  let isWell = false
  const hanging = new Hanging(world, (replicaId, path) => !isWell && replicaId === 'a0' && path.startsWith('/bookings/'))
  for (let i = 0; i < 100; i++) {
    hanging.call(`h${i}`, '/bookings/1')
    hanging.pass(100)
  }
  isWell = true
  hanging.pass(31_000)
  let taken = 0
  for (let i = 0; i < 100; i++) {
    const run = only(world.send(arrival(`w${i}`, '/bookings/1')), 'send_run')
    if (run.replicaId === 'a0') taken += 1
    world.send({ type: 'answer_complete', key: `w${i}`, attempt: run.attempt, status: 200, outputEvents: 0 })
    hanging.pass(100)
  }
  assert.ok(taken > 10, `${taken} of 100`)
})

test('where all replicas are slow calls still go out', () => {
  const hanging = new Hanging(worldOf(), () => true)
  for (let i = 0; i < 50; i++) {
    hanging.call(`b${i}`, '/bookings/1')
    hanging.pass(100)
  }
  assert.is(hanging.sentInto.length, 50)
})

test('an answer that comes late clears what was believed', () => {
  const world = createWorld([BOOKING], [replicaOf('a0', 'plain')])
  const run = only(world.send(arrival('1', '/bookings/1')), 'send_run')
  world.wait(1_000)
  assert.is(world.state.replicas.get('a0')?.routes.get('booking')?.overdue.size, 1)
  assert.ok(typesOf(world.send({ type: 'answer_complete', key: '1', attempt: run.attempt, status: 200, outputEvents: 0 })).includes('deliver'))
  assert.is(world.state.replicas.get('a0')?.routes.size, 0)
})

test.run()
