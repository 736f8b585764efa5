import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { arrived, LOAD } from '../support/BendfallCoreEntryFixtures.js'
import type { EntrySession } from '../support/BendfallCoreEntryFixtures.js'

const test = suite('entry, stalled transfers')

function stalled (): EntrySession {
  const session = arrived()
  const instanceId = session.decode(1, 20)
  session.send({ type: 'decode_ended', atMs: 500, requestId: 'r1', attempt: 1, instanceId, end: { type: 'failed', reason: 'transfer_stalled', kvLost: false } })
  return session
}

function refuse (session: EntrySession, atMs: number): void {
  const { instanceId } = session.last('send_reserve')
  session.send({ type: 'reserve_replied', atMs, requestId: 'r1', attempt: 2, instanceId, reply: { type: 'refused', reason: 'capacity', retryAfterMs: 900, load: LOAD } })
}

function grant (session: EntrySession, atMs: number): void {
  const { instanceId } = session.last('send_reserve')
  session.send({ type: 'reserve_replied', atMs, requestId: 'r1', attempt: 2, instanceId, reply: { type: 'granted', readyInMs: 0, leaseMs: 5000, fencingToken: 2, load: LOAD } })
}

test('after a stalled transfer the prefill result is fetched again, where its memory becomes free or elsewhere', () => {
  const session = stalled()
  const [first] = session.all('send_reserve')
  assert.is(session.last('send_reserve').instanceId, first.instanceId)
  refuse(session, 505)
  const { instanceId, ask } = session.last('send_reserve')
  assert.not(instanceId === first.instanceId)
  assert.ok(ask.maxReadyInMs <= 800, 'of use only while the result lives')
  grant(session, 510)
  assert.is(session.all('send_prefill').length, 1)
  const resent = session.last('send_decode')
  assert.equal([resent.instanceId, resent.ask.handle, resent.ask.attempt], [instanceId, 'k', 2])
})

test('a result that no replica can fetch in time is made again', () => {
  const session = stalled()
  refuse(session, 505)
  refuse(session, 510)
  assert.ok(session.last('send_reserve').ask.maxReadyInMs > 800)
  grant(session, 515)
  assert.is(session.all('send_prefill').length, 2)
})

// A decode engine that stands still takes no byte of a result, and a result lapses 800 ms after
// it was made. After each stalled transfer the entry believed that the result lives for another
// 800 ms, as if its replica had kept it for the transfer: it had it fetched again at each retry,
// until the fourth attempt was refused with prefill_lost. The time line showed it: three
// `transfer_ended result=transfer_stalled transferredBytes=0`, then one
// `result=prefill_lost detail="source holds no cache"` 1.0 s after the only `prefill_ended`.
const MADE_AT_MS = 20
const RESULT_LIFE_MS = 800

function stall (session: EntrySession, attempt: number, atMs: number): void {
  const { instanceId } = session.last('send_decode')
  session.send({ type: 'decode_ended', atMs, requestId: 'r1', attempt, instanceId, end: { type: 'failed', reason: 'transfer_stalled', kvLost: false } })
  // The later attempts wait first; what is believed of a result does not depend on for how long.
  session.send({ type: 'timer_fired', atMs, timer: { kind: 'retry', id: 'r1' } })
}

function grantAttempt (session: EntrySession, attempt: number, atMs: number): void {
  const { instanceId } = session.last('send_reserve')
  session.send({ type: 'reserve_replied', atMs, requestId: 'r1', attempt, instanceId, reply: { type: 'granted', readyInMs: 0, leaseMs: 5000, fencingToken: attempt, load: LOAD } })
}

test('a result whose transfer stalled lives no longer than from when it was made', () => {
  for (let stalledAtMs = MADE_AT_MS + 1; stalledAtMs <= MADE_AT_MS + 2 * RESULT_LIFE_MS; stalledAtMs += 13) {
    const session = arrived()
    session.decode(1, MADE_AT_MS)
    stall(session, 1, stalledAtMs)
    grantAttempt(session, 2, stalledAtMs + 1)
    const isGone = stalledAtMs + 1 >= MADE_AT_MS + RESULT_LIFE_MS
    if (isGone) assert.is(session.all('send_prefill').length, 2, `made anew when it stalled at ${stalledAtMs} ms`)
    const isFetched = session.all('send_prefill').length === 1
    if (isFetched) assert.ok(stalledAtMs + 1 < MADE_AT_MS + RESULT_LIFE_MS)
    assert.is(isFetched, session.all('send_decode').length === 2)
  }
})

test('four attempts in a second at engines that stand still: the last one has the prompt read anew', () => {
  const session = arrived()
  session.decode(1, MADE_AT_MS)
  for (const attempt of [1, 2, 3]) {
    const atMs = MADE_AT_MS + attempt * 310
    stall(session, attempt, atMs)
    grantAttempt(session, attempt + 1, atMs + 5)
  }
  assert.is(session.all('send_prefill').length, 2)
  assert.is(session.all('end_request').length, 0)
})

test('a result of which a byte was fetched lives on from the end of its transfer', () => {
  const session = arrived()
  const instanceId = session.decode(1, MADE_AT_MS)
  session.send({ type: 'transfer_progressed', atMs: 400, requestId: 'r1', attempt: 1, instanceId, transferredBytes: 1 })
  stall(session, 1, 790)
  grantAttempt(session, 2, 1_500)
  assert.is(session.all('send_prefill').length, 1)
  assert.is(session.last('send_decode').ask.handle, 'k')
  stall(session, 2, 1_505)
  grantAttempt(session, 3, 1_600)
  assert.is(session.all('send_prefill').length, 2, 'the second transfer brought no byte')
})

test('progress of another attempt or replica tells nothing', () => {
  for (const { attempt, instanceId } of [{ attempt: 2, instanceId: '' }, { attempt: 1, instanceId: 'elsewhere' }]) {
    const session = arrived()
    const decodeId = session.decode(1, MADE_AT_MS)
    session.send({ type: 'transfer_progressed', atMs: 400, requestId: 'r1', attempt, instanceId: instanceId || decodeId, transferredBytes: 1 })
    stall(session, 1, 790)
    grantAttempt(session, 2, 1_500)
    assert.is(session.all('send_prefill').length, 2)
  }
})

// A transfer whose bytes had all come stalled with its engine at 342 ms, and the result was
// believed to live until 1,142 ms; its replica let it go 800 ms after it was made.
test('the last attempt relies on what the replica promised only', () => {
  const session = arrived()
  const instanceId = session.decode(1, MADE_AT_MS)
  session.send({ type: 'transfer_progressed', atMs: 30, requestId: 'r1', attempt: 1, instanceId, transferredBytes: 100_000 })
  for (const [attempt, atMs] of [[1, 342], [2, 660], [3, 980]]) {
    stall(session, attempt, atMs)
    grantAttempt(session, attempt + 1, atMs + 5)
  }
  assert.is(session.all('send_prefill').length, 2)
  assert.is(session.last('send_prefill').ask.attempt, 4)
})

test('the last attempt, granted when the promise has just ended, has the prompt read anew', () => {
  const session = arrived()
  const instanceId = session.decode(1, MADE_AT_MS)
  session.send({ type: 'transfer_progressed', atMs: 30, requestId: 'r1', attempt: 1, instanceId, transferredBytes: 100_000 })
  for (const [attempt, atMs] of [[1, 342], [2, 600], [3, MADE_AT_MS + RESULT_LIFE_MS - 10]]) {
    stall(session, attempt, atMs)
    grantAttempt(session, attempt + 1, atMs + 15)
  }
  assert.is(session.all('send_prefill').length, 2)
})

test.run()
