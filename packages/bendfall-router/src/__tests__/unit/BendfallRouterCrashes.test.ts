import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { playCrashes } from './CrashWorld.js'
import { arrival, createWorld, modelWorld, only, plainRoute, replicaOf, typesOf } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

/** Sends that may follow once all entries know of the third crash. */
const ALLOWED_SENDS = 3

const SEEDS = 50

const LATE_SEEDS = 20

for (const { entries, perSecond, replicas, seeds } of [{ entries: 1, perSecond: 20, replicas: 3, seeds: SEEDS }, { entries: 5, perSecond: 100, replicas: 12, seeds: SEEDS }, { entries: 68, perSecond: 272, replicas: 84, seeds: 3 }, { entries: 840, perSecond: 400, replicas: 200, seeds: 1 }]) {
  test(`a request that crashes replicas is stopped after the third and nobody else is refused, ${entries} entries`, () => {
    for (let seed = 1; seed <= seeds; seed++) {
      const { lateSends, poisonCrashes, wronglyRefused } = playCrashes({ seed, entries, replicas, perSecond, seconds: 12, poisonEachMs: 700, crashEachMs: 500 })
      assert.ok(poisonCrashes >= 3, `seed ${seed}: ${poisonCrashes} crashes`)
      assert.ok(lateSends <= ALLOWED_SENDS, `seed ${seed}: ${lateSends} sends`)
      assert.is(wronglyRefused, 0, `seed ${seed}`)
    }
  })
}

test('copies of a request that arrive at once at several entries are stopped as well', () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const { lateSends } = playCrashes({ seed, entries: 5, replicas: 12, perSecond: 100, seconds: 14, poisonEachMs: 3_500, poisonsAtOnce: 4 })
    assert.ok(lateSends <= ALLOWED_SENDS, `seed ${seed}: ${lateSends} sends`)
  }
})

test('nobody is refused when a zone with a third of the replicas is lost at once', () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const { wronglyRefused } = playCrashes({ seed, entries: 5, replicas: 30, perSecond: 400, seconds: 8, zoneLostAtMs: 3_000 })
    assert.is(wronglyRefused, 0, `seed ${seed}`)
  }
})

test('nobody is refused when a zone is lost before a path that all ask for was served', () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const { wronglyRefused } = playCrashes({ seed, entries: 5, replicas: 30, perSecond: 2_000, seconds: 2, zoneLostAtMs: 30 })
    assert.is(wronglyRefused, 0, `seed ${seed}`)
  }
})

test('nobody is refused when a zone is lost before a path that all ask for was served, reports first', () => {
  const { wronglyRefused } = playCrashes({ seed: 258, entries: 5, replicas: 30, perSecond: 2_000, seconds: 2, zoneLostAtMs: 30 })
  assert.is(wronglyRefused, 0)
})

// Reports of one loss come one after the other, and so do its halves: neither makes several events of it.
for (const { name, ...late } of [{ name: 'in two steps', zoneStepMs: 500 }, { name: 'and reports are late', reportMs: 2_000 }, { name: 'in two steps and reports are late', zoneStepMs: 500, reportMs: 2_000 }]) {
  test(`nobody is refused when a zone is lost ${name}`, () => {
    for (let seed = 1; seed <= LATE_SEEDS; seed++) {
      const { wronglyRefused } = playCrashes({ seed, entries: 5, replicas: 30, perSecond: 2_000, seconds: 3, zoneLostAtMs: 30, ...late })
      assert.is(wronglyRefused, 0, `seed ${seed}`)
    }
  })
}

test('a request that crashes replicas is stopped in time though reports are late', () => {
  for (let seed = 1; seed <= LATE_SEEDS; seed++) {
    const { lateSends } = playCrashes({ seed, entries: 5, replicas: 12, perSecond: 100, seconds: 12, poisonEachMs: 700, crashEachMs: 500, reportMs: 1_500 })
    assert.is(lateSends, 0, `seed ${seed}`)
  }
})

// Told at once by entries that each saw one process end: the same event while they are registered, three once they are not.
test('crashes that others tell of count as one event while their copies overlap, and after a second as they are', () => {
  const world = once()
  const ages = { knownMs: 10, sentMs: 60 }
  for (const [index, { replicaId }] of PLAIN.slice(0, 3).entries()) {
    world.send({ type: 'crash_report_learned', reporter: `entry-${index + 2}`, report: { suspects: [{ fingerprint: 'same', processes: [`${replicaId}/1`], ages: { [`${replicaId}/1`]: ages } }], cleared: [] } })
  }
  const early = only(world.send(withFingerprint(arrival('k1', '/rates/1'), 'same')), 'send_run')
  world.send({ type: 'caller_left', key: early.key })
  world.wait(1_000)
  assert.is(only(world.send(withFingerprint(arrival('k2', '/rates/1'), 'same')), 'refuse').reason, 'crashes_replicas')
})

test('a crash costs the key-value service a report of each entry that had a run there', () => {
  const { poisonCrashes, reports } = playCrashes({ seed: 1, entries: 68, replicas: 84, perSecond: 272, seconds: 12, poisonEachMs: 700 })
  assert.ok(reports <= 4 * poisonCrashes, `${reports} reports of ${poisonCrashes} crashes`)
})

const PLAIN = ['a1', 'a2', 'a3', 'a4'].map((id) => replicaOf(id, 'plain', { startedAtMs: 1 }))

function loseRun (world: RouterWorld, key: string): string {
  const { attempt, replicaId } = only(world.send(arrival(key, '/rates/1')), 'send_run')
  world.send({ type: 'run_failed', key, attempt, failure: 'connection_lost' })
  return replicaId
}

function withFingerprint (event: ReturnType<typeof arrival>, fingerprint: string): ReturnType<typeof arrival> {
  return event.type === 'request_arrived' ? { ...event, arrival: { ...event.arrival, fingerprint } } : event
}

function crashUnder (world: RouterWorld, key: string, fingerprint: string): void {
  const { attempt, replicaId } = only(world.send(withFingerprint(arrival(key, '/rates/1'), fingerprint)), 'send_run')
  const effects = world.send({ type: 'run_failed', key, attempt, failure: 'connection_lost' })
  assert.ok(typesOf(effects).includes('check_replica'))
  world.send({ type: 'replica_checked', replicaId, startedAtMs: 1, outcome: 'ended' })
}

const once = (): RouterWorld => createWorld([plainRoute({ kind: 'non_idempotent', maxAttempts: 1 })], PLAIN)

test('a connection lost to a replica that lives is no crash', () => {
  const world = once()
  for (const key of ['k1', 'k2', 'k3', 'k4']) {
    const replicaId = loseRun(world, key)
    world.send({ type: 'replica_checked', replicaId, startedAtMs: 1, outcome: 'alive' })
  }
  assert.is(world.state.crashes.suspects.size, 0)
})

test('a replica that took a connection and then registers as a later process has crashed', () => {
  const world = once()
  const replicaId = loseRun(world, 'k1')
  world.send({ type: 'replica_checked', replicaId, startedAtMs: 1, outcome: 'alive' })
  world.send({ type: 'replicas_changed', present: [replicaOf(replicaId, 'plain', { startedAtMs: 2, revision: 2, registeredAtRevision: 2 })], gone: [] })
  assert.is(world.state.crashes.suspects.size, 1)
})

test('a replica that took a connection and then is gone has left in order', () => {
  const world = once()
  const replicaId = loseRun(world, 'k1')
  world.send({ type: 'replica_checked', replicaId, startedAtMs: 1, outcome: 'alive' })
  world.send({ type: 'replicas_changed', present: [], gone: [replicaId] })
  assert.is(world.state.crashes.suspects.size, 0)
})

test('a request that ended three replicas is refused as not run, with the time until its crashes lapse', () => {
  const world = once()
  for (const key of ['k1', 'k2', 'k3']) crashUnder(world, key, 'same')
  const refusal = only(world.send(withFingerprint(arrival('k4', '/rates/1'), 'same')), 'refuse')
  assert.is(refusal.status, 503)
  assert.is(refusal.reason, 'crashes_replicas')
  assert.is(refusal.retryAfterMs, 600_000)
  only(world.send(arrival('other', '/rates/1')), 'send_run')
})

test('copies that were under way when replicas ended together are doubted for a second only', () => {
  const world = once()
  const sends = ['k1', 'k2', 'k3'].map((key) => only(world.send(withFingerprint(arrival(key, '/rates/1'), 'same')), 'send_run'))
  assert.is(new Set(sends.map(({ replicaId }) => replicaId)).size, 3)
  world.wait(10)
  for (const { attempt, key, replicaId } of sends) {
    world.send({ type: 'run_failed', key, attempt, failure: 'connection_lost' })
    world.send({ type: 'replica_checked', replicaId, startedAtMs: 1, outcome: 'ended' })
  }
  const early = only(world.send(withFingerprint(arrival('k4', '/rates/1'), 'same')), 'send_run')
  world.send({ type: 'caller_left', key: early.key })
  world.wait(1_000)
  assert.is(only(world.send(withFingerprint(arrival('k5', '/rates/1'), 'same')), 'refuse').reason, 'crashes_replicas')
})

test('one more try is made once the oldest of three crashes has lapsed', () => {
  const world = once()
  for (const key of ['k1', 'k2', 'k3']) {
    crashUnder(world, key, 'same')
    world.wait(1_000)
  }
  world.wait(600_000)
  only(world.send(withFingerprint(arrival('k4', '/rates/1'), 'same')), 'send_run')
})

test('a request that is served is cleared, here and where its crashes are told again', () => {
  const world = once()
  const report = { suspects: [{ fingerprint: 'same', processes: ['x/1', 'y/1'] }], cleared: [] }
  world.send({ type: 'crash_report_learned', reporter: 'entry-2', report })
  const { attempt } = only(world.send(withFingerprint(arrival('k1', '/rates/1'), 'same')), 'send_run')
  const told = only(world.send({ type: 'answer_complete', key: 'k1', attempt, status: 200, outputEvents: 0 }), 'publish_crashes')
  assert.equal(told.report.cleared, [{ fingerprint: 'same', processes: ['x/1', 'y/1'] }])
  world.send({ type: 'crash_report_learned', reporter: 'entry-2', report })
  assert.is(world.state.crashes.suspects.get('same'), undefined)
})

test('a stream that has answered for a second is not blamed for the end of its replica', () => {
  for (const { answeredMs, suspects } of [{ answeredMs: 300, suspects: 1 }, { answeredMs: 1_200, suspects: 0 }]) {
    const world = modelWorld()
    const reserve = only(world.send(arrival('k1')), 'reserve')
    const read = only(world.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'granted' } }), 'send_prefill')
    const confirm = only(world.send({ type: 'prefill_answered', key: 'k1', attempt: read.attempt, outcome: { type: 'read', handle: 'h1' } }), 'confirm')
    const run = only(world.send({ type: 'confirm_answered', key: 'k1', attempt: confirm.attempt, outcome: 'free' }), 'send_run')
    world.send({ type: 'answer_started', key: 'k1', attempt: run.attempt })
    world.wait(answeredMs)
    world.send({ type: 'run_failed', key: 'k1', attempt: run.attempt, failure: 'connection_lost' })
    world.send({ type: 'replica_checked', replicaId: run.replicaId, outcome: 'ended' })
    assert.is(world.state.crashes.suspects.size, suspects, `after ${answeredMs} ms`)
  }
})

test('a request known to several entries that saw one crash each is refused by all', () => {
  const world = once()
  for (const [index, process] of ['x/1', 'y/1', 'z/1'].entries()) {
    world.send({ type: 'crash_report_learned', reporter: `entry-${index + 2}`, report: { suspects: [{ fingerprint: 'same', processes: [process] }], cleared: [] } })
  }
  assert.is(only(world.send(withFingerprint(arrival('k1', '/rates/1'), 'same')), 'refuse').reason, 'crashes_replicas')
})

test('a request that waits is refused before its next step once the third crash is told', () => {
  const world = modelWorld()
  const reserve = only(world.send(arrival('k1')), 'reserve')
  world.send({ type: 'crash_report_learned', reporter: 'entry-2', report: { suspects: [{ fingerprint: 'k1', processes: ['x/1', 'y/1', 'z/1'] }], cleared: [] } })
  const effects = world.send({ type: 'reserve_answered', key: 'k1', attempt: reserve.attempt, outcome: { type: 'granted' } })
  assert.is(only(effects, 'refuse').reason, 'crashes_replicas')
  only(effects, 'release')
})

test('an operator has all crashes forgotten', () => {
  const world = once()
  for (const key of ['k1', 'k2', 'k3']) crashUnder(world, key, 'same')
  assert.equal(only(world.send({ type: 'crashes_cleared' }), 'publish_crashes').report, { suspects: [], cleared: [] })
  only(world.send(withFingerprint(arrival('k4', '/rates/1'), 'same')), 'send_run')
})

test.run()
