import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpExchanger } from '../../BendfallPlatformHttp.js'
import type { HttpExchanger, HttpOptions } from '../../BendfallPlatformHttp.js'
import { createSendOnce } from '../../BendfallPlatformHttpSendOnce.js'

const OK_ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: keep-alive\r\n\r\nok'
const GET = { method: 'GET', path: '/', timeoutMs: 5_000 }

/** undici returns a connection to its pool one event loop turn after the end of the response. */
const becomesIdle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

interface Peer {
  readonly http: HttpExchanger
  /** Number of requests read from all connections. */
  readonly requests: () => number
  readonly sockets: readonly Socket[]
}

/** Runs against a bare TCP server whose handler receives the number of each request. */
async function withPeer (onRequest: (socket: Socket, requestNumber: number) => void, run: (peer: Peer) => Promise<void>, options: Partial<HttpOptions> = {}): Promise<void> {
  const sockets: Socket[] = []
  let requests = 0
  const server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', () => {
      requests += 1
      onRequest(socket, requests)
    })
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const http = createHttpExchanger({ ...options, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}` })
  try {
    await run({ http, requests: () => requests, sockets })
  } finally {
    await http.close()
    for (const socket of sockets) socket.destroy()
    server.close()
  }
}

for (const method of ['GET', 'PUT', 'POST']) {
  test(`a ${method} is not sent again if its kept connection breaks`, () => withPeer((socket, requestNumber) => {
    if (requestNumber === 1) socket.write(OK_ANSWER)
    else socket.destroy()
  }, async ({ http, requests, sockets }) => {
    assert.is((await http.send(GET)).isOk(), true)
    await becomesIdle()
    const response = await http.send({ ...GET, method })
    assert.is(response.isErr() && response.error.reached, true)
    assert.equal([requests(), sockets.length], [2, 1])
  }))
}

// Guards against invalid statuses that are taken for those of the server, or that fail an assertion of the HTTP client.
for (const status of ['000', '099', '101', '600', '999']) {
  test(`a response with the status ${status} fails its call, and the next one succeeds`, () => withPeer((socket, requestNumber) => {
    socket.write(requestNumber === 1 ? OK_ANSWER.replace('200', status) : OK_ANSWER)
  }, async ({ http }) => {
    const response = await http.send(GET)
    assert.equal(response.isErr() && response.error, { kind: 'broken', reached: true, detail: `invalid response status ${status}` })
    assert.is((await http.send(GET)).isOk(), true)
  }))
}

test('the response after informational ones is final', () => withPeer((socket) => {
  socket.write(`HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n${OK_ANSWER}`)
}, async ({ http }) => {
  const response = await http.send(GET)
  assert.is(response.isOk() && response.value.status, 200)
}))

test('a request whose connection is reset before the response is not retried', () => withPeer((socket) => socket.resetAndDestroy(), async ({ http, requests }) => {
  const response = await http.send({ ...GET, method: 'POST', body: 'x' })
  assert.is(response.isErr() && response.error.reached, true)
  assert.is(requests(), 1)
}))

test('a kept connection that the server closes while idle is replaced', () => withPeer((socket) => socket.write(OK_ANSWER), async ({ http, sockets }) => {
  await http.send(GET)
  await becomesIdle()
  const [first] = sockets as [Socket]
  first.end()
  await once(first, 'close')
  assert.is((await http.send(GET)).isOk(), true)
  assert.is(sockets.length, 2)
}))

test('fresh connections are not kept', () => withPeer((socket) => socket.write(OK_ANSWER), async ({ http, sockets }) => {
  await http.send({ ...GET, freshConnection: true })
  await becomesIdle()
  await http.send({ ...GET, freshConnection: true })
  assert.is(sockets.length, 2)
}))

test('a call to a server that does not respond times out', () => withPeer(() => {}, async ({ http }) => {
  const response = await http.send({ ...GET, timeoutMs: 30 })
  assert.is(response.isErr() && response.error.kind, 'timeout')
}))

test('after a timeout, no kept connection is used again', () => withPeer((socket, requestNumber) => {
  // Two connections are kept; the third request gets no response.
  if (requestNumber !== 3) setTimeout(() => socket.write(OK_ANSWER), 20)
}, async ({ http, sockets }) => {
  await Promise.all([http.send(GET), http.send(GET)])
  await becomesIdle()
  const kept = [...sockets]
  assert.is(kept.length, 2)
  assert.ok((await http.send({ ...GET, timeoutMs: 60 })).isErr())
  for (const socket of kept) socket.removeAllListeners('data')
  assert.ok((await http.send({ ...GET, timeoutMs: 500 })).isOk())
  assert.ok(sockets.length > kept.length)
}, { reconnectsAfterTimeout: true }))

test('lines are passed on whole, however they are split into chunks', () => withPeer((socket) => {
  socket.write('HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\na\u00e9')
  setImmediate(() => socket.write('b\nc\nd'))
}, async ({ http }) => {
  const lines: string[] = []
  const end = await http.sendForLines(GET, (line) => lines.push(line))
  assert.is(end.unwrapOr(0), 200)
  assert.equal(lines, ['a\u00e9b', 'c', 'd'])
}))

test('a stream that stalls times out, and its complete lines were passed on', () => withPeer((socket) => {
  socket.write('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\na\nb')
}, async ({ http }) => {
  const lines: string[] = []
  const end = await http.sendForLines({ ...GET, timeoutMs: 250 }, (line) => lines.push(line))
  assert.is(end.isErr() && end.error.kind, 'timeout')
  assert.equal(lines, ['a'])
}))

test('a request that is assigned to a second connection is aborted', () => {
  const state = { started: false }
  const aborts: Error[] = []
  const controller = { aborted: false, abort: (error: Error) => aborts.push(error) }
  const dispatch = createSendOnce(state)((_options, handler) => {
    handler.onRequestStart?.(controller as never, {})
    assert.equal([state.started, aborts.length], [true, 0])
    handler.onRequestStart?.(controller as never, {})
    return true
  })
  dispatch({ method: 'GET', path: '/' }, {})
  assert.is(aborts.length, 1)
})

test.run()
