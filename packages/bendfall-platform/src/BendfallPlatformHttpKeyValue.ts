/**
 * Adapter of the platform's key-value service over HTTP and JSON. Responses are checked before
 * use, and a malformed one counts as `unavailable`, or as `unknown` for a write.
 *
 * @module
 */
import { isArrayOf, isNumber, isObjectOf, isString, parseResponse } from './BendfallPlatformResponse.js'
import type { ShapesByType } from './BendfallPlatformResponse.js'
import { createHttpExchanger } from './BendfallPlatformHttp.js'
import type { HttpExchanger, HttpRequest } from './BendfallPlatformHttp.js'
import type { CompareAndSwap, KeyValuePort, LeaseOutcome, ListOutcome, ReadOutcome, WatchOutcome, WriteOutcome } from './BendfallPlatformKeyValue.js'

const DEFAULT_TIMEOUT_MS = 2_000
const JSON_HEADERS = { 'content-type': 'application/json' }

const ENTRY = { key: isString, value: isString, revision: isNumber, leaseId: isString }
const ENTRIES = isArrayOf(isObjectOf(ENTRY))
const UNAVAILABLE = { unavailable: { detail: isString } }
const READ_SHAPES: ShapesByType = { ...UNAVAILABLE, found: { entry: isObjectOf(ENTRY) }, missing: { storeRevision: isNumber } }
const LIST_SHAPES: ShapesByType = { ...UNAVAILABLE, listed: { entries: ENTRIES, storeRevision: isNumber } }
const WRITE_SHAPES: ShapesByType = { ...UNAVAILABLE, applied: { revision: isNumber }, conflict: { currentRevision: isNumber } }
const LEASE_SHAPES: ShapesByType = { ...UNAVAILABLE, granted: { leaseId: isString, ttlMs: isNumber }, lapsed: {} }
const WATCH_SHAPES: ShapesByType = {
  ...UNAVAILABLE,
  changed: { entries: ENTRIES, deletedKeys: isArrayOf(isString), storeRevision: isNumber },
  unchanged: { storeRevision: isNumber }
}

/** Options of the adapter. */
export interface HttpKeyValueOptions {
  /** Origin of the service. */
  readonly origin: string
  /** Timeout of a call; for a watch, its wait is added. */
  readonly timeoutMs?: number
}

interface Unavailable {
  readonly type: 'unavailable'
  readonly detail: string
}

/**
 * Creates the adapter. The outcome of a write or lease call that the service rejects without
 * executing it (rate limit, outage, lapsed lease of a key) is `unavailable`. For a revoked
 * lease it is `lapsed`.
 *
 * @param options - origin and timeouts
 * @returns the port; close it to free its connections
 */
export function createHttpKeyValue (options: HttpKeyValueOptions): KeyValuePort {
  const http = createHttpExchanger({ origin: options.origin })
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
  const read = <T extends { readonly type: string }>(path: string, shapes: ShapesByType, waitMs = 0): Promise<T | Unavailable> =>
    sendRequest<T>(http, { method: 'GET', path, timeoutMs: timeoutMs + waitMs }, shapes)
  const lease = (path: string, body: object): Promise<LeaseOutcome> =>
    sendRequest<LeaseOutcome>(http, post(path, body, timeoutMs), LEASE_SHAPES)

  return {
    get: (key) => read<ReadOutcome>(`/get?${new URLSearchParams({ key })}`, READ_SHAPES),
    list: (prefix) => read<ListOutcome>(`/list?${new URLSearchParams({ prefix })}`, LIST_SHAPES),
    watch: (prefix, sinceRevision, waitMs) => {
      const query = new URLSearchParams({ prefix, sinceRevision: String(sinceRevision), waitMs: String(waitMs) })
      return read<WatchOutcome>(`/watch?${query}`, WATCH_SHAPES, waitMs)
    },
    compareAndSwap: (write) => writeOnce(http, write, timeoutMs),
    grantLease: (ttlMs) => lease('/leases/grant', { ttlMs }),
    renewLease: (leaseId) => lease('/leases/renew', { leaseId }),
    revokeLease: (leaseId) => lease('/leases/revoke', { leaseId }),
    close: () => http.close()
  }
}

function post (path: string, body: object, timeoutMs: number): HttpRequest {
  return { method: 'POST', path, headers: JSON_HEADERS, body: JSON.stringify(body), timeoutMs }
}

async function sendRequest<T extends { readonly type: string }> (http: HttpExchanger, request: HttpRequest, shapes: ShapesByType): Promise<T | Unavailable> {
  const response = await http.send(request)
  if (response.isErr()) return { type: 'unavailable', detail: response.error.detail }
  const outcome = parseResponse<T>(response.value.body, shapes)
  return outcome.isOk() ? outcome.value : { type: 'unavailable', detail: outcome.error }
}

async function writeOnce (http: HttpExchanger, write: CompareAndSwap, timeoutMs: number): Promise<WriteOutcome> {
  const response = await http.send(post('/compare-and-swap', write, timeoutMs))
  if (response.isErr()) return { type: response.error.reached ? 'unknown' : 'unavailable', detail: response.error.detail }
  const outcome = parseResponse<WriteOutcome>(response.value.body, WRITE_SHAPES)
  return outcome.isOk() ? outcome.value : { type: 'unknown', detail: outcome.error }
}
