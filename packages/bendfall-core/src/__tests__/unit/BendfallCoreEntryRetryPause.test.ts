// On a machine whose processes got no processor for a while, or while all engines of decode stood
// still, a summary was refused in 0.1 to 1.3 s though its target was seconds away: each attempt met the
// same standstill (prefill_lost, transfer_stalled), and there were four of them without a pause. Made to come by
// stopping processes of the cluster at random: a sidecar that stood still for 844 ms began its transfer
// after the result had lapsed, in the fourth attempt, 4 s before the request's target.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EntrySession, LOAD, REQUEST } from '../support/BendfallCoreEntryFixtures.js'

const test = suite('entry, pauses between attempts')

const ARRIVED_MS = 10
const ATTEMPT_MS = 5
const ATTEMPTS = 8

/** Attempts of a request under which engines fail. */
const DECODED_ATTEMPTS = 4

function arrive (seed = 7, firstOutputMs = REQUEST.firstOutputMs): EntrySession {
  const session = new EntrySession()
  session.state = { ...session.state, seed }
  session.ready()
  session.send({ type: 'language_request_arrived', atMs: ARRIVED_MS, request: { ...REQUEST, firstOutputMs } })
  return session
}

/** Takes an attempt to its decode, which finds the result gone. */
function lose (session: EntrySession, attempt: number, atMs: number): void {
  const instanceId = session.decode(attempt, atMs)
  session.send({ type: 'decode_ended', atMs: atMs + ATTEMPT_MS, requestId: 'r1', attempt, instanceId, end: { type: 'failed', reason: 'prefill_lost', kvLost: true } })
}

function retryTimer (session: EntrySession): number | undefined {
  return session.all('set_timer').filter(({ timer }) => timer.kind === 'retry').at(-1)?.atMs
}

/** Loses all attempts, each as soon as it may begin; returns when the last one began. */
function loseAll (session: EntrySession): number {
  let atMs = ARRIVED_MS + 1
  for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
    lose(session, attempt, atMs)
    if (attempt === ATTEMPTS) return atMs
    atMs += ATTEMPT_MS
    if (attempt === 1) continue
    assert.is(session.all('send_reserve').length, attempt, 'the next attempt waits')
    atMs = retryTimer(session) ?? atMs
    session.send({ type: 'timer_fired', atMs, timer: { kind: 'retry', id: 'r1' } })
    assert.is(session.all('send_reserve').length, attempt + 1)
  }
  return atMs
}

test('the second attempt follows at once, the others after longer and longer pauses', () => {
  const session = arrive()
  lose(session, 1, ARRIVED_MS + 1)
  assert.is(session.all('send_reserve').length, 2)
  assert.is(retryTimer(session), undefined)
})

test('attempts that are lost at once outlast a standstill of two seconds', () => {
  for (let seed = 1; seed <= 100; seed++) {
    const session = arrive(seed)
    const lastMs = loseAll(session)
    assert.ok(lastMs - ARRIVED_MS >= 2_000, `seed ${seed}: ${lastMs} ms`)
    assert.equal([session.all('end_request').length, session.last('end_request').end.reason], [1, 'prefill_lost'])
  }
})

test('a request under which engines fail gets four attempts', () => {
  const session = arrive()
  for (let attempt = 1; attempt <= DECODED_ATTEMPTS; attempt++) {
    const instanceId = session.decode(attempt, 100 * attempt)
    session.send({ type: 'decode_ended', atMs: 100 * attempt + ATTEMPT_MS, requestId: 'r1', attempt, instanceId, end: { type: 'failed', reason: 'upstream_failed', kvLost: true } })
    session.send({ type: 'timer_fired', atMs: 100 * attempt + ATTEMPT_MS, timer: { kind: 'retry', id: 'r1' } })
  }
  assert.is(session.last('end_request').end.reason, 'upstream_failed')
})

test('a request is answered once the standstill is over', () => {
  const session = arrive()
  lose(session, 1, ARRIVED_MS + 1)
  lose(session, 2, ARRIVED_MS + 10)
  const atMs = retryTimer(session) ?? 0
  session.send({ type: 'timer_fired', atMs, timer: { kind: 'retry', id: 'r1' } })
  const instanceId = session.decode(3, atMs + 1)
  session.send({ type: 'tokens_arrived', atMs: atMs + 2, requestId: 'r1', attempt: 3, instanceId, index: 0, tokens: ['a'] })
  session.send({ type: 'decode_ended', atMs: atMs + 3, requestId: 'r1', attempt: 3, instanceId, end: { type: 'finished', tokenCount: 1, load: LOAD } })
  assert.is(session.last('end_request').end.outcome, 'answered')
})

test('pauses take a part of the time to the first output only', () => {
  const firstOutputMs = 1_100
  for (let seed = 1; seed <= 100; seed++) {
    const lastMs = loseAll(arrive(seed, firstOutputMs))
    assert.ok(lastMs < ARRIVED_MS + firstOutputMs * 0.9, `seed ${seed}: ${lastMs} ms`)
  }
})

test('requests that failed together do not come back together', () => {
  const times = [1, 2, 3, 4, 5].map((seed) => {
    const session = arrive(seed)
    lose(session, 1, ARRIVED_MS + 1)
    lose(session, 2, ARRIVED_MS + 10)
    return retryTimer(session)
  })
  assert.is(new Set(times).size, times.length)
})

test('a caller that leaves in a pause ends the request, and its timer', () => {
  const session = arrive()
  lose(session, 1, ARRIVED_MS + 1)
  lose(session, 2, ARRIVED_MS + 10)
  session.send({ type: 'caller_left', atMs: 50, requestId: 'r1', reason: 'closed' })
  assert.is(session.last('end_request').end.outcome, 'cancelled')
  assert.ok(session.all('clear_timer').some(({ timer }) => timer.kind === 'retry'))
  session.send({ type: 'timer_fired', atMs: 400, timer: { kind: 'retry', id: 'r1' } })
  assert.is(session.all('send_reserve').length, 2)
})

test('a request whose deadline passes in a pause is refused then', () => {
  const session = arrive()
  lose(session, 1, ARRIVED_MS + 1)
  lose(session, 2, ARRIVED_MS + 10)
  session.send({ type: 'timer_fired', atMs: ARRIVED_MS + REQUEST.firstOutputMs, timer: { kind: 'first_output_deadline', id: 'r1' } })
  assert.is(session.last('end_request').end.reason, 'deadline')
})

test.run()
