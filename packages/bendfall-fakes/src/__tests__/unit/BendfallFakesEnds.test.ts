import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { withEndsHarness, LARGE_BODY, parseResponses, waitUntil } from './EndsHarness.js'
import type { EndsHarness, RawCaller } from './EndsHarness.js'

// Guards against a truncated response that looks complete to its caller. The entry was forwarding
// a close-delimited stream when its process ended, and the kernel closed the connections of the
// callers gracefully, so the part received until then looked like the complete response. The tests
// end a real process in each way in which it can end by itself; callers on raw sockets distinguish
// a reset from a graceful close.

const RECEIVED_BYTES = 400

/** Number of callers of each large response, some of which are being served when the process is killed. */
const KILLED_CALLS = 30

/** Enough to reveal a single graceful close among several hundred resets. */
const BROKEN_STREAMS = 500
const CONCURRENT_CALLERS = 10

/** Number of 250 KB responses, more than one connection can buffer: the kernel accepted 16 of them. */
const SLOW_CALLS = 40

/** Time after which responses that are sent immediately have arrived. */
const SETTLED_MS = 1_000

/** A process without open requests exits 3.2 s after the signal. */
const LONGER_THAN_IDLE_STOP_MS = 4_000

/** Starts streams in each framing, also with HTTP/1.0, and returns their callers once part of each stream has arrived. */
async function startStreams (scene: EndsHarness): Promise<RawCaller[]> {
  const callers = [
    scene.call([{ path: '/stream/unframed/1' }]),
    scene.call([{ path: '/stream/unframed/2' }]),
    scene.call([{ path: '/stream/chunked/3' }]),
    scene.call([{ path: '/stream/chunked/4', version: '1.0' }]),
    scene.call([{ path: '/stream/unframed/5', version: '1.0' }])
  ]
  await waitUntil(() => callers.every(({ text }) => text().length > RECEIVED_BYTES))
  return callers
}

async function assertNoneLooksComplete (callers: readonly RawCaller[]): Promise<void> {
  for (const caller of callers) {
    const end = await caller.ended
    const [answer, ...others] = parseResponses(caller.text(), end)
    assert.is(answer?.status, 200)
    assert.ok(answer !== undefined && !answer.looksComplete, `${answer?.framing} ${end} ${answer?.body.slice(-40)}`)
    assert.is(others.length, 0)
  }
}

test('streams that outlast the grace period do not look complete', async () => {
  await withEndsHarness({}, async (scene) => {
    const callers = await startStreams(scene)
    scene.process.signal('SIGTERM')
    assert.is(await scene.process.exited, 0)
    await assertNoneLooksComplete(callers)
  })
})

test('streams do not look complete when an uncaught error ends the process', async () => {
  await withEndsHarness({ preload: 'process.on("SIGUSR2",()=>{throw new Error("nobody catches it")})' }, async (scene) => {
    const callers = await startStreams(scene)
    process.kill(scene.process.pid, 'SIGUSR2')
    assert.is(await scene.process.exited, 1)
    await assertNoneLooksComplete(callers)
    assert.ok(scene.process.lines.some((line) => line.includes('event=process_failed') && line.includes('nobody catches it')))
  })
})

test('streams do not look complete when an unhandled rejection ends the process', async () => {
  await withEndsHarness({ preload: 'process.on("SIGUSR2",()=>{Promise.reject(new Error("nobody catches it"))})' }, async (scene) => {
    const callers = await startStreams(scene)
    process.kill(scene.process.pid, 'SIGUSR2')
    assert.is(await scene.process.exited, 1)
    await assertNoneLooksComplete(callers)
  })
})

test('streams do not look complete when the shutdown fails', async () => {
  await withEndsHarness({ preload: 'import{Server}from"node:http";Server.prototype.close=()=>{throw new Error("close")}' }, async (scene) => {
    const callers = await startStreams(scene)
    scene.process.signal('SIGTERM')
    assert.is(await scene.process.exited, 1)
    await assertNoneLooksComplete(callers)
    assert.ok(scene.process.lines.some((line) => line.includes('event=stop_failed')))
  })
})

test('further signals do not end a process that is shutting down', async () => {
  await withEndsHarness({ stopGraceS: 6 }, async (scene) => {
    const late = scene.call([{ path: '/call/1500/late' }])
    await waitUntil(() => scene.reached.length === 1)
    for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGTERM'] as const) {
      if (scene.process.isRunning()) process.kill(scene.process.pid, signal)
      await sleep(100)
    }
    const end = await late.ended
    const [answer] = parseResponses(late.text(), end)
    assert.is(answer?.body, 'answer to /call/1500/late')
    assert.is(answer.looksComplete, true)
    assert.is(await scene.process.exited, 0)
  })
})

// Guards against a truncated response that looks complete because the kernel closes the connections of
// a killed process gracefully. It did where the replica's response had neither a length nor chunks.
test('partial responses in all framings do not look complete when the process is killed', async () => {
  await withEndsHarness({}, async (scene) => {
    const large = ['large', 'unframed'].flatMap((how) => Array.from({ length: KILLED_CALLS }, (_, index) => scene.call([{ path: `/call/${how}/${index}` }])))
    const streams = ['chunked', 'unframed'].map((framing) => scene.call([{ path: `/stream/${framing}/1` }]))
    await waitUntil(() => streams.every((stream) => stream.text().length > RECEIVED_BYTES) && scene.reached.length > KILLED_CALLS)
    scene.process.signal('SIGKILL')
    await assertNoneLooksComplete(streams)
    for (const caller of large) {
      const end = await caller.ended
      const [answer] = parseResponses(caller.text(), end)
      assert.ok(answer === undefined || !answer.looksComplete || answer.body === LARGE_BODY, `${answer?.framing} ${end} ${answer?.body.length}`)
    }
  })
})

test('every caller of a stream that breaks sees a reset', async () => {
  await withEndsHarness({}, async (scene) => {
    const ends = { fin: 0, rst: 0 }
    let next = 0
    const callInTurn = async (): Promise<void> => {
      while (next < BROKEN_STREAMS) {
        const caller = scene.call([{ path: `/stream/broken/${next++}`, version: '1.0' }])
        ends[await caller.ended] += 1
        assert.match(caller.text(), /^HTTP\/1.1 200 OK\r\n/)
      }
    }
    await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, callInTurn))
    assert.equal(ends, { fin: 0, rst: BROKEN_STREAMS })
  })
})

// Responses that were complete in the process were truncated when it ended if their caller read
// slowly: server.close() ends a connection as soon as the last response has been written to it.
test('complete responses that a slow caller has not read yet are delivered before the process ends', async () => {
  await withEndsHarness({ stopGraceS: 16 }, async (scene) => {
    const paths = Array.from({ length: SLOW_CALLS }, (_, index) => ({ path: `/call/large/${index}` }))
    const slow = scene.call(paths, { isReading: false })
    await waitUntil(() => scene.reached.length > 0)
    await sleep(SETTLED_MS)
    scene.process.signal('SIGTERM')
    await sleep(LONGER_THAN_IDLE_STOP_MS)
    slow.socket.resume()
    const end = await slow.ended
    const answers = parseResponses(slow.text(), end)
    assert.is(answers.filter(({ body }) => body === LARGE_BODY).length, SLOW_CALLS)
    assert.is(answers.length, SLOW_CALLS)
    assert.is(await scene.process.exited, 0)
  })
})

test.run()
