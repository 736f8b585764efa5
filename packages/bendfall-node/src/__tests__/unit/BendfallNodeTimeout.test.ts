import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { scheduleTimeout } from '../../runtime/index.js'
import type { Clock } from '../../runtime/index.js'

interface PausableClock extends Clock {
  /** Lets time pass, with timers on time. */
  readonly advance: (ms: number) => void
  /** Lets time pass without timers. */
  readonly pause: (ms: number) => void
}

function createPausableClock (): PausableClock {
  let nowMs = 0
  let timers: Array<{ readonly atMs: number, readonly callback: () => void }> = []

  function runDue (endMs: number): void {
    for (;;) {
      const next = timers.filter(({ atMs }) => atMs <= endMs).sort((one, other) => one.atMs - other.atMs)[0]
      if (next === undefined) return
      timers = timers.filter((timer) => timer !== next)
      nowMs = Math.max(nowMs, next.atMs)
      next.callback()
    }
  }

  return {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    callAt: (atMs, callback) => {
      const timer = { atMs, callback }
      timers.push(timer)
      return () => { timers = timers.filter((other) => other !== timer) }
    },
    advance: (ms) => {
      const endMs = nowMs + ms
      runDue(endMs)
      nowMs = endMs
    },
    pause: (ms) => { nowMs += ms }
  }
}

function startTimeout (timeoutMs: number): { readonly clock: PausableClock, readonly count: () => number, readonly cancel: () => void } {
  const clock = createPausableClock()
  let count = 0
  const cancel = scheduleTimeout(clock, timeoutMs, () => { count += 1 })
  return { clock, count: () => count, cancel }
}

test('without a pause the callback comes once, after the timeout', () => {
  const { clock, count } = startTimeout(300)
  clock.advance(299)
  assert.is(count(), 0)
  clock.advance(1)
  assert.is(count(), 1)
  clock.advance(1_000)
  assert.is(count(), 1)
})

test('a timeout shorter than an interval is kept', () => {
  const { clock, count } = startTimeout(5)
  clock.advance(5)
  assert.is(count(), 1)
})

for (const pausedAfterMs of [0, 100, 290]) {
  test(`a pause of a second that begins after ${pausedAfterMs} ms does not time a call out at once`, () => {
    const { clock, count } = startTimeout(300)
    clock.advance(pausedAfterMs)
    clock.pause(1_000)
    clock.advance(0)
    assert.is(count(), 0)
    clock.advance(74)
    assert.is(count(), 0)
    clock.advance(301)
    assert.is(count(), 1)
  })
}

test('a process whose timers are always late times calls out, too', () => {
  const { clock, count } = startTimeout(300)
  for (let i = 0; i < 8; i++) {
    assert.is(count(), 0)
    clock.pause(95)
    clock.advance(0)
  }
  assert.is(count(), 1)
})

test('a pause extends a long timeout by no more than a tenth of a second', () => {
  const { clock, count } = startTimeout(4_000)
  clock.advance(3_990)
  clock.pause(30)
  clock.advance(99)
  assert.is(count(), 0)
  clock.advance(1)
  assert.is(count(), 1)
})

test('a timeout that is cancelled after a pause does not call back', () => {
  const { cancel, clock, count } = startTimeout(300)
  clock.pause(1_000)
  clock.advance(0)
  cancel()
  clock.advance(2_000)
  assert.is(count(), 0)
})

test.run()
