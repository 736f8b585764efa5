// What was seen: of 2,000 answers without a length that were reset after a part of their body,
// 2,000 were given on as whole, with the loop idle and busy alike. Order of events: a plain
// service answers without a length, its connection is reset in the middle, and the caller of
// the entry gets the part with a length of its own, as a complete 200. Cause: the HTTP client
// takes ECONNRESET for the end of an answer without a length, and so does the end that Node
// tells when a reset is found together with the last bytes.
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpExchanger } from '../../BendfallPlatformHttp.js'
import type { HttpExchanger } from '../../BendfallPlatformHttp.js'

const BODY = '{"a":1}'
const GET = { method: 'GET', path: '/', timeoutMs: 5_000 }

/** Answers without a length, of which `cut` bytes come before the end. */
const UNFRAMED = `HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${BODY}`
const WITH_LENGTH = `HTTP/1.1 200 OK\r\ncontent-length: ${BODY.length}\r\nconnection: close\r\n\r\n${BODY}`
const IN_CHUNKS = `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n3\r\n${BODY.slice(0, 3)}\r\n4\r\n${BODY.slice(3)}\r\n0\r\n\r\n`

type Ending = (socket: Socket) => void

const inOrder: Ending = (socket) => { socket.end() }
const byReset: Ending = (socket) => { socket.resetAndDestroy() }
/** Reset once the bytes before were read. */
const byLateReset: Ending = (socket) => { setTimeout(byReset, 5, socket) }
/** Reset that the loop finds together with the bytes before. */
const byResetWhileBusy: Ending = (socket) => {
  socket.resetAndDestroy()
  const until = performance.now() + 5
  while (performance.now() < until);
}

async function withPeer (answer: () => string, end: () => Ending, run: (http: HttpExchanger) => Promise<void>): Promise<void> {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => socket.write(answer(), () => end()(socket)))
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const http = createHttpExchanger({ origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}` })
  try {
    await run(http)
  } finally {
    await http.close()
    server.close()
  }
}

const RESETS: ReadonlyArray<readonly [string, Ending]> = [['at once', byReset], ['after the last bytes were read', byLateReset], ['found with the last bytes', byResetWhileBusy]]
for (const [when, end] of RESETS) {
  test(`an answer without a length that is reset ${when} is not whole`, () => withPeer(() => UNFRAMED.slice(0, -2), () => end, async (http) => {
    for (let call = 0; call < 100; call += 1) {
      const answer = await http.send(GET)
      assert.ok(answer.isErr() && answer.error.reached && answer.error.kind === 'broken', `call ${call}`)
    }
  }))

  test(`lines without a length that are reset ${when} have no end`, () => withPeer(() => `${UNFRAMED}\n`, () => end, async (http) => {
    const answer = await http.sendForLines(GET, () => {})
    assert.ok(answer.isErr() && answer.error.kind === 'broken')
  }))
}

test('an answer without a length that ends in order is whole', () => withPeer(() => UNFRAMED, () => inOrder, async (http) => {
  for (let call = 0; call < 100; call += 1) {
    const answer = await http.send(GET)
    assert.is(Buffer.from(answer.unwrap().body).toString(), BODY)
  }
}))

for (const head of ['HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n', 'HTTP/1.1 304 Not Modified\r\nconnection: close\r\n\r\n']) {
  test(`an answer that has no body is whole without an end: ${head.slice(9, 12)}`, () => withPeer(() => head, () => byLateReset, async (http) => {
    assert.is((await http.send(GET)).isOk(), true)
  }))
}

test('an answer to HEAD is whole without an end', () => withPeer(() => 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n', () => byLateReset, async (http) => {
  assert.is((await http.send({ ...GET, method: 'HEAD' })).isOk(), true)
}))

const FRAMINGS: ReadonlyArray<readonly [string, string]> = [['with a length', WITH_LENGTH], ['in chunks', IN_CHUNKS], ['without a length', UNFRAMED]]
for (const [framing, whole] of FRAMINGS) {
  for (const [how, end] of [['in order', inOrder], ['by a reset', byReset], ['by a reset found with the last bytes', byResetWhileBusy]] as const) {
    test(`an answer ${framing} that ends ${how} at any byte is whole or fails`, async () => {
      let sent = 0
      await withPeer(() => whole.slice(0, sent), () => end, async (http) => {
        for (; sent < whole.length; sent += 1) {
          const answer = await http.send(GET)
          // Nobody can tell an answer without a length that its own server ends in order too early.
          const isUnknowable = framing === 'without a length' && how === 'in order' && sent >= whole.indexOf('\r\n\r\n') + 4
          if (!isUnknowable) assert.ok(answer.isErr(), `after ${sent} bytes`)
        }
      })
    })
  }
}

test.run()
