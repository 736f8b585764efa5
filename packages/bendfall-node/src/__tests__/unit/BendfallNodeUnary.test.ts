// What was seen: an entry that gave a call up while the connection to the sidecar was still
// being opened (a ledger's calls wait 250 ms) made the sidecar handle an empty message: a
// booking without an id. Order of events: the stream opens, the client closes it without its
// message, Node ends the message before it resets the stream, and an empty or cut message of
// the protocol decodes as one whose other fields are absent. Cause: nothing told the server how
// long the message is.
// Besides, a stream that the other side resets without an error is closed but not yet
// destroyed: the answer to it was an error that nobody awaits, which ends the process.
import { once } from 'node:events'
import { connect, constants } from 'node:http2'
import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2'
import { setTimeout as pause } from 'node:timers/promises'
import { create, toBinary } from '@bufbuild/protobuf'
import { LedgerService, ReserveMemoryRequestSchema } from 'bendfall-protocol'
import type { ReserveMemoryRequest } from 'bendfall-protocol'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AnsweringSessionManager } from '../../transport/BendfallNodeSessionManager.js'
import { listenForPeers } from '../../transport/BendfallNodePeerListener.js'
import { callUnary } from '../../transport/BendfallNodeUnaryClient.js'
import { methodPath, serveUnary, UNARY_CONTENT_TYPE } from '../../transport/BendfallNodeUnaryServer.js'

const METHOD = LedgerService.method.reserve
const REQUEST = { requestId: 'r', bookingId: 'r/1', promptTokens: 3_000, priority: 2, targetMs: 900 }
const HEADERS = { ':method': 'POST', ':path': methodPath(METHOD), 'content-type': UNARY_CONTENT_TYPE }
const BYTES = Buffer.from(toBinary(ReserveMemoryRequestSchema, create(ReserveMemoryRequestSchema, REQUEST)))

interface Served {
  readonly url: string
  readonly requests: readonly ReserveMemoryRequest[]
  /** Errors that would have ended the process. */
  readonly uncaught: readonly Error[]
}

async function withServer (answerAfterMs: number, run: (served: Served) => Promise<void>): Promise<void> {
  const requests: ReserveMemoryRequest[] = []
  const uncaught: Error[] = []
  const note = (error: Error): void => { uncaught.push(error) }
  process.on('unhandledRejection', note)
  const listener = await listenForPeers('127.0.0.1:0', (_, streams) => {
    serveUnary(streams, METHOD, async (request) => {
      requests.push(request)
      if (answerAfterMs > 0) await pause(answerAfterMs)
      return { granted: true }
    })
  })
  try {
    await run({ url: `http://${listener.address}`, requests, uncaught })
  } finally {
    await listener.close()
    process.off('unhandledRejection', note)
  }
}

test('a call that is given up before its connection is open is not handled', () => withServer(0, async ({ requests, url }) => {
  const session = new AnsweringSessionManager(url)
  const given = new AbortController()
  const call = callUnary(session, METHOD, REQUEST, { timeoutMs: 5_000, signal: given.signal }).then(() => 'answered', () => 'failed')
  given.abort()
  assert.is(await call, 'failed')
  await pause(50)
  assert.equal(requests, [])
  assert.is((await callUnary(session, METHOD, REQUEST, { timeoutMs: 5_000 })).granted, true)
  assert.equal(requests.map(({ bookingId }) => bookingId), ['r/1'])
  session.abort()
}))

const ENDS: ReadonlyArray<readonly [string, (stream: ClientHttp2Stream, session: ClientHttp2Session) => void]> = [
  ['reset as cancelled', (stream) => stream.close(constants.NGHTTP2_CANCEL)],
  ['reset without an error', (stream) => stream.close(constants.NGHTTP2_NO_ERROR)],
  ['reset as an internal error', (stream) => stream.close(constants.NGHTTP2_INTERNAL_ERROR)],
  ['dropped by its client', (stream) => { stream.destroy() }],
  ['ended', (stream) => { stream.end() }],
  ['cut with its connection', (_, session) => { session.destroy() }]
]

for (const [how, end] of ENDS) {
  test(`a message that is ${how} before its last byte is not handled`, () => withServer(0, async ({ requests, uncaught, url }) => {
    const session = connect(url)
    session.on('error', () => {})
    await once(session, 'connect')
    for (let bytes = 0; bytes < BYTES.length && !session.destroyed; bytes += 1) {
      const stream = session.request({ ...HEADERS, 'content-length': BYTES.length })
      stream.on('error', () => {}).resume()
      if (bytes > 0) await new Promise<void>((resolve) => stream.write(BYTES.subarray(0, bytes), () => resolve()))
      end(stream, session)
    }
    await pause(50)
    session.destroy()
    assert.equal(uncaught.map(String), [])
    assert.equal(requests, [])
  }))

  for (const answerAfterMs of [0, 2]) {
    test(`a call that is ${how} while it is answered after ${answerAfterMs} ms ends nothing else`, () => withServer(answerAfterMs, async ({ uncaught, url }) => {
      for (let place = 0; place < 60; place += 1) {
        const session = connect(url)
        session.on('error', () => {})
        const stream = session.request({ ...HEADERS, 'content-length': BYTES.length })
        stream.on('error', () => {}).resume()
        await new Promise<void>((resolve) => stream.write(BYTES, () => resolve()))
        end(stream, session)
        await pause(place % 4)
        session.destroy()
      }
      await pause(50)
      assert.equal(uncaught.map(String), [])
      const session = new AnsweringSessionManager(url)
      assert.is((await callUnary(session, METHOD, REQUEST, { timeoutMs: 5_000 })).granted, true)
      session.abort()
    }))
  }
}

test.run()
