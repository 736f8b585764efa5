import { once } from 'node:events'
import { createServer } from 'node:http'
import { createServer as createBareServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpService } from '../../BendfallUpstreamHttpService.js'
import type { ServiceCallOutcome } from '../../BendfallUpstreamService.js'

const becomesIdle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

async function countConnections (method: string, calls: number): Promise<number> {
  let connections = 0
  const server = createServer((_request, response) => response.end('ok')).listen(0, '127.0.0.1')
  server.on('connection', () => { connections += 1 })
  await once(server, 'listening')
  const port = createHttpService({ origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}` })
  for (let i = 0; i < calls; i += 1) {
    const call = { requestId: 'r', method, path: '/', contentType: '', body: new Uint8Array(), idempotencyKey: '', timeoutMs: 5_000 }
    await port.call(call, new AbortController().signal)
    await becomesIdle()
  }
  await port.close()
  server.close()
  return connections
}

test('calls with unsafe methods use a new connection each', async () => {
  assert.is(await countConnections('POST', 3), 3)
  assert.is(await countConnections('DELETE', 2), 2)
})

test('calls with safe methods share a kept connection', async () => {
  assert.is(await countConnections('GET', 3), 1)
})

async function withBareService (onRequest: (socket: Socket, requestId: string) => void, run: (call: (requestId: string) => Promise<ServiceCallOutcome>) => Promise<void>): Promise<void> {
  const server = createBareServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', (head: Buffer) => onRequest(socket, /x-request-id: (.*)\r\n/.exec(head.toString('latin1'))?.[1] ?? ''))
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const port = createHttpService({ origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}` })
  try {
    await run((requestId) => port.call({ requestId, method: 'GET', path: '/', contentType: '', body: new Uint8Array(), idempotencyKey: '', timeoutMs: 5_000 }, new AbortController().signal))
  } finally {
    await port.close()
    server.close()
  }
}

test('a call fails if its connection is reset within a close-delimited response', () => withBareService((socket) => {
  socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart', () => socket.resetAndDestroy())
}, async (call) => {
  const outcome = await call('r1')
  assert.is(outcome.type === 'failed' && outcome.reached, true)
}))

// A service sends a duplicate response to r1 60 ms after the first, when r2 is already in
// flight on the kept connection. The caller of r2 got this response, complete, as its own.
const LATE_MS = 60
const responseTo = (requestId: string): string => `HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-request-id: ${requestId}\r\n\r\n${requestId}`

test('a late duplicate response is not used for the next call', () => withBareService((socket, requestId) => {
  if (requestId === 'r1') socket.write(responseTo('r1'))
  if (requestId === 'r1') setTimeout(() => socket.write(responseTo('r1')), LATE_MS)
  if (requestId === 'r2') setTimeout(() => socket.write(responseTo('r2')), 2 * LATE_MS)
  if (requestId === 'r3') socket.write(responseTo('r3'))
}, async (call) => {
  assert.is((await call('r1')).type, 'answered')
  await pause(LATE_MS / 2)
  const second = await call('r2')
  assert.is(second.type === 'failed' && second.reached, true)
  await pause(3 * LATE_MS)
  const third = await call('r3')
  assert.is(third.type === 'answered' && Buffer.from(third.body).toString(), 'r3')
}))

test('a response without a request id is accepted', () => withBareService((socket) => {
  socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
}, async (call) => {
  assert.is((await call('r1')).type, 'answered')
}))

test('bytes above 0x7f in a content type are preserved', () => withBareService((socket) => {
  socket.write(Buffer.from('HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-type: a/b; n="\u20ac"\r\n\r\nok', 'utf8'))
}, async (call) => {
  const outcome = await call('r1')
  assert.is(outcome.type === 'answered' && Buffer.from(outcome.contentType, 'latin1').toString('utf8'), 'a/b; n="\u20ac"')
}))

test.run()
