// A caller got an answer that was not its own: the replica had answered an earlier
// request twice, and the second answer came after the next request was on the same
// connection. The id was compared for runs only, and after `not run` was believed; a
// prefill took the handle of another request. The id also can't tell two answers to
// the same request apart. Evidence: before the mend the prefill below gave the handle
// of the first request, and a request that ran was reported as not run.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { beforeReplica } from './ReplicaScene.js'
import type { ReplicaScene } from './ReplicaScene.js'
import { answerOf } from './ScriptedReplica.js'
import type { ScriptedAnswer, ScriptedRequest } from './ScriptedReplica.js'

const IDLE_MS = 40

/** Answer to the request itself: a handle or a signed body, both named after it. */
function ownAnswer ({ headers }: ScriptedRequest): string {
  const id = headers['x-id']
  return headers['x-prefill'] === undefined ? answerOf({ id, isSigned: true, body: `answer to ${id}` }) : answerOf({ id, body: `handle-${id}` })
}

/** Answers the first request with `first`, and sends that again before the answer to the second one if both share a connection. */
function withDouble (first: (request: ScriptedRequest) => string): (request: ScriptedRequest) => void {
  let double: { readonly bytes: string, readonly connection: number } | undefined
  return (request) => {
    if (request.number === 1) {
      double = { bytes: first(request), connection: request.connection }
      request.socket.write(double.bytes)
      return
    }
    if (request.number === 2 && double?.connection === request.connection) request.socket.write(double.bytes)
    request.socket.write(ownAnswer(request))
  }
}

const always = (answer: ScriptedAnswer) => ({ headers, socket }: ScriptedRequest): void => { socket.write(answerOf({ id: headers['x-id'], ...answer })) }
const refusal = ({ headers }: ScriptedRequest): string => answerOf({ status: 503, id: headers['x-id'], isNotRun: true })
const misdirected = ({ headers }: ScriptedRequest): string => answerOf({ status: 421, id: headers['x-id'] })
const failureOf = async (end: ReturnType<ReplicaScene['run']>): Promise<string> => {
  const event = await end
  return event.type === 'run_failed' ? event.failure : `answered ${event.status}`
}

test('a prefill does not take the handle of another request', async () => {
  await beforeReplica(withDouble(ownAnswer), async ({ garbled, prefill }) => {
    assert.equal((await prefill('a')).outcome, { type: 'read', handle: 'handle-a' })
    await sleep(IDLE_MS)
    assert.equal((await prefill('b')).outcome, { type: 'failed', failure: 'unknown' })
    assert.equal(garbled, ['answer to another request: a'])
  })
})

for (const [what, first] of [['refusal', refusal], ['answer of a wrong replica', misdirected]] as const) {
  test(`a prefill does not take the ${what} to another request`, async () => {
    await beforeReplica(withDouble(first), async ({ prefill }) => {
      await prefill('a')
      await sleep(IDLE_MS)
      assert.equal((await prefill('b')).outcome, { type: 'failed', failure: 'unknown' })
    })
  })

  test(`a run does not take the ${what} to another request: it may be running`, async () => {
    await beforeReplica(withDouble(first), async ({ prefill, run }) => {
      // The connection of a run that was refused is closed; that of a prefill stays.
      await prefill('a')
      await sleep(IDLE_MS)
      assert.is(await failureOf(run('b')), 'unknown')
    })
  })
}

for (const [what, answer] of [
  ['result of a prefill', { id: undefined, body: 'handle' }],
  ['refusal', { id: undefined, status: 503, isNotRun: true }],
  ['answer of a wrong replica', { id: undefined, status: 421 }],
  ['failure', { id: undefined, status: 500, isSigned: true }]
] as const) {
  test(`a ${what} that names no request is not believed`, async () => {
    await beforeReplica(always(answer), async ({ garbled, prefill, run }) => {
      assert.equal((await prefill('a')).outcome, { type: 'failed', failure: 'unknown' })
      assert.is(await failureOf(run('b')), 'unknown')
      assert.equal(garbled, ['answer without a request id', 'answer without a request id'])
    })
  })
}

test('a refusal and an answer of a wrong replica are believed when they name the request', async () => {
  await beforeReplica((request) => request.socket.write(request.number % 2 === 1 ? refusal(request) : misdirected(request)), async ({ prefill, run }) => {
    assert.is(await failureOf(run('a')), 'not_run')
    assert.is(await failureOf(run('b')), 'wrong_replica')
    assert.equal((await prefill('c')).outcome, { type: 'failed', failure: 'not_run' })
    assert.equal((await prefill('d')).outcome, { type: 'failed', failure: 'wrong_replica' })
  })
})

test('a connection on which the answer to another request came is closed', async () => {
  await beforeReplica(withDouble(ownAnswer), async ({ prefill, replica }) => {
    await prefill('a')
    await sleep(IDLE_MS)
    await prefill('b')
    await sleep(IDLE_MS)
    assert.is(replica.open(), 0)
    assert.equal((await prefill('c')).outcome, { type: 'read', handle: 'handle-c' })
  })
})

test('a request is not sent over a connection that carried its prefill', async () => {
  await beforeReplica(withDouble(ownAnswer), async ({ delivered, prefill, replica, run }) => {
    await prefill('a')
    await sleep(IDLE_MS)
    assert.is((await run('a', 2)).type, 'answer_complete')
    assert.is(delivered.get('a')?.body.toString(), 'answer to a')
    assert.equal(replica.requests.map(({ connection }) => connection), [1, 2])
  })
})

test('a prefill that was refused is not sent again over the same connection', async () => {
  await beforeReplica(withDouble(refusal), async ({ prefill }) => {
    assert.equal((await prefill('a')).outcome, { type: 'failed', failure: 'not_run' })
    await sleep(IDLE_MS)
    assert.equal((await prefill('a', 2)).outcome, { type: 'read', handle: 'handle-a' })
  })
})

test('a run that was answered with a failure is not sent again over the same connection', async () => {
  const failure = ({ headers }: ScriptedRequest): string => answerOf({ status: 500, id: headers['x-id'], isSigned: true, body: 'failed' })
  await beforeReplica(withDouble(failure), async ({ delivered, run }) => {
    await run('a')
    await sleep(IDLE_MS)
    await run('a', 2)
    assert.is(delivered.get('a')?.body.toString(), 'answer to a')
  })
})

test('requests of different ids share a connection', async () => {
  await beforeReplica((request) => request.socket.write(ownAnswer(request)), async ({ prefill, replica, run }) => {
    for (const id of ['a', 'b', 'c']) {
      await prefill(`${id}1`)
      await sleep(IDLE_MS)
      await run(`${id}2`)
      await sleep(IDLE_MS)
    }
    assert.is(replica.connections(), 1)
  })
})

const UNASKED: ReadonlyArray<readonly [string, string]> = [
  ['a whole answer', answerOf({ id: 'a', isSigned: true, body: 'answer to a' })],
  ['the beginning of an answer', 'HTTP/1.1 20'],
  ['bytes that are no answer', 'what is this']
]
for (const [what, bytes] of UNASKED) {
  for (const [when, delayMs] of [['in the same segment as an answer', 0], ['on an idle connection', 10]] as const) {
    test(`a connection is not used again after ${what} came unasked ${when}`, async () => {
      const answer = (request: ScriptedRequest): void => {
        const own = ownAnswer(request)
        if (delayMs === 0) request.socket.write(own + bytes)
        else request.socket.write(own, () => { setTimeout(() => request.socket.write(bytes), delayMs) })
      }
      await beforeReplica(answer, async ({ replica, run }) => {
        assert.is(await failureOf(run('a')), 'answered 200')
        await sleep(IDLE_MS)
        assert.is(await failureOf(run('b')), 'answered 200')
        assert.equal(replica.requests.map(({ connection }) => connection), [1, 2])
      })
    })
  }
}

test('a connection is not used again after an empty line came while it was idle', async () => {
  const answer = (request: ScriptedRequest): void => {
    request.socket.write(ownAnswer(request), () => { setTimeout(() => request.socket.write('\r\n'), IDLE_MS / 4) })
  }
  await beforeReplica(answer, async ({ replica, run }) => {
    await run('a')
    await sleep(IDLE_MS)
    await run('b')
    assert.equal(replica.requests.map(({ connection }) => connection), [1, 2])
  })
})

// The parser passes over it, and it can be taken for no answer.
test('an empty line in the same segment as an answer leaves the next answer as it is', async () => {
  await beforeReplica((request) => request.socket.write(`${ownAnswer(request)}\r\n`), async ({ delivered, run }) => {
    await run('a')
    await sleep(IDLE_MS)
    await run('b')
    assert.is(delivered.get('b')?.body.toString(), 'answer to b')
  })
})

test('a connection carries no more requests than it remembers', async () => {
  await beforeReplica((request) => request.socket.write(ownAnswer(request)), async ({ prefill, replica }) => {
    for (let i = 0; i < 300; i++) {
      await prefill(`r${i}`)
      await new Promise(setImmediate)
    }
    assert.ok(replica.connections() >= 2)
    for (let i = 1; i <= replica.connections(); i++) assert.ok(replica.requests.filter(({ connection }) => connection === i).length <= 256)
  })
})

test.run()
