import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { Ok } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCallerServer, INITIAL_LIMITS } from '../../caller/BendfallEdgeServer.js'
import type { CompleteRequest } from '../../caller/BendfallEdgeServer.js'

const DEADLINE_MS = 5_000
const ANSWER_MS = 100

/** Timers may be early by up to a millisecond. */
const LEAST_WAIT_MS = 99

interface Played {
  readonly taken: readonly CompleteRequest[]
  /** All that the caller read. */
  readonly text: string
}

/** Sends bytes on one connection, answers each request after a while and reads to the end. */
async function play (bytes: string, answerMs = 0): Promise<Played> {
  const taken: CompleteRequest[] = []
  const { server } = createCallerServer({
    dialect: { readyPath: '/ready', readRequest: () => Ok({ requestId: 'a', deadlineMs: DEADLINE_MS, forwardHeaders: [] }) },
    limits: () => INITIAL_LIMITS,
    isStopping: () => false,
    onRejected: () => {},
    onRequest: (whole) => {
      taken.push(whole)
      const body = `${whole.request.url} ${whole.body.toString()}`
      setTimeout(() => whole.response.writeHead(200, { 'content-length': body.length }).end(body), answerMs)
    }
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let text = ''
  socket.on('data', (chunk) => { text += chunk.toString() })
  socket.write(bytes)
  await new Promise((resolve) => { socket.once('close', resolve) })
  server.close()
  return { taken, text }
}

const statuses = ({ text }: Played): number[] => [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status))
const post = (path: string, body: string): string => `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`
const LAST = 'GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'

test('requests on one connection are taken in turn, with their own bodies', async () => {
  const played = await play(post('/1', 'one') + post('/2', 'two') + LAST, ANSWER_MS)
  assert.equal(played.taken.map(({ body, request }) => `${request.url} ${body.toString()}`), ['/1 one', '/2 two', '/last '])
  assert.equal(statuses(played), [200, 200, 200])
})

test('the time budget of a request is less by the time that it waited for its turn', async () => {
  const { taken } = await play(post('/1', 'one') + LAST, ANSWER_MS)
  const [first = 0, second = 0] = taken.map(({ caller }) => caller.deadlineMs)
  assert.ok(first - second > LEAST_WAIT_MS, `${first} ${second}`)
})

test('a request whose body cannot be read is refused and not taken', async () => {
  const played = await play('POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n')
  assert.equal(played.taken, [])
  assert.equal(statuses(played), [400])
})

test('a request whose body cannot be read is refused in its turn', async () => {
  const played = await play(post('/1', 'one') + 'POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n', ANSWER_MS)
  assert.equal(played.taken.map(({ request }) => request.url), ['/1'])
  assert.equal(statuses(played), [200, 400])
})

test('a bounded number of requests waits on one connection', async () => {
  const played = await play('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(150))
  assert.is(played.taken.length, 101)
  assert.is(statuses(played).at(-1), 503)
})

test.run()
