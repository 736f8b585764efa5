// A caller sends a request, a part of the next one behind it, and closes its connection.
// Until the answer is there, nobody learns that the caller has left: the error of the parser
// is noted only, the server closes nothing then, and the replica works on. The same behind a
// whole request whose body nobody reads before its turn. Evidence: left after 1.9 s.
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
  'a part of a head': 'GET /two HTTP/1.1\r\nHo',
  'a part of a body': `${HEAD}20\r\n\r\nx`,
  'a request of 200 KB': `${HEAD}200000\r\n\r\n${'x'.repeat(200_000)}`
}

/** Callers that left may have a replica at work for so long. */
const LEFT_MS = 500

for (const [name, following] of Object.entries(FOLLOWING)) {
  test(`a caller that leaves is noticed, behind ${name}`, async () => {
    let isLeft = false
    let reached = (): void => {}
    const isReached = new Promise<void>((resolve) => { reached = resolve })
    const { server } = createCallerServer({
      dialect: { readyPath: '/ready', readRequest: () => Ok({ requestId: 'a', forwardHeaders: [] }) },
      limits: () => ({ headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }),
      isStopping: () => false,
      onRejected: () => {},
      onRequest: ({ response }) => {
        reached()
        response.once('close', () => { isLeft = true })
      }
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.71', resolve) })
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.71')
    socket.on('error', () => {})
    socket.write('GET /one HTTP/1.1\r\nHost: a\r\n\r\n')
    await isReached
    socket.write(following)
    await sleep(100)
    socket.destroy()
    await sleep(LEFT_MS)
    server.closeAllConnections()
    server.close()
    assert.ok(isLeft)
  })
}

test.run()
