/**
 * Stand-in for the platform's key-value service, with rate limits and counters
 * for each kind of call.
 *
 * @module
 */
import type { CompareAndSwap } from 'bendfall-platform'
import { createKeyValueStore } from './BendfallFakesKeyValueStore.js'
import { startServer } from './BendfallFakesServer.js'
import type { Exchange, JsonReply, ListenOptions, RouteHandler, Routes, StandIn } from './BendfallFakesServer.js'

const DEFAULT_READS_PER_SECOND = 2_000
const DEFAULT_WRITES_PER_SECOND = 400
const MAX_VALUE_BYTES = 1024 * 1024
const RATE_WINDOW_MS = 1_000

/** Settings of the stand-in. */
export interface KeyValueOptions extends ListenOptions {
  /** Maximum number of reads per second; a long-polling watch counts as one read. */
  readonly readsPerSecond?: number
  /** Maximum number of writes and lease calls per second. */
  readonly writesPerSecond?: number
}

/** Kinds of calls that are counted. */
export type KeyValueCall = 'compare_and_swap' | 'get' | 'lease_grant' | 'lease_renew' | 'lease_revoke' | 'list' | 'watch'

/** Number of calls of each kind, including those rejected by the rate limit. */
export type KeyValueCalls = Readonly<Record<KeyValueCall, number>> & { readonly refused: number }

/** The running stand-in. */
export interface KeyValueStandIn extends StandIn {
  /** Returns the counters, as `GET /control/calls` does. */
  readonly calls: () => KeyValueCalls
}

/**
 * Starts the stand-in.
 *
 * @param options - rate limits and where to listen
 * @returns the running stand-in
 * @throws when the port cannot be bound
 */
export async function createKeyValueStandIn (options: KeyValueOptions = {}): Promise<KeyValueStandIn> {
  const store = createKeyValueStore()
  const tryRead = createRateLimit(options.readsPerSecond ?? DEFAULT_READS_PER_SECOND)
  const tryWrite = createRateLimit(options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND)
  const counts = { compare_and_swap: 0, get: 0, lease_grant: 0, lease_renew: 0, lease_revoke: 0, list: 0, watch: 0, refused: 0 }

  function rateLimited (call: KeyValueCall, tryAcquire: () => boolean, run: (exchange: Exchange) => unknown): RouteHandler {
    return async (exchange): Promise<JsonReply> => {
      counts[call] += 1
      if (tryAcquire()) return { body: await run(exchange) }
      counts.refused += 1
      return { status: 429, body: { type: 'unavailable', detail: 'rate limit' } }
    }
  }

  const routes: Routes = {
    'GET /control/calls': () => ({ body: counts }),
    'GET /get': rateLimited('get', tryRead, ({ query }) => store.get(query.get('key') ?? '')),
    'GET /list': rateLimited('list', tryRead, ({ query }) => store.list(query.get('prefix') ?? '')),
    'GET /watch': rateLimited('watch', tryRead, ({ query, disconnected }) =>
      store.watch(query.get('prefix') ?? '', Number(query.get('sinceRevision')), Number(query.get('waitMs')), disconnected)),
    'POST /compare-and-swap': rateLimited('compare_and_swap', tryWrite, (exchange) => {
      const write = exchange.json<CompareAndSwap>()
      if (Buffer.byteLength(write.value ?? '') > MAX_VALUE_BYTES) return { type: 'unavailable', detail: 'value too large' }
      return store.compareAndSwap(write)
    }),
    'POST /leases/grant': rateLimited('lease_grant', tryWrite, (exchange) => store.grantLease(exchange.json<{ ttlMs: number }>().ttlMs)),
    'POST /leases/renew': rateLimited('lease_renew', tryWrite, (exchange) => store.renewLease(exchange.json<{ leaseId: string }>().leaseId)),
    'POST /leases/revoke': rateLimited('lease_revoke', tryWrite, (exchange) => store.endLease(exchange.json<{ leaseId: string }>().leaseId))
  }
  const standIn = await startServer(options, { routes, onClose: store.close })
  return { ...standIn, calls: () => ({ ...counts }) }
}

function createRateLimit (callsPerSecond: number): () => boolean {
  let windowStartMs = -Infinity
  let used = 0
  return () => {
    const nowMs = performance.now()
    if (nowMs - windowStartMs >= RATE_WINDOW_MS) {
      windowStartMs = nowMs
      used = 0
    }
    used += 1
    return used <= callsPerSecond
  }
}
