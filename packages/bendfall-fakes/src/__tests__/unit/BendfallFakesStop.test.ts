import { once } from 'node:events'
import { connect } from 'node:http2'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { listenForPeers } from 'bendfall-node'
import { startFleetProxy } from '../../fleet/soak/BendfallFakesFleetProxy.js'

/** A second for answers on their way, and some slack; processes are killed after several. */
const LONGEST_CLOSE_MS = 1_500

// Sidecars of instances that were withdrawn were still there at the end of their grace
// time, and were killed, when the connections of their peers had gone silent before: on a
// day with silent connections three of three that stopped.
test('a listener closes in time though the connections of its peers are silent', async () => {
  const listener = await listenForPeers('127.0.8.21:0', () => {})
  const proxy = await startFleetProxy(listener.address)
  const session = connect(`http://${proxy.address}`)
  session.on('error', () => {})
  await once(session, 'remoteSettings')
  proxy.silence()
  const startedMs = performance.now()
  const isClosed = await Promise.race([
    listener.close().then(() => true),
    new Promise<boolean>((resolve) => { setTimeout(() => resolve(false), 2 * LONGEST_CLOSE_MS).unref() })
  ])
  const tookMs = performance.now() - startedMs
  session.destroy()
  await proxy.close()
  assert.ok(isClosed && tookMs < LONGEST_CLOSE_MS, `${tookMs} ms`)
})

test.run()
