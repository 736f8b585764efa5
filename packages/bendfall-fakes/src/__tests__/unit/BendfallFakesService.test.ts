import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpService } from 'bendfall-upstream'
import type { ServiceCall, ServicePort } from 'bendfall-upstream'
import { createServiceStandIn } from '../../index.js'
import type { ServiceOptions, ServiceStandIn } from '../../index.js'
import { eventually, neverAborted } from './BendfallFakesHarness.js'

const CALL: ServiceCall = { requestId: 'r1', method: 'POST', path: '/bookings', contentType: 'application/json', body: Buffer.from('{}'), idempotencyKey: 'k1', timeoutMs: 5_000 }

async function withService (options: ServiceOptions, run: (port: ServicePort, standIn: ServiceStandIn) => Promise<void>): Promise<void> {
  const standIn = await createServiceStandIn(options)
  const port = createHttpService({ origin: standIn.url, maxBodyBytes: 10_000 })
  try {
    await run(port, standIn)
  } finally {
    await port.close()
    await standIn.close()
  }
}

test('a call runs once and its complete response is returned', () => withService({}, async (port, standIn) => {
  const outcome = await port.call(CALL, neverAborted)
  if (outcome.type !== 'answered') throw new Error(outcome.detail)
  assert.is(outcome.status, 200)
  assert.is(JSON.parse(Buffer.from(outcome.body).toString()).key, 'k1')
  assert.equal(standIn.runs(), { total: 1, byKey: { k1: 1 }, byPath: { 'POST /bookings': 1 } })
}))

test('an error status is returned as a response', () => withService({}, async (port, standIn) => {
  standIn.injectFault({ mode: 'outage', count: 1 })
  const outcome = await port.call(CALL, neverAborted)
  assert.is(outcome.type === 'answered' && outcome.status, 503)
  assert.is(standIn.runs().total, 0)
}))

for (const mode of ['half_answer', 'lose_answer_after_write'] as const) {
  test(`a call under the fault ${mode} counts as having reached the service, which ran it once`, () => withService({}, async (port, standIn) => {
    standIn.injectFault({ mode, count: 1 })
    const outcome = await port.call(CALL, neverAborted)
    assert.is(outcome.type === 'failed' && outcome.reached, true)
    assert.is(standIn.runs().total, 1)
  }))
}

test('a call whose connection is refused counts as not having reached the service', () => withService({}, async (port, standIn) => {
  await standIn.close()
  const outcome = await port.call(CALL, neverAborted)
  assert.is(outcome.type === 'failed' && outcome.reached, false)
}))

test('a call aborted before it is sent counts as not having reached the service', () => withService({}, async (port, standIn) => {
  const outcome = await port.call(CALL, AbortSignal.abort())
  assert.is(outcome.type === 'failed' && outcome.reached, false)
  assert.is(standIn.runs().total, 0)
}))

test('a call aborted while it runs counts as having reached the service', () => withService({ latencyMs: 60_000 }, async (port, standIn) => {
  const controller = new AbortController()
  const call = port.call(CALL, controller.signal)
  await eventually(() => standIn.runs().total === 1)
  controller.abort()
  const outcome = await call
  assert.is(outcome.type === 'failed' && outcome.reached, true)
}))

test('a call that times out counts as having reached the service', () => withService({ latencyMs: 60_000 }, async (port, standIn) => {
  const call = port.call({ ...CALL, timeoutMs: 300 }, neverAborted)
  await eventually(() => standIn.runs().total === 1)
  const outcome = await call
  assert.is(outcome.type === 'failed' && outcome.reached, true)
  assert.match(outcome.type === 'failed' ? outcome.detail : '', 'no answer within 300 ms')
}))

test('a call whose response exceeds the size limit fails and counts as having reached the service', () => withService({}, async (port, standIn) => {
  const outcome = await port.call({ ...CALL, body: Buffer.alloc(20_000, 'x') }, neverAborted)
  assert.is(outcome.type === 'failed' && outcome.reached, true)
  assert.is(standIn.runs().total, 1)
}))

test('a call with an invalid HTTP header value fails without being sent', () => withService({}, async (port) => {
  const outcome = await port.call({ ...CALL, idempotencyKey: 'a\nb' }, neverAborted)
  assert.is(outcome.type === 'failed' && outcome.reached, false)
}))

test.run()
