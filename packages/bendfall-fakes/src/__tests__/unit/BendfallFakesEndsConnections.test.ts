import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { withEndsHarness, parseResponses, waitUntil } from './EndsHarness.js'
import type { EndsHarness } from './EndsHarness.js'

// Guards against wrong or truncated responses caused by bytes that follow a request on its
// connection. The server closed a connection gracefully in the middle of a close-delimited
// response, or refused the following bytes with an error that the caller read as the response
// to its request, although that ran. The tests use a real entry process.

/** Longer than a call's timeout, so that calls are still accepted while the process shuts down. */
const GRACE_S = 16

/** Longer than the timeout for a request head plus the interval at which it is checked. */
const LATE_MS = 2_800

const RECEIVED_BYTES = 100
const CONCURRENT_CALLERS = 10

/** Maximum number of connections that a caller opens one after the other; keeps request names distinct. */
const MAX_ROUNDS = 100_000
const PARTIAL_HEAD = 'GET /call/0/next HTTP/1.1\r\nHost: ends'
const INVALID_HEAD = 'no head\r\n\r\n'

async function withScene (run: (scene: EndsHarness) => Promise<void>): Promise<void> {
  await withEndsHarness({ stopGraceS: GRACE_S }, run)
}

for (const [name, following] of [['a partial head', PARTIAL_HEAD], ['an invalid head', INVALID_HEAD]] as const) {
  test(`a running call that is followed by ${name} gets its own response`, async () => {
    await withScene(async (scene) => {
      const path = `/call/${LATE_MS}/own`
      const caller = scene.call([{ path }])
      await waitUntil(() => scene.reached.length === 1)
      caller.socket.write(following)
      await waitUntil(() => caller.text().length > 0)
      const [answer] = parseResponses(caller.text(), 'fin')
      assert.is(answer?.status, 200)
      assert.is(answer.body, `answer to ${path}`)
      // The following bytes get a response of their own, after that of the call.
      const end = await caller.ended
      assert.ok(parseResponses(caller.text(), end).slice(1).every(({ status }) => status === 400 || status === 408))
    })
  })

  test(`a stream whose request is followed by ${name} does not look complete`, async () => {
    await withScene(async (scene) => {
      for (const version of ['1.0', '1.1'] as const) {
        const caller = scene.call([{ path: '/stream/unframed/1', version }])
        await waitUntil(() => caller.text().length > RECEIVED_BYTES)
        caller.socket.write(following)
        const end = await Promise.race([caller.ended, sleep(LATE_MS, 'open' as const)])
        const [answer] = parseResponses(caller.text(), end === 'open' ? 'rst' : end)
        assert.is(answer?.looksComplete, false)
      }
    })
  })
}

for (const version of ['1.0', '1.1'] as const) {
  test(`a stream is reset when its HTTP/${version} caller half-closes the connection`, async () => {
    await withScene(async (scene) => {
      // The stream is silent at that point: a caller that has half-closed its connection cannot tell a
      // reset that arrives together with bytes from a graceful close.
      const caller = scene.call([{ path: '/stream/quiet/1', version }])
      await waitUntil(() => caller.text().trimEnd().endsWith('data: piece 2'))
      caller.socket.end()
      assert.is(await caller.ended, 'rst')
    })
  })
}

test('all forwarded requests of one connection are answered during a shutdown', async () => {
  await withScene(async (scene) => {
    const caller = scene.call([{ path: '/call/500/a' }, { path: '/call/600/b' }, { path: '/call/700/c' }])
    await waitUntil(() => scene.reached.length > 0)
    scene.process.signal('SIGTERM')
    const end = await caller.ended
    const bodies = parseResponses(caller.text(), end).map(({ body }) => body)
    assert.equal(bodies, scene.reached.map((path) => `answer to ${path}`))
    assert.is(bodies.length, 3)
  })
})

test('a request pipelined behind a response that ends its connection is not forwarded', async () => {
  await withScene(async (scene) => {
    const caller = scene.call([{ path: '/stream/unframed/1' }, { path: '/call/0/behind' }])
    await waitUntil(() => caller.text().length > RECEIVED_BYTES)
    await sleep(100)
    assert.equal(scene.reached, ['/stream/unframed/1'])
  })
})

test('every call forwarded from a keep-alive connection during a shutdown is answered', async () => {
  await withScene(async (scene) => {
    const answered: string[] = []
    const callInTurn = async (name: number): Promise<void> => {
      const caller = scene.call([{ path: `/call/20/${name}-0` }])
      for (let count = 1; !caller.socket.destroyed; count++) {
        await waitUntil(() => caller.socket.destroyed || parseResponses(caller.text(), 'rst').filter(({ looksComplete }) => looksComplete).length === count)
        if (!caller.socket.destroyed) caller.send([{ path: `/call/20/${name}-${count}` }])
      }
      await caller.ended
      for (const { body, looksComplete } of parseResponses(caller.text(), 'rst')) if (looksComplete) answered.push(body)
    }
    const callUntilRefused = async (name: number): Promise<void> => {
      for (let round = 0; scene.process.isRunning(); round++) await callInTurn(name * MAX_ROUNDS + round)
    }
    const calls = Promise.all(Array.from({ length: CONCURRENT_CALLERS }, (_, name) => callUntilRefused(name)))
    await sleep(200)
    for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM'] as const) {
      process.kill(scene.process.pid, signal)
      await sleep(100)
    }
    await calls
    assert.is(await scene.process.exited, 0)
    const bodies = new Set(answered)
    assert.ok(scene.reached.length > CONCURRENT_CALLERS)
    assert.equal(scene.reached.filter((path) => !bodies.has(`answer to ${path}`)), [])
  })
})

test.run()
