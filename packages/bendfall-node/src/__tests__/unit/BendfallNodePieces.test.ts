// Guards against messages that take many times their size, or time that grows with the square of it, since they arrive
// in pieces of one byte: a peer in trouble could use up the memory of a sidecar or stop its event loop.
import { EventEmitter, once } from 'node:events'
import type { IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { LedgerService } from 'bendfall-protocol'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { readBody } from '../../edge/BendfallNodeEdgeBody.js'
import { systemClock } from '../../runtime/index.js'
import { createEnvelopeReader, encodeEnvelope } from '../../transport/BendfallNodeEnvelope.js'
import { listenForPeers } from '../../transport/BendfallNodePeerListener.js'
import { methodPath, serveUnary, UNARY_CONTENT_TYPE } from '../../transport/BendfallNodeUnaryServer.js'

/** Fits into the initial flow-control window of HTTP/2. */
const PIECES = 60_000

/** A buffer object for each piece takes several times as much. */
const MAX_HEAP_BYTES = 3_000_000

const MESSAGE_BYTES = 300_000
const MAX_READ_MS = 2_000

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function heapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

const FRAME = { data: 0, headers: 1, settings: 4 } as const
const END_HEADERS = 4

/** Encodes a frame of HTTP/2 on the first stream of a client, or on the connection (RFC 9113, section 4.1). */
function frame (type: number, payload: Buffer, flags = 0, streamId = 1): Buffer {
  const head = Buffer.alloc(9)
  head.writeUIntBE(payload.length, 0, 3)
  head[3] = type
  head[4] = flags
  head.writeUInt32BE(streamId, 5)
  return Buffer.concat([head, payload])
}

/** Encodes a header field as a literal without indexing (RFC 7541, section 6.2.2). */
function literal (name: string, value: string): Buffer {
  return Buffer.concat([Buffer.from([0, name.length]), Buffer.from(name), Buffer.from([value.length]), Buffer.from(value)])
}

test('a message from a peer in frames of one byte takes no buffer for each of them', async () => {
  const method = LedgerService.method.reserve
  const listener = await listenForPeers('127.0.0.1:0', (_, streams) => { serveUnary(streams, method, () => ({ granted: true })) })
  const [host = '', port = ''] = listener.address.split(':')
  const socket = connect(Number(port), host)
  try {
    await once(socket, 'connect')
    socket.resume()
    const headers = [[':method', 'POST'], [':scheme', 'http'], [':path', methodPath(method)], [':authority', 'peer'], ['content-type', UNARY_CONTENT_TYPE]] as const
    socket.write('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n')
    socket.write(frame(FRAME.settings, Buffer.alloc(0), 0, 0))
    socket.write(frame(FRAME.headers, Buffer.concat(headers.map(([name, value]) => literal(name, value))), END_HEADERS))
    await pause(100)
    const before = heapBytes()
    const piece = frame(FRAME.data, Buffer.from('x'))
    for (let sent = 0; sent < PIECES; sent += 1_000) {
      socket.write(Buffer.concat(Array.from({ length: 1_000 }, () => piece)))
      await pause(2)
    }
    await pause(300)
    const grownBytes = heapBytes() - before
    assert.ok(grownBytes < MAX_HEAP_BYTES, `${grownBytes} bytes`)
  } finally {
    socket.destroy()
    await listener.close()
  }
})

test('the body of a request in pieces of one byte takes no buffer for each of them', () => {
  const request = Object.assign(new EventEmitter(), { headers: {} }) as unknown as IncomingMessage
  readBody(request, { bodyBytes: PIECES, bodyTimeoutMs: 60_000 }, systemClock, () => {})
  const before = heapBytes()
  for (let sent = 0; sent < PIECES; sent += 1) request.emit('data', Buffer.from('x'))
  const grownBytes = heapBytes() - before
  request.emit('close')
  assert.ok(grownBytes < MAX_HEAP_BYTES, `${grownBytes} bytes`)
})

test('an envelope in pieces of one byte is read in time that grows with its size', () => {
  const messages: number[] = []
  const read = createEnvelopeReader(MESSAGE_BYTES, (_, message) => { messages.push(message.byteLength) })
  const bytes = Buffer.concat([encodeEnvelope(0, Buffer.alloc(MESSAGE_BYTES)), encodeEnvelope(0, Buffer.alloc(1))])
  const startedAtMs = performance.now()
  for (let at = 0; at < bytes.length; at += 1) read(bytes.subarray(at, at + 1))
  const tookMs = performance.now() - startedAtMs
  assert.equal(messages, [MESSAGE_BYTES, 1])
  assert.ok(tookMs < MAX_READ_MS, `${tookMs} ms`)
})

test.run()
