// Guards against connections that are never released. After a close-delimited response whose reset
// was found together with its last bytes, the pool kept the client until the replica was gone.
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Connection } from '../../replica/BendfallEdgeConnections.js'
import { createConnectionPool } from '../../replica/BendfallEdgeConnections.js'
import { startReplicaCall } from '../../replica/BendfallEdgeReplicaCall.js'

test('a connection is released after a reset that was found together with the last bytes', async () => {
  const server = createServer({ pauseOnConnect: true }, (socket) => {
    socket.on('error', () => {})
    setTimeout(() => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nabc')
      socket.resetAndDestroy()
    }, 20)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.71', resolve) })
  const pool = createConnectionPool(`127.0.0.71:${(server.address() as AddressInfo).port}`, () => {})
  const released: Connection[] = []
  const observedPool = { ...pool, release: (connection: Connection) => { released.push(connection); pool.release(connection) } }
  const outcome = await new Promise((resolve) => {
    startReplicaCall(observedPool, { method: 'GET', path: '/', headers: [], requestId: 'r-1' }, { onHead: () => {}, onChunk: () => {}, onEnd: () => resolve('end'), onFail: () => resolve('fail') })
    setTimeout(() => { const untilMs = performance.now() + 60; while (performance.now() < untilMs); }, 10)
  })
  await new Promise((resolve) => setTimeout(resolve, 50))
  pool.destroy()
  server.close()
  assert.is(outcome, 'fail')
  assert.is(released.length, 1)
})

test.run()
