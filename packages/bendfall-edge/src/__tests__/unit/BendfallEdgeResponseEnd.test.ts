// Guards against truncated responses that look complete to callers, as users observed. A replica
// writes part of a close-delimited response and resets the connection, and the entry's busy event
// loop finds the bytes and the reset in one poll. After a short read, a hang-up is reported as the
// end of the data and never as an error, so the reset counted as an orderly close: with the poll
// forced as below, 20 of 20 aborted responses counted as complete. Also, the end of a connection
// while reading was paused for a slow caller terminated the process, which truncated all other
// responses with an orderly close.
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createConnectionPool } from '../../replica/BendfallEdgeConnections.js'
import type { ReplicaCall } from '../../replica/BendfallEdgeReplicaCall.js'
import { startReplicaCall } from '../../replica/BendfallEdgeReplicaCall.js'

interface Outcome {
  readonly type: 'end' | 'fail'
  readonly bodyBytes: number
}

const FRAMINGS = {
  connection: 'HTTP/1.1 200 OK\r\n\r\n',
  'connection, announced': 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
  length: 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 200000\r\n\r\n',
  chunked: 'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n'
}

const BODY_BYTES = 200_000

/** End of a chunked body; the other framings have no end marker. */
const LAST_CHUNK = '\r\n0\r\n\r\n'

const uncaught: unknown[] = []
process.on('uncaughtException', (error) => uncaught.push(error))

interface CallOptions {
  readonly answer: (socket: Socket) => void
  /** Pause after each chunk, as for a caller that reads slowly; absent: no pause. */
  readonly pauseMs?: number
  /** Whether the replica reads nothing, so that closing its connection resets it without an orderly close. */
  readonly isNotReading?: boolean
}

async function listen (server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function callReplica ({ answer, isNotReading = false, pauseMs }: CallOptions): Promise<Outcome> {
  const sockets = new Set<Socket>()
  const server = createServer({ pauseOnConnect: isNotReading }, (socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    if (isNotReading) setTimeout(() => answer(socket), 20)
    else socket.once('data', () => answer(socket))
  })
  const pool = createConnectionPool(await listen(server), () => {})
  let bodyBytes = 0
  const outcome = await Promise.race([
    new Promise<Outcome>((resolve) => {
      const call: ReplicaCall = startReplicaCall(pool, { method: 'GET', path: '/', headers: [] }, {
        onHead: () => {},
        onChunk: (chunk) => {
          bodyBytes += chunk.length
          if (pauseMs === undefined) return
          call.pause()
          setTimeout(() => call.resume(), pauseMs)
        },
        onEnd: () => resolve({ type: 'end', bodyBytes }),
        onFail: () => resolve({ type: 'fail', bodyBytes })
      })
    }),
    sleep(3_000).then(() => { throw new Error('the call did not end within 3 s') })
  ])
  pool.destroy()
  for (const socket of sockets) socket.destroy()
  server.close()
  return outcome
}

test('a reset that is found together with the last bytes is not the end of a response', async () => {
  for (let i = 0; i < 20; i++) {
    const outcome = await callReplica({
      isNotReading: true,
      answer: (socket) => {
        socket.write(`${FRAMINGS.connection}part`)
        socket.destroy()
      }
    })
    assert.is(outcome.type, 'fail', `response ${i}`)
  }
})

test('a response with an orderly close is complete even if the event loop finds all of it at once', async () => {
  for (let i = 0; i < 20; i++) {
    const outcome = await callReplica({ answer: (socket) => socket.end(`${FRAMINGS.connection}whole`) })
    assert.equal(outcome, { type: 'end', bodyBytes: 5 }, `response ${i}`)
  }
})

for (const [framing, head] of Object.entries(FRAMINGS)) {
  test(`a slow caller receives all of a response whose connection is closed after it (${framing})`, async () => {
    const outcome = await callReplica({ pauseMs: 60, answer: (socket) => socket.end(`${head}${'x'.repeat(BODY_BYTES)}${framing === 'chunked' ? LAST_CHUNK : ''}`) })
    assert.equal(uncaught.splice(0), [])
    assert.equal(outcome, { type: 'end', bodyBytes: BODY_BYTES })
  })

  test(`a reset while reading is paused fails only that call (${framing})`, async () => {
    const outcome = await callReplica({
      pauseMs: 60,
      answer: (socket) => socket.write(`${head}${'x'.repeat(BODY_BYTES / 2)}`, () => setTimeout(() => socket.resetAndDestroy(), 30))
    })
    assert.equal(uncaught.splice(0), [])
    assert.is(outcome.type, 'fail')
  })
}

test.run()
