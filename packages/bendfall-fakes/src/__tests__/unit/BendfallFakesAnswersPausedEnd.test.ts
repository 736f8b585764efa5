// Guards against an assertion in the HTTP client that ended the process and with it
// every response being forwarded; close-delimited responses looked complete to their
// callers, since the kernel closes open connections gracefully. A caller read more slowly
// than its replica wrote, so reading from the replica was paused; then the replica's
// connection ended. The client asserts there that its parser is not paused
// ("assert(!this.paused)" in Parser.finish), in a socket event whose errors nothing catches.
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { createConnectionPool, startReplicaCall } from 'bendfall-edge'
import type { ReplicaCall } from 'bendfall-edge'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const BODY_BYTES = 200_000
const CLOSE_AFTER_MS = 50
const PAUSE_MS = 150
const TIMEOUT_MS = 3_000
const SETTLE_MS = 50

const HEADS: Readonly<Record<string, string>> = {
  'with a length': `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`,
  'in one chunk': `HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${BODY_BYTES.toString(16)}\r\n`,
  'without a length': 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
}
const LAST_CHUNK = '\r\n0\r\n\r\n'

interface Outcome {
  readonly end: 'end' | 'fail' | 'none'
  readonly bytes: number
  readonly uncaught: readonly string[]
}

/** Calls a replica and pauses reading after each chunk that arrives. */
async function callPaused (response: string, endConnection: (socket: Socket) => void): Promise<Outcome> {
  const uncaught: string[] = []
  const recordError = (error: unknown): void => { uncaught.push(String(error)) }
  process.on('uncaughtException', recordError)
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => socket.write(response, () => setTimeout(() => endConnection(socket), CLOSE_AFTER_MS)))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const pool = createConnectionPool(`127.0.0.1:${(server.address() as AddressInfo).port}`, () => {})
  let bytes = 0
  const ended = new Promise<Outcome['end']>((resolve) => {
    const call: ReplicaCall = startReplicaCall(pool, { method: 'GET', path: '/', headers: [] }, {
      onHead: () => {},
      onChunk: (chunk) => {
        bytes += chunk.length
        call.pause()
        setTimeout(() => call.resume(), PAUSE_MS)
      },
      onEnd: () => resolve('end'),
      onFail: () => resolve('fail')
    })
  })
  const end = await Promise.race([ended, sleep(TIMEOUT_MS, 'none' as const)])
  await sleep(SETTLE_MS)
  process.off('uncaughtException', recordError)
  pool.destroy()
  for (const socket of sockets) socket.destroy()
  server.close()
  return { end, bytes, uncaught }
}

for (const [framing, head] of Object.entries(HEADS)) {
  const complete = `${head}${'x'.repeat(BODY_BYTES)}${framing === 'in one chunk' ? LAST_CHUNK : ''}`

  test(`a complete response ${framing} whose connection is closed while reading is paused arrives completely`, async () => {
    assert.equal(await callPaused(complete, (socket) => socket.end()), { end: 'end', bytes: BODY_BYTES, uncaught: [] })
  })

  test(`a complete response ${framing} whose connection is reset while reading is paused ends without an uncaught error`, async () => {
    const { end, uncaught } = await callPaused(complete, (socket) => socket.resetAndDestroy())
    assert.equal(uncaught, [])
    assert.is.not(end, 'none')
    if (framing === 'without a length') assert.is(end, 'fail')
  })

  test(`a partial response ${framing} whose connection is reset while reading is paused fails`, async () => {
    const partial = `${head}${'x'.repeat(BODY_BYTES / 2)}`
    const { end, uncaught } = await callPaused(partial, (socket) => socket.resetAndDestroy())
    assert.equal({ end, uncaught }, { end: 'fail', uncaught: [] })
  })
}

test.run()
