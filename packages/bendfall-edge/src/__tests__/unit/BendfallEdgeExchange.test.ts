import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createExchange } from '../../caller/BendfallEdgeExchange.js'
import type { Exchange } from '../../caller/BendfallEdgeExchange.js'

/** Longest wait for the first byte; a machine at full load takes some hundred milliseconds for it. */
const FIRST_BYTE_MS = 10_000

/** An answer after which the connection stays open is over when nothing more came for this long. */
const QUIET_MS = 1_000

/** Timers may be early by up to a millisecond. */
const LEAST_PAUSE_MS = 9

/** What a caller reads from its connection, and whether that was reset. */
async function readAnswer (answer: (exchange: Exchange) => void, version = '1.1'): Promise<{ readonly text: string, readonly isReset: boolean }> {
  const server = createServer((request, response) => {
    answer(createExchange({ key: '1', request, response, caller: { requestId: 'a', forwardHeaders: [] }, body: Buffer.alloc(0) }, () => false))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`)
  let text = ''
  let isReset = false
  await new Promise<void>((resolve) => {
    let idle = setTimeout(() => socket.destroy(), FIRST_BYTE_MS)
    socket.on('data', (chunk) => {
      text += chunk.toString()
      clearTimeout(idle)
      idle = setTimeout(() => socket.destroy(), QUIET_MS)
    })
    socket.on('error', () => { isReset = true })
    // A reset that is found together with the last bytes comes as an end; such a socket has no peer any more.
    socket.on('end', () => { isReset ||= socket.remoteAddress === undefined })
    socket.on('close', () => {
      clearTimeout(idle)
      resolve()
    })
  })
  server.close()
  server.closeAllConnections()
  return { text, isReset }
}

test('an answer with a length goes on with it', async () => {
  const { text } = await readAnswer((exchange) => exchange.deliver({ status: 200, headers: { 'content-length': '5' }, body: Buffer.from('whole') }))
  assert.match(text, /content-length: 5\r\n/i)
  assert.ok(text.endsWith('whole'))
})

test('an answer without a length is passed on without one and ends with the connection', async () => {
  const { isReset, text } = await readAnswer((exchange) => exchange.deliver({ status: 200, headers: {}, body: Buffer.from('whole') }))
  assert.not.match(text, /content-length|transfer-encoding/i)
  assert.match(text, /connection: close/i)
  assert.ok(text.endsWith('\r\n\r\nwhole'))
  assert.is(isReset, false)
})

test('an answer without a length that breaks off is reset', async () => {
  const { isReset } = await readAnswer((exchange) => {
    exchange.start(200, {})
    exchange.write(Buffer.from('part'), () => {})
    setTimeout(() => exchange.cut(), 50)
  })
  assert.is(isReset, true)
})

// Callers that found the last bytes and the reset together took what they had for the whole
// answer: 61 of 500 whose runtime reports the hang-up as the end of the data, none of 500
// when the reset came 10 ms after the last bytes.
test('the reset of an answer without a length follows its last bytes after a pause, in which nothing else is sent', async () => {
  let pauseMs = 0
  const { isReset, text } = await readAnswer((exchange) => {
    const socket = exchange.response.socket as Socket
    const reset = socket.resetAndDestroy.bind(socket)
    exchange.start(200, {})
    exchange.write(Buffer.from('part'), () => {})
    const cutAtMs = performance.now()
    socket.resetAndDestroy = () => {
      pauseMs = performance.now() - cutAtMs
      return reset()
    }
    exchange.cut()
    exchange.write(Buffer.from('more'), () => {})
    exchange.end()
  })
  assert.ok(pauseMs > LEAST_PAUSE_MS, `${pauseMs} ms`)
  assert.ok(text.endsWith('\r\n\r\npart'))
  assert.is(isReset, true)
})

test('an answer that is cut at the end of the process is reset at once', async () => {
  let isAtOnce = false
  await readAnswer((exchange) => {
    const { response } = exchange
    exchange.start(200, {})
    exchange.write(Buffer.from('part'), () => {})
    exchange.cut()
    exchange.cutNow()
    isAtOnce = response.destroyed && response.socket?.destroyed === true
  })
  assert.is(isAtOnce, true)
})

// A caller of HTTP/1.0 got part of an answer and took it for the whole one: the replica
// sent chunks, which such a caller does not know, so that only the connection told the end,
// and the entry, which looked at the framing of the replica's answer, closed it in order.
test('an answer in chunks that breaks off is reset for a caller that gets it without chunks', async () => {
  const { isReset, text } = await readAnswer((exchange) => {
    exchange.start(200, { 'transfer-encoding': 'chunked' })
    exchange.write(Buffer.from('part'), () => {})
    setTimeout(() => exchange.cut(), 50)
  }, '1.0')
  assert.not.match(text, /content-length|transfer-encoding/i)
  assert.is(isReset, true)
})

test('an answer without a length that has begun is reset when it is refused', async () => {
  const { isReset } = await readAnswer((exchange) => {
    exchange.start(200, {})
    exchange.write(Buffer.from('part'), () => {})
    setTimeout(() => exchange.refuse(502, 'replica_failed'), 50)
  })
  assert.is(isReset, true)
})

test('an answer that has not begun does not end as a whole one', async () => {
  const { text } = await readAnswer((exchange) => exchange.end())
  assert.is(text, '')
})

test('a refusal tells when to come back, in seconds', async () => {
  const { text } = await readAnswer((exchange) => exchange.refuse(503, 'no_memory', 420))
  assert.match(text, /^HTTP\/1.1 503/)
  assert.match(text, /retry-after: 0.42\r\n/)
})

test.run()
