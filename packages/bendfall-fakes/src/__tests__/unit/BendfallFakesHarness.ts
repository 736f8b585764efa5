import * as assert from 'uvu/assert'
import { createHttpEngine } from 'bendfall-upstream'
import type { EnginePort } from 'bendfall-upstream'
import { createEngineStandIn } from '../../index.js'
import type { EngineOptions, EngineStandIn } from '../../index.js'

const FAST_ENGINE: EngineOptions = { prefillTokensPerSecond: 1_000_000, stepMs: 1, progressMs: 1, kvBytesPerToken: 1_000, evictsInMs: 20_000 }
const MAX_WAIT_MS = 5_000

export const REF = { requestId: 'r1', attempt: 1 }
export const PREFILL = { ...REF, model: 'm', prompt: 'tender', promptTokens: 100, prefixHashes: ['a', 'b'], priority: 1 }
export const DECODE = { ...REF, model: 'm', prompt: 'tender', maxOutputTokens: 5, resumeTokens: [], priority: 1 }
export const neverAborted: AbortSignal = new AbortController().signal

export async function withEngine (options: EngineOptions, run: (engine: EnginePort, standIn: EngineStandIn) => Promise<void>): Promise<void> {
  const standIn = await createEngineStandIn({ ...FAST_ENGINE, ...options })
  const engine = createHttpEngine({ origin: standIn.url, controlTimeoutMs: 1_000, streamIdleMs: 5_000 })
  try {
    await run(engine, standIn)
  } finally {
    await engine.close()
    await standIn.close()
  }
}

export async function prefillAndImport (engine: EnginePort, onProgress: (bytes: number) => void = () => {}): Promise<void> {
  const result = await engine.prefill(PREFILL, neverAborted)
  if (result.type !== 'done') throw new Error(result.detail)
  assert.equal(await engine.importKv({ ...REF, ...result }, onProgress, neverAborted), { type: 'done' })
}

export async function eventually (condition: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + MAX_WAIT_MS
  while (!condition()) {
    assert.ok(performance.now() < deadlineMs, 'the condition must hold in time')
    await new Promise((resolve) => setImmediate(resolve))
  }
}
