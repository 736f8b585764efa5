// Guards against connections that are never released. After a close-delimited response whose reset
// was found together with its last bytes, the pool kept the client until the replica was gone.
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
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

// Guards against requests to a process that has stopped listening, over connections that it still serves.
for (const state of ['idle', 'in use'] as const) {
  test(`a connection that is ${state} when another one is refused is not used again`, async () => {
    const sockets = new Set<Socket>()
    const server = createServer((socket) => {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'))
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.71', resolve) })
    const pool = createConnectionPool(`127.0.0.71:${(server.address() as AddressInfo).port}`, () => {})
    const held: Connection[] = []
    const holdingPool = { ...pool, release: (connection: Connection) => { held.push(connection) } }
    const call = (requestId: string): Promise<string> => new Promise((resolve) => {
      startReplicaCall(holdingPool, { method: 'GET', path: '/', headers: [], requestId }, { onHead: () => {}, onChunk: () => {}, onEnd: () => resolve('end'), onFail: () => resolve('fail') })
    })
    const release = (): void => { for (const connection of held.splice(0)) pool.release(connection) }
    assert.is(await call('r-1'), 'end')
    await new Promise((resolve) => setImmediate(resolve))
    if (state === 'idle') release()
    server.close()
    assert.is(await new Promise((resolve) => pool.check(resolve)), 'ended')
    release()
    assert.is(await call('r-2'), 'fail')
    assert.is(sockets.size, 1)
    pool.destroy()
    for (const socket of sockets) socket.destroy()
  })
}

test.run()
