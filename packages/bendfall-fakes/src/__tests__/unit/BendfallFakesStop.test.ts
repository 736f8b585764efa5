import { once } from 'node:events'
import { connect } from 'node:http2'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { listenForPeers } from 'bendfall-node'
import { startFleetProxy } from '../../fleet/soak/BendfallFakesFleetProxy.js'

/** One second for responses in flight, plus slack. Processes are killed after several seconds. */
const MAX_CLOSE_MS = 1_500

// Sidecars of withdrawn instances were still running at the end of their grace period, and were killed, when the
// connections of their peers had become silent before: three of three that stopped on a day with silent connections.
test('a listener closes in time while the connections of its peers are silent', async () => {
  const listener = await listenForPeers('127.0.8.21:0', () => {})
  const proxy = await startFleetProxy(listener.address)
  const session = connect(`http://${proxy.address}`)
  session.on('error', () => {})
  await once(session, 'remoteSettings')
  proxy.silence()
  const startedMs = performance.now()
  const isClosed = await Promise.race([
    listener.close().then(() => true),
    new Promise<boolean>((resolve) => { setTimeout(() => resolve(false), 2 * MAX_CLOSE_MS).unref() })
  ])
  const tookMs = performance.now() - startedMs
  session.destroy()
  await proxy.close()
  assert.ok(isClosed && tookMs < MAX_CLOSE_MS, `${tookMs} ms`)
})

test.run()
