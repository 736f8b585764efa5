import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Clock } from 'bendfall-node'
import type { EraChange, KeyValueEntry, KeyValuePort, ListOutcome, WatchOutcome } from 'bendfall-platform'
import { followPrefix } from '../../directory/BendfallEdgeFollow.js'

const entry = (key: string): KeyValueEntry => ({ key, value: 'v', revision: 1, leaseId: '' })

/** Creates a follower in virtual time with a key-value service that responds from a script. */
function createHarness (script: { readonly lists: ListOutcome[], readonly watches: Array<{ readonly afterMs: number, readonly outcome: WatchOutcome }>, readonly asked?: Array<{ readonly waitMs: number, readonly slackMs: number }>, readonly hasEras?: boolean, readonly startedAtMs?: number, readonly responseMs?: number }): {
  readonly beginEra: () => void
  readonly notifications: string[]
  /** Times up to which the follower reported all changes as known. */
  readonly provenTimes: Array<number | undefined>
  /** Simulates a suspension of the machine, which the monotonic clock does not count. */
  readonly suspend: (ms: number) => void
  readonly run: (untilMs: number) => Promise<void>
  readonly close: () => void
} {
  let nowMs = script.startedAtMs ?? 0
  let suspendedMs = 0
  const provenTimes: Array<number | undefined> = []
  const timers: Array<{ readonly atMs: number, readonly callback: () => void }> = []
  const clock: Clock = {
    nowMs: () => nowMs,
    wallMs: () => Math.floor(nowMs + suspendedMs),
    callAt: (atMs, callback) => {
      const timer = { atMs, callback }
      timers.push(timer)
      return () => { timers.splice(timers.indexOf(timer), timers.includes(timer) ? 1 : 0) }
    }
  }
  const delayed = <T>(ms: number, value: T): Promise<T> => new Promise((resolve) => { clock.callAt(nowMs + ms, () => resolve(value)) })
  const notifications: string[] = []
  const eraListeners = new Set<(change: EraChange) => void>()
  const onEra = (listener: (change: EraChange) => void): (() => void) => {
    eraListeners.add(listener)
    return () => { eraListeners.delete(listener) }
  }
  const port = {
    ...(script.hasEras === true ? { onEra } : {}),
    list: () => delayed(script.responseMs ?? 4, script.lists.shift() ?? { type: 'unavailable' as const, detail: 'end of script' }),
    watch: (_prefix: string, _revision: number, waitMs: number, slackMs: number) => {
      script.asked?.push({ waitMs, slackMs })
      const next = script.watches.shift() ?? { afterMs: 100_000, outcome: { type: 'unavailable' as const, detail: 'end of script' } }
      // A watch without changes ends after its wait.
      return delayed(next.outcome.type === 'unchanged' ? Math.min(next.afterMs, waitMs) : next.afterMs, next.outcome)
    }
  } as unknown as KeyValuePort
  const { close } = followPrefix({
    port,
    clock,
    prefix: 'p/',
    boundMs: 4_000,
    listener: {
      onUpserted: (entries) => { notifications.push(`+${entries.map(({ key }) => key).join(',')}`) },
      onDeleted: (keys) => { notifications.push(`-${keys.join(',')}`) },
      onSynced: (_, provenAtMs) => { provenTimes.push(provenAtMs) },
      onMissing: (keys) => { notifications.push(`?${keys.join(',')}`) },
      onReachable: (isReachable) => { notifications.push(isReachable ? 'back' : 'lost') }
    }
  })
  async function run (untilMs: number): Promise<void> {
    for (;;) {
      for (let i = 0; i < 20; i++) await Promise.resolve()
      const next = timers.filter(({ atMs }) => atMs <= untilMs).sort((a, b) => a.atMs - b.atMs)[0]
      if (next === undefined) return
      timers.splice(timers.indexOf(next), 1)
      nowMs = Math.max(nowMs, next.atMs)
      next.callback()
    }
  }
  return { notifications, provenTimes, suspend: (ms) => { suspendedMs += ms }, run, close, beginEra: () => { for (const listener of eraListeners) listener({ era: 2, formerEra: 1 }) } }
}

const listed = (...keys: string[]): ListOutcome => ({ type: 'listed', entries: keys.map(entry), storeRevision: 5 })
/** The same entries, written again after the store revision of `listed`. */
const listedAgain = (...keys: string[]): ListOutcome => ({ type: 'listed', entries: keys.map((key) => ({ ...entry(key), revision: 8 })), storeRevision: 9 })
const deleted = (key: string): WatchOutcome => ({ type: 'changed', entries: [], deletedKeys: [key], storeRevision: 6 })

/** Creates a follower with a service that lists the same entry before and after the start of a new era. */
function createRestoreHarness (): ReturnType<typeof createHarness> {
  const unchanged = { type: 'unchanged', storeRevision: 6 } as const
  return createHarness({
    lists: [listed('a'), listed('a'), listed('a'), listed('a')],
    watches: [{ afterMs: 100, outcome: unchanged }, { afterMs: 2_000, outcome: unchanged }, { afterMs: 2_000, outcome: unchanged }, { afterMs: 2_000, outcome: unchanged }],
    hasEras: true
  })
}

// Guards against resumed streams that are refused at random: the wall clock, which is read in whole milliseconds, made a read
// seem older than the request for which it was made.
test('a response proves the state as of its request, wherever within a millisecond that was sent', async () => {
  for (const startedAtMs of [0, 0.5, 0.9]) {
    const harness = createHarness({ lists: [listed('a')], watches: [], startedAtMs, responseMs: 4.2 })
    await harness.run(startedAtMs + 10)
    assert.ok(Math.abs((harness.provenTimes[0] ?? NaN) - startedAtMs) < 1e-9, `${harness.provenTimes[0]} for ${startedAtMs}`)
    harness.close()
  }
})

test('a deleted entry is reported deleted at once while the service is healthy', async () => {
  const harness = createHarness({ lists: [listed('a', 'b')], watches: [{ afterMs: 10, outcome: deleted('a') }] })
  await harness.run(1_000)
  assert.equal(harness.notifications, ['+a,b', '-a'])
  harness.close()
})

// Its revision may have been reused, in which case a watch would miss earlier changes.
test('after a new era all keys are read again, and entries that the backup lacks are missing until they could have been written again', async () => {
  const harness = createHarness({
    lists: [listed('a', 'b', 'c'), listed('a', 'b'), listedAgain('a', 'b', 'c'), listedAgain('a', 'b', 'c')],
    watches: [{ afterMs: 100, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 100, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }],
    hasEras: true
  })
  await harness.run(50)
  harness.beginEra()
  await harness.run(150)
  assert.equal(harness.notifications, ['+a,b,c', '+a,b', '?c', '?a,b'])
  await harness.run(2_700)
  assert.equal(harness.notifications, ['+a,b,c', '+a,b', '?c', '?a,b', '+a,b,c'])
  harness.close()
})

test('an entry that was last written before the first read of the backup is restored once the entries of the backup have expired', async () => {
  const harness = createRestoreHarness()
  await harness.run(50)
  harness.beginEra()
  await harness.run(3_000)
  assert.is(harness.notifications.at(-1), '?a')
  await harness.run(5_500)
  assert.is(harness.notifications.at(-1), '+a')
  harness.close()
})

test('after a new era an entry of the backup is missing until its owner writes it again', async () => {
  const harness = createHarness({
    lists: [listed('a', 'b'), listed('a', 'b'), { type: 'listed', entries: [{ ...entry('a'), revision: 8 }, entry('b')], storeRevision: 9 }],
    watches: [{ afterMs: 100, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }],
    hasEras: true
  })
  await harness.run(50)
  harness.beginEra()
  await harness.run(2_700)
  assert.equal(harness.notifications, ['+a,b', '+a,b', '?a,b', '+a,b', '?b'])
  harness.close()
})

test('an entry that expired in an outage is kept until it could have been written again', async () => {
  const harness = createHarness({
    lists: [listed('a', 'b'), listed('b'), listed('a', 'b')],
    watches: [{ afterMs: 50, outcome: { type: 'unavailable', detail: 'down' } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }]
  })
  await harness.run(6_000)
  assert.ok(!harness.notifications.some((line) => line.startsWith('-')), harness.notifications.join(' '))
  assert.equal(harness.notifications.slice(0, 3), ['+a,b', 'lost', 'back'])
  harness.close()
})

test('an entry that is missing after an outage is reported missing at once and deleted after it could have been written again', async () => {
  const harness = createHarness({
    lists: [listed('a', 'b'), listed('b'), listed('b')],
    watches: [{ afterMs: 50, outcome: { type: 'unavailable', detail: 'down' } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }]
  })
  await harness.run(200)
  assert.ok(harness.notifications.includes('?a'), harness.notifications.join(' '))
  assert.not.ok(harness.notifications.includes('-a'), harness.notifications.join(' '))
  await harness.run(2_700)
  assert.ok(harness.notifications.includes('-a'), harness.notifications.join(' '))
  harness.close()
})

test('an entry that is deleted shortly after an outage is reported missing at once', async () => {
  const harness = createHarness({
    lists: [listed('a', 'b'), listed('a', 'b'), listed('b')],
    watches: [{ afterMs: 50, outcome: { type: 'unavailable', detail: 'down' } }, { afterMs: 300, outcome: deleted('a') }]
  })
  await harness.run(600)
  assert.is(harness.notifications.at(-1), '?a')
  harness.close()
})

test('an entry that stays missing after an outage is reported deleted', async () => {
  const harness = createHarness({
    lists: [listed('a', 'b'), listed('b'), listed('b')],
    watches: [{ afterMs: 50, outcome: { type: 'unavailable', detail: 'down' } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }]
  })
  await harness.run(6_000)
  assert.ok(harness.notifications.includes('-a'), harness.notifications.join(' '))
  harness.close()
})

test('a lost watch history causes a full read', async () => {
  const harness = createHarness({ lists: [listed('a'), listed('b')], watches: [{ afterMs: 10, outcome: { type: 'history_lost' } }] })
  await harness.run(1_000)
  assert.equal(harness.notifications, ['+a', '+b', '-a'])
  harness.close()
})

const changed = (key: string): WatchOutcome => ({ type: 'changed', entries: [entry(key)], deletedKeys: [], storeRevision: 6 })

// Before batching, 68 entries sent 330 watches per second, since each change ended a watch of each
// entry.
test('successive changes are reported in batches, each within its share of the time limit', async () => {
  const watches = Array.from({ length: 200 }, () => ({ afterMs: 5, outcome: changed('a') }))
  const harness = createHarness({ lists: [listed('a')], watches })
  await harness.run(14_000)
  const notificationCount = harness.notifications.length - 1
  assert.ok(notificationCount >= 11 && notificationCount <= 14, `${notificationCount} watches in 14 s with a time limit of 4 s`)
  harness.close()
})

test('a silent connection is detected as soon after changes as without them', async () => {
  const silent = { afterMs: 100_000, outcome: { type: 'unavailable' as const, detail: 'silent' } }
  const asked: Array<{ readonly waitMs: number, readonly slackMs: number }> = []
  const harness = createHarness({ lists: [listed('a')], watches: [...['b', 'c', 'd', 'e'].map((key) => ({ afterMs: 5, outcome: changed(key) })), silent], asked })
  await harness.run(4_000)
  const last = asked.at(-1)
  // The pause after the change, the wait and the slack: four fifths of the time limit.
  assert.ok(last !== undefined && 1_400 + last.waitMs + last.slackMs <= 3_220, JSON.stringify(asked))
  harness.close()
})

test('a response proves the state as of the time of its request', async () => {
  const harness = createHarness({ lists: [listed('a')], watches: [{ afterMs: 1_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 300, outcome: deleted('a') }] })
  await harness.run(2_000)
  assert.equal(harness.provenTimes, [0, 4, 1_004])
  harness.close()
})

test('a suspension during a request makes its response older by that time', async () => {
  const harness = createHarness({ lists: [listed('a')], watches: [{ afterMs: 1_000, outcome: { type: 'unchanged', storeRevision: 6 } }] })
  await harness.run(500)
  harness.suspend(7_000)
  await harness.run(1_100)
  assert.equal(harness.provenTimes, [0, 1_004 - 1_000 - 7_000])
  harness.close()
})

test('a restored backup proves nothing until the latest changes could have been written again', async () => {
  const harness = createRestoreHarness()
  await harness.run(50)
  harness.beginEra()
  await harness.run(2_400)
  assert.equal(harness.provenTimes.slice(1).filter((atMs) => atMs !== undefined), [])
  await harness.run(3_000)
  assert.ok((harness.provenTimes.at(-1) ?? 0) >= 2_400)
  harness.close()
})

test.run()
