// Guards against a call that waits for ever: its response arrives byte by byte, so that the time without data never passes.
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpExchanger } from '../../index.js'

const BYTE_INTERVAL_MS = 20
const TOTAL_TIMEOUT_MS = 300

test('a response that arrives byte by byte without end is given up after the total timeout', async () => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
    const timer = setInterval(() => socket.write('1\r\nx\r\n'), BYTE_INTERVAL_MS)
    socket.once('close', () => clearInterval(timer))
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const exchanger = createHttpExchanger({ origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}` })
  try {
    const outcome = await exchanger.send({ method: 'GET', path: '/', timeoutMs: 10 * BYTE_INTERVAL_MS, totalTimeoutMs: TOTAL_TIMEOUT_MS })
    assert.is(outcome.isErr() && outcome.error.kind, 'timeout')
    assert.match(outcome.isErr() ? outcome.error.detail : '', `within ${TOTAL_TIMEOUT_MS} ms`)
  } finally {
    await exchanger.close()
    server.close()
  }
})

test.run()
