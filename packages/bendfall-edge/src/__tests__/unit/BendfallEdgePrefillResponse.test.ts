// Guards against a response without end to a prefill, which was read on until its timeout while the request waited.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { withReplicaHarness } from './ReplicaHarness.js'

const LENGTH_BYTES = 10_000_000
const SENT_BYTES = 100_000
const MAX_WAIT_MS = 1_000

test('a prefill whose response exceeds its size limit fails at once, and its connection is closed', () => withReplicaHarness(({ headers, socket }) => {
  socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${headers['x-id']}\r\nContent-Length: ${LENGTH_BYTES}\r\n\r\n${'x'.repeat(SENT_BYTES)}`)
}, async ({ prefill, replica }) => {
  const startedAtMs = performance.now()
  const { outcome } = await prefill('1')
  assert.equal(outcome, { type: 'failed', failure: 'unknown' })
  while (replica.open() > 0 && performance.now() - startedAtMs < MAX_WAIT_MS) await new Promise(setImmediate)
  assert.is(replica.open(), 0)
  assert.ok(performance.now() - startedAtMs < MAX_WAIT_MS)
}))

test.run()
