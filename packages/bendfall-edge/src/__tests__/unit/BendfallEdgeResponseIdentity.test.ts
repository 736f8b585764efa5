// Guards against responses that reach the wrong request. A replica answered a request twice, and
// the duplicate arrived after the next request had been sent on the same connection. The id was
// compared only for runs, and only after `not run` had been accepted; a prefill didn't compare it.
// Nor can the id distinguish two responses to the same request. Before the fix, the prefill below
// returned the handle of the first request, and a request that ran was reported as not run.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { withReplicaHarness } from './ReplicaHarness.js'
import type { ReplicaHarness } from './ReplicaHarness.js'
import { formatResponse } from './ScriptedReplica.js'
import type { ScriptedRequest, ScriptedResponse } from './ScriptedReplica.js'

const IDLE_MS = 40

/** Returns the correct response to a request: a handle or a signed body that contains its id. */
function createResponse ({ headers }: ScriptedRequest): string {
  const id = headers['x-id']
  return headers['x-prefill'] === undefined ? formatResponse({ id, isSigned: true, body: `answer to ${id}` }) : formatResponse({ id, body: `handle-${id}` })
}

/**
 * Responds to the first request with `first`, and repeats that response before the one to the second
 * request if both share a connection.
 */
function withDuplicate (first: (request: ScriptedRequest) => string): (request: ScriptedRequest) => void {
  let duplicate: { readonly bytes: string, readonly connection: number } | undefined
  return (request) => {
    if (request.number === 1) {
      duplicate = { bytes: first(request), connection: request.connection }
      request.socket.write(duplicate.bytes)
      return
    }
    if (request.number === 2 && duplicate?.connection === request.connection) request.socket.write(duplicate.bytes)
    request.socket.write(createResponse(request))
  }
}

const alwaysRespond = (response: ScriptedResponse) => ({ headers, socket }: ScriptedRequest): void => { socket.write(formatResponse({ id: headers['x-id'], ...response })) }
const refusal = ({ headers }: ScriptedRequest): string => formatResponse({ status: 503, id: headers['x-id'], isNotRun: true })
const misdirected = ({ headers }: ScriptedRequest): string => formatResponse({ status: 421, id: headers['x-id'] })
const failureOf = async (end: ReturnType<ReplicaHarness['run']>): Promise<string> => {
  const event = await end
  return event.type === 'run_failed' ? event.failure : `answered ${event.status}`
}

test('a prefill does not accept the handle of another request', async () => {
  await withReplicaHarness(withDuplicate(createResponse), async ({ invalidResponses, prefill }) => {
    assert.equal((await prefill('a')).outcome, { type: 'read', handle: 'handle-a' })
    await sleep(IDLE_MS)
    assert.equal((await prefill('b')).outcome, { type: 'failed', failure: 'unknown' })
    assert.equal(invalidResponses, ['answer to another request: a'])
  })
})

for (const [what, first] of [['refusal', refusal], ['wrong-replica response', misdirected]] as const) {
  test(`a prefill does not accept a ${what} to another request`, async () => {
    await withReplicaHarness(withDuplicate(first), async ({ prefill }) => {
      await prefill('a')
      await sleep(IDLE_MS)
      assert.equal((await prefill('b')).outcome, { type: 'failed', failure: 'unknown' })
    })
  })

  test(`a run does not accept a ${what} to another request: its outcome is unknown`, async () => {
    await withReplicaHarness(withDuplicate(first), async ({ prefill, run }) => {
      // A refused prefill leaves its connection open; that of a refused run is closed.
      await prefill('a')
      await sleep(IDLE_MS)
      assert.is(await failureOf(run('b')), 'unknown')
    })
  })
}

for (const [what, response] of [
  ['prefill result', { id: undefined, body: 'handle' }],
  ['refusal', { id: undefined, status: 503, isNotRun: true }],
  ['wrong-replica response', { id: undefined, status: 421 }],
  ['failure', { id: undefined, status: 500, isSigned: true }]
] as const) {
  test(`a ${what} without a request id is rejected`, async () => {
    await withReplicaHarness(alwaysRespond(response), async ({ invalidResponses, prefill, run }) => {
      assert.equal((await prefill('a')).outcome, { type: 'failed', failure: 'unknown' })
      assert.is(await failureOf(run('b')), 'unknown')
      assert.equal(invalidResponses, ['answer without a request id', 'answer without a request id'])
    })
  })
}

test('a refusal and a wrong-replica response with the id of the request are accepted', async () => {
  await withReplicaHarness((request) => request.socket.write(request.number % 2 === 1 ? refusal(request) : misdirected(request)), async ({ prefill, run }) => {
    assert.is(await failureOf(run('a')), 'not_run')
    assert.is(await failureOf(run('b')), 'wrong_replica')
    assert.equal((await prefill('c')).outcome, { type: 'failed', failure: 'not_run' })
    assert.equal((await prefill('d')).outcome, { type: 'failed', failure: 'wrong_replica' })
  })
})

test('a connection is closed after a response to another request', async () => {
  await withReplicaHarness(withDuplicate(createResponse), async ({ prefill, replica }) => {
    await prefill('a')
    await sleep(IDLE_MS)
    await prefill('b')
    await sleep(IDLE_MS)
    assert.is(replica.open(), 0)
    assert.equal((await prefill('c')).outcome, { type: 'read', handle: 'handle-c' })
  })
})

test('a request is not sent over a connection that carried its prefill', async () => {
  await withReplicaHarness(withDuplicate(createResponse), async ({ delivered, prefill, replica, run }) => {
    await prefill('a')
    await sleep(IDLE_MS)
    assert.is((await run('a', 2)).type, 'answer_complete')
    assert.is(delivered.get('a')?.body.toString(), 'answer to a')
    assert.equal(replica.requests.map(({ connection }) => connection), [1, 2])
  })
})

test('a refused prefill is not retried over the same connection', async () => {
  await withReplicaHarness(withDuplicate(refusal), async ({ prefill }) => {
    assert.equal((await prefill('a')).outcome, { type: 'failed', failure: 'not_run' })
    await sleep(IDLE_MS)
    assert.equal((await prefill('a', 2)).outcome, { type: 'read', handle: 'handle-a' })
  })
})

test('a run that failed is not retried over the same connection', async () => {
  const failure = ({ headers }: ScriptedRequest): string => formatResponse({ status: 500, id: headers['x-id'], isSigned: true, body: 'failed' })
  await withReplicaHarness(withDuplicate(failure), async ({ delivered, run }) => {
    await run('a')
    await sleep(IDLE_MS)
    await run('a', 2)
    assert.is(delivered.get('a')?.body.toString(), 'answer to a')
  })
})

test('requests with different ids share a connection', async () => {
  await withReplicaHarness((request) => request.socket.write(createResponse(request)), async ({ prefill, replica, run }) => {
    for (const id of ['a', 'b', 'c']) {
      await prefill(`${id}1`)
      await sleep(IDLE_MS)
      await run(`${id}2`)
      await sleep(IDLE_MS)
    }
    assert.is(replica.connections(), 1)
  })
})

const UNSOLICITED: ReadonlyArray<readonly [string, string]> = [
  ['a complete response', formatResponse({ id: 'a', isSigned: true, body: 'answer to a' })],
  ['the beginning of a response', 'HTTP/1.1 20'],
  ['bytes that are not a response', 'what is this']
]
for (const [what, bytes] of UNSOLICITED) {
  for (const [when, delayMs] of [['in the same segment as a response', 0], ['on an idle connection', 10]] as const) {
    test(`a connection is not reused after unsolicited data: ${what} ${when}`, async () => {
      const respond = (request: ScriptedRequest): void => {
        const response = createResponse(request)
        if (delayMs === 0) request.socket.write(response + bytes)
        else request.socket.write(response, () => { setTimeout(() => request.socket.write(bytes), delayMs) })
      }
      await withReplicaHarness(respond, async ({ replica, run }) => {
        assert.is(await failureOf(run('a')), 'answered 200')
        await sleep(IDLE_MS)
        assert.is(await failureOf(run('b')), 'answered 200')
        assert.equal(replica.requests.map(({ connection }) => connection), [1, 2])
      })
    })
  }
}

test('a connection is not reused after an empty line arrived while it was idle', async () => {
  const respond = (request: ScriptedRequest): void => {
    request.socket.write(createResponse(request), () => { setTimeout(() => request.socket.write('\r\n'), IDLE_MS / 4) })
  }
  await withReplicaHarness(respond, async ({ replica, run }) => {
    await run('a')
    await sleep(IDLE_MS)
    await run('b')
    assert.equal(replica.requests.map(({ connection }) => connection), [1, 2])
  })
})

// The parser skips an empty line, which can't be mistaken for a response.
test('an empty line in the same segment as a response does not affect the next response', async () => {
  await withReplicaHarness((request) => request.socket.write(`${createResponse(request)}\r\n`), async ({ delivered, run }) => {
    await run('a')
    await sleep(IDLE_MS)
    await run('b')
    assert.is(delivered.get('b')?.body.toString(), 'answer to b')
  })
})

test('a connection carries no more requests than the ids that it stores', async () => {
  await withReplicaHarness((request) => request.socket.write(createResponse(request)), async ({ prefill, replica }) => {
    for (let i = 0; i < 300; i++) {
      await prefill(`r${i}`)
      await new Promise(setImmediate)
    }
    assert.ok(replica.connections() >= 2)
    for (let i = 1; i <= replica.connections(); i++) assert.ok(replica.requests.filter(({ connection }) => connection === i).length <= 256)
  })
})

test.run()
