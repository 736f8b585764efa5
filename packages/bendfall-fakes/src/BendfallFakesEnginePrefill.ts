/**
 * Prefill side of the model engine stand-in: runs one prefill at a time in order
 * of priority, simulates a prefix cache, and keeps KV caches for export until they
 * are evicted.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { EnginePrefill } from 'bendfall-upstream'
import type { EngineContext, EngineState } from './BendfallFakesEngine.js'
import type { Exchange, JsonReply, Routes } from './BendfallFakesServer.js'

const MS_PER_SECOND = 1_000

interface StoredKvCache {
  readonly kvBytes: number
  readonly evictsAtMs: number
  exports: number
}

/** A change of the prefix cache, as `GET /cache-events` returns it. */
interface CacheEvent {
  readonly sequence: number
  readonly shownAtMs: number
  readonly type: 'evicted' | 'stored'
  readonly prefixHash: string
}

/** Routes and state of the prefill side. */
export interface EnginePrefillSide {
  readonly routes: Routes
  readonly state: () => Pick<EngineState, 'exports' | 'handles' | 'prefills'>
  readonly crash: () => void
}

/**
 * Creates the prefill side of an engine.
 *
 * @param context - state shared with the decode side
 * @returns routes and state
 */
export function createEnginePrefillSide (context: EngineContext): EnginePrefillSide {
  const { options, ledger, faults } = context
  const acquireSlot = createPrefillQueue()
  const cache = createPrefixCache(options.prefixCacheEntries, options.cacheEventLagMs, options.cacheEventGapEvery)
  const results = new Map<string, StoredKvCache>()
  let activeExports = 0
  let prefills = 0
  let exports = 0

  async function prefill (exchange: Exchange): Promise<JsonReply> {
    const request = exchange.json<EnginePrefill>()
    const held = ledger.open(request, 'prefill')
    if (held === undefined) return { body: { type: 'failed', detail: 'cancelled or running' } }
    context.bindConnection(exchange, held)
    const { signal } = held.controller
    const releaseSlot = await acquireSlot(request.priority, signal)
    try {
      const cachedTokens = Math.min(cache.lookUp(request.prefixHashes), request.promptTokens)
      await sleep((request.promptTokens - cachedTokens) / options.prefillTokensPerSecond * MS_PER_SECOND, undefined, { signal })
      cache.store(request.prefixHashes, request.promptTokens)
      return { body: { type: 'done', cachedTokens, ...storeResult(request.promptTokens * options.kvBytesPerToken) } }
    } catch {
      return { body: { type: 'failed', detail: 'cancelled' } }
    } finally {
      releaseSlot()
      ledger.release(held)
    }
  }

  function storeResult (kvBytes: number): object {
    prefills += 1
    const handle = `kv-${prefills}`
    results.set(handle, { kvBytes, evictsAtMs: performance.now() + options.evictsInMs, exports: 0 })
    setTimeout(() => evict(handle), options.evictsInMs).unref()
    return { handle, exportUrl: `${context.url()}/kv/${handle}`, kvBytes, evictsInMs: options.evictsInMs }
  }

  function evict (handle: string): void {
    const result = results.get(handle)
    // A KV cache is kept until its running exports have ended.
    if (result?.exports === 0) results.delete(handle)
  }

  async function exportKv (exchange: Exchange): Promise<JsonReply | undefined> {
    const handle = exchange.path.slice('/kv/'.length)
    const result = results.get(handle)
    if (result === undefined) return { status: 410, body: { type: 'gone' } }
    const stallAfterBytes = faults.consume('stall_transfer', exchange.path) === undefined ? Infinity : result.kvBytes / 2
    result.exports += 1
    activeExports += 1
    try {
      await streamProgress(exchange, result.kvBytes, stallAfterBytes)
    } finally {
      result.exports -= 1
      activeExports -= 1
      if (performance.now() >= result.evictsAtMs) evict(handle)
    }
  }

  async function streamProgress (exchange: Exchange, kvBytes: number, stallAfterBytes: number): Promise<void> {
    let sentBytes = 0
    let lastMs = performance.now()
    while (sentBytes < kvBytes && !exchange.disconnected.aborted) {
      await sleep(options.progressMs)
      const nowMs = performance.now()
      const linkBytes = options.linkBytesPerSecond * (nowMs - lastMs) / MS_PER_SECOND
      lastMs = nowMs
      if (sentBytes >= stallAfterBytes) continue
      sentBytes = Math.min(kvBytes, stallAfterBytes, sentBytes + Math.ceil(linkBytes / activeExports))
      exchange.writeLine({ type: 'progress', transferredBytes: sentBytes })
    }
    if (exchange.disconnected.aborted) return
    exports += 1
    exchange.writeLine({ type: 'done' })
  }

  return {
    routes: {
      'POST /prefill': prefill,
      'GET /kv/*': exportKv,
      'GET /cache-events': ({ query }) => ({ body: { events: cache.eventsSince(Number(query.get('since'))) } })
    },
    state: () => ({ handles: [...results.keys()], prefills, exports }),
    crash: () => {
      results.clear()
      cache.clear()
    }
  }
}

type AcquireSlot = (priority: number, signal: AbortSignal) => Promise<() => void>

function createPrefillQueue (): AcquireSlot {
  const waiting: Array<{ readonly priority: number, readonly start: () => void }> = []
  let busy = false

  function startNext (): void {
    const next = waiting.sort((left, right) => right.priority - left.priority).shift()
    busy = next !== undefined
    next?.start()
  }

  return (priority, signal) => new Promise((resolve) => {
    const waiter = { priority, start: () => resolve(startNext) }
    waiting.push(waiter)
    signal.addEventListener('abort', () => {
      const index = waiting.indexOf(waiter)
      if (index === -1) return
      waiting.splice(index, 1)
      resolve(() => {})
    })
    if (!busy) startNext()
  })
}

interface PrefixCache {
  /** Returns the number of tokens of the longest cached prefix. */
  readonly lookUp: (prefixHashes: readonly string[]) => number
  readonly store: (prefixHashes: readonly string[], promptTokens: number) => void
  readonly eventsSince: (sequence: number) => readonly object[]
  readonly clear: () => void
}

function createPrefixCache (maxEntries: number, eventLagMs: number, gapEvery: number): PrefixCache {
  const tokensByHash = new Map<string, number>()
  const events: CacheEvent[] = []
  let sequence = 0

  function recordEvent (type: CacheEvent['type'], prefixHash: string): void {
    sequence += 1
    if (gapEvery > 0 && sequence % gapEvery === 0) return
    events.push({ sequence, shownAtMs: performance.now() + eventLagMs, type, prefixHash })
  }

  function storePrefix (prefixHash: string, tokens: number): void {
    if (!tokensByHash.delete(prefixHash)) recordEvent('stored', prefixHash)
    tokensByHash.set(prefixHash, tokens)
    if (tokensByHash.size <= maxEntries) return
    const oldest = tokensByHash.keys().next().value as string
    tokensByHash.delete(oldest)
    recordEvent('evicted', oldest)
  }

  return {
    lookUp: (prefixHashes) => tokensByHash.get(prefixHashes.findLast((hash) => tokensByHash.has(hash)) ?? '') ?? 0,
    store: (prefixHashes, promptTokens) => {
      prefixHashes.forEach((hash, index) => storePrefix(hash, Math.floor(promptTokens * (index + 1) / prefixHashes.length)))
    },
    eventsSince: (since) => events.filter((event) => event.sequence > since && event.shownAtMs <= performance.now()),
    clear: () => tokensByHash.clear()
  }
}
