import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createWeightStoreStandIn, expectedTokens } from '../../index.js'
import { DECODE, PREFILL, REF, eventually, neverAborted, prefillAndImport, withEngine } from './BendfallFakesHarness.js'

const ORDER = { model: 'm', modelVersion: '1', adapters: [], role: 'decode', weightBytes: 1_000_000 } as const

test('a request holds no memory after prefill, transfer and decode', () => withEngine({}, async (engine, standIn) => {
  const progress: number[] = []
  await prefillAndImport(engine, (bytes) => progress.push(bytes))
  assert.is(progress.at(-1), 100_000)
  assert.is(standIn.state().usedKvBytes, 100_000)
  const tokens: string[] = []
  const end = await engine.decode(DECODE, (index, batch) => {
    assert.is(index, tokens.length)
    tokens.push(...batch)
  }, neverAborted)
  assert.equal(end, { type: 'finished', tokenCount: 5 })
  assert.equal(tokens, expectedTokens('tender', 5))
  assert.equal(standIn.state().attempts, [])
}))

test('a decode resumes after the tokens already sent', () => withEngine({ tokensPerStep: 2 }, async (engine) => {
  const allTokens = expectedTokens('tender', 5)
  const received: Array<readonly [number, readonly string[]]> = []
  await prefillAndImport(engine)
  await engine.decode({ ...DECODE, resumeTokens: allTokens.slice(0, 2) }, (index, tokens) => received.push([index, tokens]), neverAborted)
  assert.equal(received, [[2, allTokens.slice(2, 4)], [4, allTokens.slice(4)]])
  assert.not.equal(allTokens, expectedTokens('other', 5))
}))

test('prefills run one at a time, in order of priority', () => withEngine({}, async (engine, standIn) => {
  const ended: string[] = []
  const prefill = async (requestId: string, priority: number, promptTokens: number): Promise<void> => {
    const running = engine.prefill({ ...PREFILL, requestId, priority, promptTokens, prefixHashes: [] }, neverAborted).then(() => ended.push(requestId))
    await eventually(() => standIn.state().attempts.some((attempt) => attempt.requestId === requestId))
    runs.push(running)
  }
  const runs: Array<Promise<unknown>> = []
  await prefill('endless', 0, 1_000_000_000)
  await prefill('low', 1, 20_000)
  await prefill('high', 2, 20_000)
  await engine.cancel({ requestId: 'endless', attempt: 1 })
  await Promise.all(runs)
  assert.equal(ended, ['endless', 'high', 'low'])
}))

test('a prompt with a cached prefix is processed only in part', () => withEngine({ cacheEventGapEvery: 2 }, async (engine, standIn) => {
  await engine.prefill(PREFILL, neverAborted)
  const again = await engine.prefill({ ...PREFILL, requestId: 'r2', prefixHashes: ['a', 'z'] }, neverAborted)
  assert.is(again.type === 'done' && again.cachedTokens, 50)
  const response = await (await fetch(`${standIn.url}/cache-events?since=0`)).json() as { events: Array<{ prefixHash: string }> }
  assert.equal(response.events.map((event) => event.prefixHash), ['a', 'z'])
}))

test('an import of an evicted result reports that the KV cache is lost', () => withEngine({ evictsInMs: 0 }, async (engine, standIn) => {
  const outcome = await engine.importKv({ ...REF, handle: 'kv-1', exportUrl: `${standIn.url}/kv/kv-1`, kvBytes: 1 }, () => {}, neverAborted)
  assert.is(outcome.type === 'failed' && outcome.kvLost, true)
  assert.equal(standIn.state().attempts, [])
}))

test('an import that exceeds the memory fails and holds none', () => withEngine({ totalKvBytes: 99_999 }, async (engine, standIn) => {
  const result = await engine.prefill(PREFILL, neverAborted)
  if (result.type !== 'done') throw new Error(result.detail)
  assert.equal(await engine.importKv({ ...REF, ...result }, () => {}, neverAborted), { type: 'failed', kvLost: false, detail: 'memory full' })
  assert.equal(standIn.state().attempts, [])
}))

test('an engine that checks fencing tokens refuses an order with an old token', () => withEngine({}, async (engine, standIn) => {
  assert.equal(await engine.order(2, ORDER), { type: 'done' })
  assert.equal(await engine.order(1, ORDER), { type: 'stale' })
  assert.equal(standIn.state().fencingTokens, [2])
}))

test('an engine that does not check fencing tokens accepts an old order', () => withEngine({ checksFencing: false }, async (engine, standIn) => {
  await engine.order(2, ORDER)
  assert.equal(await engine.order(1, ORDER), { type: 'done' })
  assert.equal(standIn.state().fencingTokens, [2, 1])
}))

test('an order fails with a retry delay while the weight store is busy', async () => {
  const store = await createWeightStoreStandIn({ maxLoads: 0, retryAfterMs: 70 })
  await withEngine({ weightStoreUrl: store.url }, async (engine, standIn) => {
    assert.equal(await engine.order(1, ORDER), { type: 'failed', detail: 'weight store is busy', retryAfterMs: 70 })
    assert.is(standIn.state().order, undefined)
  })
  assert.equal(store.loads(), { done: 0, refused: 1 })
  await store.close()
})

test.run()
