// Guards against a caller's disconnect going unnoticed until the response is complete, so that the
// replica keeps working. It happened when a caller sent a request and part of the next one and
// closed the connection: the parser error was only recorded and the server closed nothing. A
// complete pipelined request whose body wasn't read before it left the queue had the same effect.
// The disconnect was noticed after 1.9 s.
import type { AddressInfo } from 'node:net'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Ok } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCallerServer } from '../../caller/BendfallEdgeServer.js'

const HEAD = 'POST /two HTTP/1.1\r\nHost: a\r\nContent-Length: '
const FOLLOWING = {
  nothing: '',
  'part of a request head': 'GET /two HTTP/1.1\r\nHo',
  'part of a request body': `${HEAD}20\r\n\r\nx`,
  'a request of 200 KB': `${HEAD}200000\r\n\r\n${'x'.repeat(200_000)}`
}

/** Time within which the disconnect of a caller must be noticed. */
const MAX_NOTICE_MS = 500

for (const [name, following] of Object.entries(FOLLOWING)) {
  test(`the disconnect of a caller is noticed if its request is followed by ${name}`, async () => {
    let isDisconnectNoticed = false
    let signalArrival = (): void => {}
    const hasArrived = new Promise<void>((resolve) => { signalArrival = resolve })
    const { server } = createCallerServer({
      dialect: { readyPath: '/ready', readRequest: () => Ok({ requestId: 'a', forwardHeaders: [] }) },
      limits: () => ({ headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }),
      isStopping: () => false,
      onRejected: () => {},
      onRequest: ({ response }) => {
        signalArrival()
        response.once('close', () => { isDisconnectNoticed = true })
      }
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.71', resolve) })
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.71')
    socket.on('error', () => {})
    socket.write('GET /one HTTP/1.1\r\nHost: a\r\n\r\n')
    await hasArrived
    socket.write(following)
    await sleep(100)
    socket.destroy()
    await sleep(MAX_NOTICE_MS)
    server.closeAllConnections()
    server.close()
    assert.ok(isDisconnectNoticed)
  })
}

test.run()
