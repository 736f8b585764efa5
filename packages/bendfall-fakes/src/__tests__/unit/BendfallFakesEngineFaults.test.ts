import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEngineStandIn } from '../../index.js'
import { DECODE, PREFILL, REF, eventually, neverAborted, prefillAndImport, withEngine } from './BendfallFakesHarness.js'

test('an aborted decode fails and is cancelled at the engine', () => withEngine({ stepMs: 5 }, async (engine, standIn) => {
  const controller = new AbortController()
  await prefillAndImport(engine)
  const end = await engine.decode({ ...DECODE, maxOutputTokens: 10_000 }, () => controller.abort(), controller.signal)
  assert.is(end.type, 'failed')
  await eventually(() => standIn.state().usedKvBytes === 0)
}))

test('an aborted prefill leaves the queue', () => withEngine({ prefillTokensPerSecond: 1 }, async (engine, standIn) => {
  const controller = new AbortController()
  const prefill = engine.prefill(PREFILL, controller.signal)
  await eventually(() => standIn.state().attempts.length === 1)
  controller.abort()
  assert.is((await prefill).type, 'failed')
  await eventually(() => standIn.state().attempts.length === 0)
}))

test('a lost cancel is not confirmed and the memory stays held until the next cancel', () => withEngine({}, async (engine, standIn) => {
  await prefillAndImport(engine)
  standIn.injectFault({ mode: 'lose_cancel', count: 1 })
  assert.is(await engine.cancel(REF), false)
  assert.is(standIn.state().usedKvBytes, 100_000)
  assert.is(await engine.cancel(REF), true)
  assert.is(await engine.cancel(REF), true)
  assert.is(standIn.state().usedKvBytes, 0)
}))

test('a cancel that arrives before its call is remembered', () => withEngine({}, async (engine, standIn) => {
  assert.is(await engine.cancel(REF), true)
  assert.is((await engine.prefill(PREFILL, neverAborted)).type, 'failed')
  assert.equal(standIn.state().attempts, [])
}))

test('a restarted sidecar cancels all attempts that the engine holds', () => withEngine({}, async (engine, standIn) => {
  await prefillAndImport(engine)
  assert.is(await engine.cancelAll(), true)
  assert.equal(standIn.state().attempts, [])
}))

test('a transfer that stalls partway ends when the import is aborted', () => withEngine({}, async (engine, standIn) => {
  const controller = new AbortController()
  const result = await engine.prefill(PREFILL, neverAborted)
  if (result.type !== 'done') throw new Error(result.detail)
  standIn.injectFault({ mode: 'stall_transfer', pathPrefix: '/kv/' })
  const progress: number[] = []
  const outcome = await engine.importKv({ ...REF, ...result }, (bytes) => {
    progress.push(bytes)
    if (bytes === 50_000) controller.abort()
  }, controller.signal)
  assert.is(outcome.type === 'failed' && outcome.kvLost, false)
  assert.is(progress.at(-1), 50_000)
  await eventually(() => standIn.state().usedKvBytes === 0)
}))

test('an import that stalls before its transfer starts holds memory until a cancel', () => withEngine({}, async (engine, standIn) => {
  const result = await engine.prefill(PREFILL, neverAborted)
  if (result.type !== 'done') throw new Error(result.detail)
  standIn.injectFault({ mode: 'stall_transfer', pathPrefix: '/imports' })
  const outcome = engine.importKv({ ...REF, ...result }, () => {}, neverAborted)
  await eventually(() => standIn.state().usedKvBytes === 100_000)
  assert.is(await engine.cancel(REF), true)
  assert.is((await outcome).type, 'failed')
  assert.equal([standIn.state().usedKvBytes, standIn.state().exports], [0, 0])
}))

test('a caller that disconnects without a cancel frees its attempt if the engine detects disconnects', () => withEngine({ cancelsWhenLeft: true }, async (engine, standIn) => {
  await prefillAndImport(engine)
  const body = JSON.stringify({ ...DECODE, maxOutputTokens: 10_000 })
  const controller = new AbortController()
  const call = fetch(`${standIn.url}/decode`, { method: 'POST', body, signal: controller.signal })
  await (await call).body?.getReader().read()
  controller.abort()
  await eventually(() => standIn.state().attempts.length === 0)
}))

test('an import from a stopped source reports that the KV cache is lost', async () => {
  const source = await createEngineStandIn({ prefillTokensPerSecond: 1_000_000 })
  await source.close()
  await withEngine({}, async (engine) => {
    const outcome = await engine.importKv({ ...REF, handle: 'kv-1', exportUrl: `${source.url}/kv/kv-1`, kvBytes: 1 }, () => {}, neverAborted)
    assert.is(outcome.type === 'failed' && outcome.kvLost, true)
  })
})

test('a crash during a decode aborts the stream and loses the memory', () => withEngine({}, async (engine, standIn) => {
  await prefillAndImport(engine)
  standIn.injectFault({ mode: 'crash_decode', count: 1 })
  const tokens: string[] = []
  const end = await engine.decode(DECODE, (_index, batch) => tokens.push(...batch), neverAborted)
  assert.is(end.type, 'failed')
  assert.ok(tokens.length <= 1)
  assert.equal([standIn.state().usedKvBytes, standIn.state().handles], [0, []])
}))

for (const mode of ['garbage', 'half_answer', 'outage'] as const) {
  test(`a decode fails with a typed outcome under fault ${mode}`, () => withEngine({}, async (engine, standIn) => {
    await prefillAndImport(engine)
    standIn.injectFault({ mode, count: 1 })
    assert.is((await engine.decode(DECODE, () => {}, neverAborted)).type, 'failed')
  }))

  test(`a prefill, a report and an order fail with typed outcomes under fault ${mode}`, () => withEngine({}, async (engine, standIn) => {
    standIn.injectFault({ mode })
    assert.is((await engine.prefill(PREFILL, neverAborted)).type, 'failed')
    assert.is(await engine.report(), undefined)
    assert.is((await engine.order(1, { model: 'm', modelVersion: '1', adapters: [], role: 'decode', weightBytes: 1 })).type, 'failed')
    standIn.reset()
    assert.is((await engine.report())?.totalKvBytes, 1_000_000_000)
  }))
}

test.run()
