import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Ok } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRequestMemory } from '../../caller/BendfallEdgeRequestMemory.js'
import { createCallerServer } from '../../caller/BendfallEdgeServer.js'

// Guards against an entry that holds the bodies of callers without a bound, so that it is killed for its memory.

const BOUND_BYTES = 1_000_000
const LARGE_BYTES = 400_000
const STALL_MS = 1_200
const SETTLE_MS = 150

test('large requests leave room for small ones', () => {
  const memory = createRequestMemory(BOUND_BYTES)
  assert.ok(memory.reserve(LARGE_BYTES))
  assert.is(memory.reserve(LARGE_BYTES), undefined)
  assert.ok(memory.reserve(1_000))
})

test('a request larger than the share of large ones is admitted alone', () => {
  const memory = createRequestMemory(BOUND_BYTES)
  const first = memory.reserve(2 * BOUND_BYTES)
  assert.ok(first)
  assert.is(memory.reserve(LARGE_BYTES), undefined)
  first.release()
  first.release()
  assert.is(memory.reservedBytes(), 0)
  assert.ok(memory.reserve(LARGE_BYTES))
})

interface ServerScene {
  readonly reservedBytes: () => number
  /** Sends the head of a request and a part of its body. */
  readonly send: (framing: string, body: string) => { readonly socket: Socket, readonly status: () => string }
}

async function withServer (run: (scene: ServerScene) => Promise<void>): Promise<void> {
  const memory = createRequestMemory(BOUND_BYTES)
  const { server } = createCallerServer({
    dialect: { readyPath: '/ready', readRequest: () => Ok({ requestId: 'a', forwardHeaders: [] }) },
    limits: () => ({ headerBytes: 16_384, bodyBytes: LARGE_BYTES, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }),
    isStopping: () => false,
    memory,
    onRejected: () => {},
    onRequest: ({ response }) => response.writeHead(200, { 'content-length': 0 }).end()
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  try {
    await run({
      reservedBytes: memory.reservedBytes,
      send: (framing, body) => {
        const socket = connect(port, '127.0.0.1')
        let text = ''
        socket.on('error', () => {})
        socket.on('data', (bytes: Buffer) => { text += bytes.toString('latin1') })
        socket.write(`POST / HTTP/1.1\r\nHost: a\r\n${framing}\r\n\r\n${body}`)
        return { socket, status: () => text.slice(9, 12) }
      }
    })
  } finally {
    server.close()
    server.closeAllConnections()
  }
}

const LARGE = `Content-Length: ${LARGE_BYTES}`
const CHUNKED = 'Transfer-Encoding: chunked'
const CHUNK = `10000\r\n${'x'.repeat(65_536)}\r\n`

test('a body without room is refused at its head, and its connection serves the next request', () => withServer(async ({ send }) => {
  send(LARGE, '')
  await sleep(SETTLE_MS)
  const refused = send(LARGE, 'x')
  await sleep(SETTLE_MS)
  assert.is(refused.status(), '503')
  let next = ''
  refused.socket.on('data', (bytes: Buffer) => { next += bytes.toString('latin1') })
  refused.socket.write(`${'x'.repeat(LARGE_BYTES - 1)}GET / HTTP/1.1\r\nHost: a\r\n\r\n`)
  await sleep(SETTLE_MS)
  assert.match(next, /^HTTP\/1.1 200/)
}))

test('a body in chunks is refused once there is no room for more of it', () => withServer(async ({ reservedBytes, send }) => {
  send(LARGE, '')
  await sleep(SETTLE_MS)
  const before = reservedBytes()
  const refused = send(CHUNKED, CHUNK.repeat(6))
  await sleep(SETTLE_MS)
  assert.is(refused.status(), '503')
  assert.is(reservedBytes(), before)
}))

test('a stalled body makes room for another one', () => withServer(async ({ send }) => {
  for (const [framing, body] of [[LARGE, 'x'.repeat(LARGE_BYTES - 1)], [CHUNKED, CHUNK.repeat(6)]] as const) {
    const stalled = send(framing, body)
    await sleep(STALL_MS)
    const next = send(LARGE, 'x'.repeat(LARGE_BYTES))
    await sleep(SETTLE_MS)
    assert.is(stalled.status(), '408')
    assert.is(next.status(), '200')
  }
}))

test('the memory of requests whose connections end is released, also of queued ones', () => withServer(async ({ reservedBytes, send }) => {
  const { socket } = send(LARGE, `${'x'.repeat(10)}`)
  const queued = send(LARGE, 'x'.repeat(LARGE_BYTES) + `POST / HTTP/1.1\r\nHost: a\r\n${LARGE}\r\n\r\n`.repeat(2))
  await sleep(SETTLE_MS)
  assert.ok(reservedBytes() > LARGE_BYTES)
  socket.destroy()
  queued.socket.destroy()
  await sleep(SETTLE_MS)
  assert.is(reservedBytes(), 0)
}))

test('requests on a connection that is kept open leave neither listeners nor reservations', () => withServer(async ({ reservedBytes, send }) => {
  const warnings: Error[] = []
  const onWarning = (warning: Error): void => { warnings.push(warning) }
  process.on('warning', onWarning)
  const { socket } = send('Content-Length: 1', 'x')
  for (let count = 0; count < 20; count++) {
    await sleep(SETTLE_MS / 5)
    socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx')
  }
  await sleep(SETTLE_MS)
  process.removeListener('warning', onWarning)
  assert.equal(warnings, [])
  assert.is(reservedBytes(), 0)
}))

test.run()
