// Users saw a caller that got an answer which was not whole. Order of events: a replica
// writes a part of an answer that has neither length nor chunks, its connection is reset,
// and the loop of the entry, busy with others, finds the bytes and the reset in one poll.
// Cause: after a short read a hang-up is reported as the end of the data and never as an
// error, so the reset counted as an orderly end. Evidence: with the poll forced as below,
// 20 of 20 cut answers were taken for whole; and while reading was paused for a slow caller
// the end of the connection ended the process, which cut all other answers in order.
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

/** The end of a body in chunks; the other framings end with their bytes. */
const LAST_CHUNK = '\r\n0\r\n\r\n'

const uncaught: unknown[] = []
process.on('uncaughtException', (error) => uncaught.push(error))

interface PlayOptions {
  readonly answer: (socket: Socket) => void
  /** Pause after each chunk, like a caller that reads slowly. */
  readonly pauseMs?: number
  /** The replica reads nothing: what it closes then is reset at once, without an orderly end before. */
  readonly isDeaf?: boolean
}

async function listen (server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function play ({ answer, isDeaf = false, pauseMs }: PlayOptions): Promise<Outcome> {
  const sockets = new Set<Socket>()
  const server = createServer({ pauseOnConnect: isDeaf }, (socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    if (isDeaf) setTimeout(() => answer(socket), 20)
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
    sleep(3_000).then(() => { throw new Error('the call never ended') })
  ])
  pool.destroy()
  for (const socket of sockets) socket.destroy()
  server.close()
  return outcome
}

test('a reset that is found together with the last bytes is no end', async () => {
  for (let i = 0; i < 20; i++) {
    const outcome = await play({
      isDeaf: true,
      answer: (socket) => {
        socket.write(`${FRAMINGS.connection}part`)
        socket.destroy()
      }
    })
    assert.is(outcome.type, 'fail', `answer ${i}`)
  }
})

test('an answer that is closed in order is whole, also when the loop finds all of it at once', async () => {
  for (let i = 0; i < 20; i++) {
    const outcome = await play({ answer: (socket) => socket.end(`${FRAMINGS.connection}whole`) })
    assert.equal(outcome, { type: 'end', bodyBytes: 5 }, `answer ${i}`)
  }
})

for (const [framing, head] of Object.entries(FRAMINGS)) {
  test(`a caller that reads slowly gets all of an answer that ends with its connection (${framing})`, async () => {
    const outcome = await play({ pauseMs: 60, answer: (socket) => socket.end(`${head}${'x'.repeat(BODY_BYTES)}${framing === 'chunked' ? LAST_CHUNK : ''}`) })
    assert.equal(uncaught.splice(0), [])
    assert.equal(outcome, { type: 'end', bodyBytes: BODY_BYTES })
  })

  test(`a reset while reading is paused is a failure of that call alone (${framing})`, async () => {
    const outcome = await play({
      pauseMs: 60,
      answer: (socket) => socket.write(`${head}${'x'.repeat(BODY_BYTES / 2)}`, () => setTimeout(() => socket.resetAndDestroy(), 30))
    })
    assert.equal(uncaught.splice(0), [])
    assert.is(outcome.type, 'fail')
  })
}

test.run()
