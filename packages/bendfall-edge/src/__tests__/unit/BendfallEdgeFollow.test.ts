import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Clock } from 'bendfall-node'
import type { EraChange, KeyValueEntry, KeyValuePort, ListOutcome, WatchOutcome } from 'bendfall-platform'
import { followPrefix } from '../../directory/BendfallEdgeFollow.js'

const entry = (key: string): KeyValueEntry => ({ key, value: 'v', revision: 1, leaseId: '' })

/** Virtual time and a service that answers from a script. */
function createScene (script: { readonly lists: ListOutcome[], readonly watches: Array<{ readonly afterMs: number, readonly outcome: WatchOutcome }>, readonly asked?: Array<{ readonly waitMs: number, readonly slackMs: number }>, readonly hasEras?: boolean }): {
  readonly beginEra: () => void
  readonly seen: string[]
  /** Times up to which all was known, as they were told. */
  readonly proven: Array<number | undefined>
  /** Has the machine be suspended: the monotonic clock does not count it. */
  readonly suspend: (ms: number) => void
  readonly run: (untilMs: number) => Promise<void>
  readonly close: () => void
} {
  let nowMs = 0
  let suspendedMs = 0
  const proven: Array<number | undefined> = []
  const timers: Array<{ readonly atMs: number, readonly callback: () => void }> = []
  const clock: Clock = {
    nowMs: () => nowMs,
    wallMs: () => nowMs + suspendedMs,
    callAt: (atMs, callback) => {
      const timer = { atMs, callback }
      timers.push(timer)
      return () => { timers.splice(timers.indexOf(timer), timers.includes(timer) ? 1 : 0) }
    }
  }
  const after = <T>(ms: number, value: T): Promise<T> => new Promise((resolve) => { clock.callAt(nowMs + ms, () => resolve(value)) })
  const seen: string[] = []
  const eraListeners = new Set<(change: EraChange) => void>()
  const onEra = (listener: (change: EraChange) => void): (() => void) => {
    eraListeners.add(listener)
    return () => { eraListeners.delete(listener) }
  }
  const port = {
    ...(script.hasEras === true ? { onEra } : {}),
    list: () => after(4, script.lists.shift() ?? { type: 'unavailable' as const, detail: 'end of script' }),
    watch: (_prefix: string, _revision: number, waitMs: number, slackMs: number) => {
      script.asked?.push({ waitMs, slackMs })
      const next = script.watches.shift() ?? { afterMs: 100_000, outcome: { type: 'unavailable' as const, detail: 'end of script' } }
      // A watch without news ends with its wait.
      return after(next.outcome.type === 'unchanged' ? Math.min(next.afterMs, waitMs) : next.afterMs, next.outcome)
    }
  } as unknown as KeyValuePort
  const { close } = followPrefix({
    port,
    clock,
    prefix: 'p/',
    boundMs: 4_000,
    listener: {
      onUpserted: (entries) => { seen.push(`+${entries.map(({ key }) => key).join(',')}`) },
      onDeleted: (keys) => { seen.push(`-${keys.join(',')}`) },
      onSynced: (_, provenAtMs) => { proven.push(provenAtMs) },
      onMissing: (keys) => { seen.push(`?${keys.join(',')}`) },
      onReachable: (isReachable) => { seen.push(isReachable ? 'back' : 'lost') }
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
  return { seen, proven, suspend: (ms) => { suspendedMs += ms }, run, close, beginEra: () => { for (const listener of eraListeners) listener({ era: 2, formerEra: 1 }) } }
}

const listed = (...keys: string[]): ListOutcome => ({ type: 'listed', entries: keys.map(entry), storeRevision: 5 })
/** The same, written after the store revision of the others. */
const writtenAgain = (...keys: string[]): ListOutcome => ({ type: 'listed', entries: keys.map((key) => ({ ...entry(key), revision: 8 })), storeRevision: 9 })
const deleted = (key: string): WatchOutcome => ({ type: 'changed', entries: [], deletedKeys: [key], storeRevision: 6 })

/** A service that lists the same entry before and after an era began. */
function createCopyScene (): ReturnType<typeof createScene> {
  const unchanged = { type: 'unchanged', storeRevision: 6 } as const
  return createScene({
    lists: [listed('a'), listed('a'), listed('a'), listed('a')],
    watches: [{ afterMs: 100, outcome: unchanged }, { afterMs: 2_000, outcome: unchanged }, { afterMs: 2_000, outcome: unchanged }, { afterMs: 2_000, outcome: unchanged }],
    hasEras: true
  })
}

test('an entry that is deleted is gone at once while the service is well', async () => {
  const scene = createScene({ lists: [listed('a', 'b')], watches: [{ afterMs: 10, outcome: deleted('a') }] })
  await scene.run(1_000)
  assert.equal(scene.seen, ['+a,b', '-a'])
  scene.close()
})

// Its revision may have been given out again, so that a watch would miss what came before it.
test('with a new era all is read again, and what the copy lacks is missing until it could be written again', async () => {
  const scene = createScene({
    lists: [listed('a', 'b', 'c'), listed('a', 'b'), writtenAgain('a', 'b', 'c'), writtenAgain('a', 'b', 'c')],
    watches: [{ afterMs: 100, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 100, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }],
    hasEras: true
  })
  await scene.run(50)
  scene.beginEra()
  await scene.run(150)
  assert.equal(scene.seen, ['+a,b,c', '+a,b', '?c', '?a,b'])
  await scene.run(2_700)
  assert.equal(scene.seen, ['+a,b,c', '+a,b', '?c', '?a,b', '+a,b,c'])
  scene.close()
})

test('what an owner wrote before the copy was first read, and not since, is back once the copy has lapsed', async () => {
  const scene = createCopyScene()
  await scene.run(50)
  scene.beginEra()
  await scene.run(3_000)
  assert.is(scene.seen.at(-1), '?a')
  await scene.run(5_500)
  assert.is(scene.seen.at(-1), '+a')
  scene.close()
})

test('with a new era what the copy lists is missing until its owner has written it again', async () => {
  const scene = createScene({
    lists: [listed('a', 'b'), listed('a', 'b'), { type: 'listed', entries: [{ ...entry('a'), revision: 8 }, entry('b')], storeRevision: 9 }],
    watches: [{ afterMs: 100, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }],
    hasEras: true
  })
  await scene.run(50)
  scene.beginEra()
  await scene.run(2_700)
  assert.equal(scene.seen, ['+a,b', '+a,b', '?a,b', '+a,b', '?b'])
  scene.close()
})

test('an entry that lapsed in an outage is kept until it could be back', async () => {
  const scene = createScene({
    lists: [listed('a', 'b'), listed('b'), listed('a', 'b')],
    watches: [{ afterMs: 50, outcome: { type: 'unavailable', detail: 'down' } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }]
  })
  await scene.run(6_000)
  assert.ok(!scene.seen.some((line) => line.startsWith('-')), scene.seen.join(' '))
  assert.equal(scene.seen.slice(0, 3), ['+a,b', 'lost', 'back'])
  scene.close()
})

test('an entry that is missing after an outage is told missing at once and gone when it could be back', async () => {
  const scene = createScene({
    lists: [listed('a', 'b'), listed('b'), listed('b')],
    watches: [{ afterMs: 50, outcome: { type: 'unavailable', detail: 'down' } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }]
  })
  await scene.run(200)
  assert.ok(scene.seen.includes('?a'), scene.seen.join(' '))
  assert.not.ok(scene.seen.includes('-a'), scene.seen.join(' '))
  await scene.run(2_700)
  assert.ok(scene.seen.includes('-a'), scene.seen.join(' '))
  scene.close()
})

test('an entry that is removed shortly after an outage is told missing at once', async () => {
  const scene = createScene({
    lists: [listed('a', 'b'), listed('a', 'b'), listed('b')],
    watches: [{ afterMs: 50, outcome: { type: 'unavailable', detail: 'down' } }, { afterMs: 300, outcome: deleted('a') }]
  })
  await scene.run(600)
  assert.is(scene.seen.at(-1), '?a')
  scene.close()
})

test('an entry that is still missing after an outage is gone', async () => {
  const scene = createScene({
    lists: [listed('a', 'b'), listed('b'), listed('b')],
    watches: [{ afterMs: 50, outcome: { type: 'unavailable', detail: 'down' } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 2_000, outcome: { type: 'unchanged', storeRevision: 6 } }]
  })
  await scene.run(6_000)
  assert.ok(scene.seen.includes('-a'), scene.seen.join(' '))
  scene.close()
})

test('lost history leads to a full read', async () => {
  const scene = createScene({ lists: [listed('a'), listed('b')], watches: [{ afterMs: 10, outcome: { type: 'history_lost' } }] })
  await scene.run(1_000)
  assert.equal(scene.seen, ['+a', '+b', '-a'])
  scene.close()
})

const changed = (key: string): WatchOutcome => ({ type: 'changed', entries: [entry(key)], deletedKeys: [], storeRevision: 6 })

// 68 entries asked 330 times a second before: each change ended a watch of each of them.
test('changes that come one after the other are told together, each within its share of the bound', async () => {
  const watches = Array.from({ length: 200 }, () => ({ afterMs: 5, outcome: changed('a') }))
  const scene = createScene({ lists: [listed('a')], watches })
  await scene.run(14_000)
  const told = scene.seen.length - 1
  assert.ok(told >= 11 && told <= 14, `${told} watches in 14 s of a bound of 4 s`)
  scene.close()
})

test('after changes a connection that goes silent is noticed as soon as without them', async () => {
  const silent = { afterMs: 100_000, outcome: { type: 'unavailable' as const, detail: 'silent' } }
  const asked: Array<{ readonly waitMs: number, readonly slackMs: number }> = []
  const scene = createScene({ lists: [listed('a')], watches: [...['b', 'c', 'd', 'e'].map((key) => ({ afterMs: 5, outcome: changed(key) })), silent], asked })
  await scene.run(4_000)
  const last = asked.at(-1)
  // The pause after the change, the wait and the slack: four fifths of the bound.
  assert.ok(last !== undefined && 1_400 + last.waitMs + last.slackMs <= 3_220, JSON.stringify(asked))
  scene.close()
})

test('what an answer proves is as old as its question', async () => {
  const scene = createScene({ lists: [listed('a')], watches: [{ afterMs: 1_000, outcome: { type: 'unchanged', storeRevision: 6 } }, { afterMs: 300, outcome: deleted('a') }] })
  await scene.run(2_000)
  assert.equal(scene.proven, [0, 4, 1_004])
  scene.close()
})

test('a suspension during a question makes its answer older', async () => {
  const scene = createScene({ lists: [listed('a')], watches: [{ afterMs: 1_000, outcome: { type: 'unchanged', storeRevision: 6 } }] })
  await scene.run(500)
  scene.suspend(7_000)
  await scene.run(1_100)
  assert.equal(scene.proven, [0, 1_004 - 1_000 - 7_000])
  scene.close()
})

test('until what was written last is written again a copy proves nothing', async () => {
  const scene = createCopyScene()
  await scene.run(50)
  scene.beginEra()
  await scene.run(2_400)
  assert.equal(scene.proven.slice(1).filter((atMs) => atMs !== undefined), [])
  await scene.run(3_000)
  assert.ok((scene.proven.at(-1) ?? 0) >= 2_400)
  scene.close()
})

test.run()
