/**
 * Adapter of a model engine over HTTP, with JSON responses, and streams of newline-delimited
 * JSON for imports and decodes.
 *
 * @module
 */
import type { EngineReport } from 'bendfall-core'
import { createHttpExchanger, isArrayOf, isBoolean, isNumber, isString, parseResponse } from 'bendfall-platform'
import type { HttpExchanger, HttpFailure, HttpRequest, ShapesByType } from 'bendfall-platform'
import type { AttemptRef, EngineDecodeOutcome, EngineImportOutcome, EngineOrderOutcome, EnginePort, EnginePrefillOutcome } from './BendfallUpstreamEngine.js'

const DEFAULT_CONTROL_TIMEOUT_MS = 2_000
const DEFAULT_PREFILL_TIMEOUT_MS = 120_000
const DEFAULT_ORDER_TIMEOUT_MS = 600_000
const DEFAULT_STREAM_IDLE_MS = 30_000
const ORDER_RETRY_AFTER_MS = 1_000
const JSON_HEADERS = { 'content-type': 'application/json' }

const FAILED = { detail: isString }
const PREFILL_SHAPES: ShapesByType = {
  done: { handle: isString, exportUrl: isString, kvBytes: isNumber, cachedTokens: isNumber, evictsInMs: isNumber },
  failed: FAILED
}
const IMPORT_SHAPES: ShapesByType = {
  progress: { transferredBytes: isNumber },
  done: {},
  failed: { ...FAILED, kvLost: isBoolean }
}
const DECODE_SHAPES: ShapesByType = {
  tokens: { index: isNumber, tokens: isArrayOf(isString) },
  finished: { tokenCount: isNumber },
  failed: FAILED
}
const ORDER_SHAPES: ShapesByType = { done: {}, stale: {}, failed: { ...FAILED, retryAfterMs: isNumber } }
const CANCEL_SHAPES: ShapesByType = { cancelled: {} }
const REPORT_SHAPES: ShapesByType = {
  report: { usedKvBytes: isNumber, totalKvBytes: isNumber, stepMs: isNumber, prefillTokensPerSecond: isNumber }
}

type ImportLine = EngineImportOutcome | { readonly type: 'progress', readonly transferredBytes: number }
type DecodeLine = EngineDecodeOutcome | { readonly type: 'tokens', readonly index: number, readonly tokens: readonly string[] }

/** Options of the adapter. */
export interface HttpEngineOptions {
  /** Origin of the engine next to the sidecar. */
  readonly origin: string
  /** Timeout of cancels and reports. */
  readonly controlTimeoutMs?: number
  /** Timeout of a prefill, including its wait in the engine's queue. */
  readonly prefillTimeoutMs?: number
  /** Timeout of an order, including the time to load weights. */
  readonly orderTimeoutMs?: number
  /** Longest time between two chunks of an import or decode. */
  readonly streamIdleMs?: number
}

/**
 * Creates the adapter. Aborting a prefill, import or decode sends one cancel, without
 * retries; callers that need confirmation repeat `cancel` until it returns true.
 *
 * @param options - origin and timeouts
 * @returns the port; close it to free its connections
 */
export function createHttpEngine (options: HttpEngineOptions): EnginePort {
  const http = createHttpExchanger({ origin: options.origin })
  const controlTimeoutMs = options.controlTimeoutMs ?? DEFAULT_CONTROL_TIMEOUT_MS
  const prefillTimeoutMs = options.prefillTimeoutMs ?? DEFAULT_PREFILL_TIMEOUT_MS
  const orderTimeoutMs = options.orderTimeoutMs ?? DEFAULT_ORDER_TIMEOUT_MS
  const streamIdleMs = options.streamIdleMs ?? DEFAULT_STREAM_IDLE_MS

  const confirm = async (path: string, body: object): Promise<boolean> =>
    await sendRequest(http, post(path, body, controlTimeoutMs), CANCEL_SHAPES, () => undefined) !== undefined
  const cancel = ({ requestId, attempt }: AttemptRef): Promise<boolean> => confirm('/cancel', { requestId, attempt })
  const cancelIfAborted = (failure: HttpFailure, ref: AttemptRef): void => {
    if (failure.kind === 'aborted' && failure.reached) cancel(ref)
  }

  return {
    prefill: (prefill, signal) => sendRequest<EnginePrefillOutcome>(http, post('/prefill', prefill, prefillTimeoutMs, signal), PREFILL_SHAPES, (failure) => {
      cancelIfAborted(failure, prefill)
      return { type: 'failed', detail: failure.detail }
    }),
    importKv: (transfer, onProgress, signal) => streamLines<ImportLine, EngineImportOutcome>(http, post('/imports', transfer, streamIdleMs, signal), IMPORT_SHAPES, {
      onLine: (line) => line.type === 'progress' ? onProgress(line.transferredBytes) : line,
      onFailure: (failure) => {
        cancelIfAborted(failure, transfer)
        return { type: 'failed', kvLost: false, detail: failure.detail }
      }
    }),
    decode: (decode, onTokens, signal) => streamLines<DecodeLine, EngineDecodeOutcome>(http, post('/decode', decode, streamIdleMs, signal), DECODE_SHAPES, {
      onLine: (line) => line.type === 'tokens' ? onTokens(line.index, line.tokens) : line,
      onFailure: (failure) => {
        cancelIfAborted(failure, decode)
        return { type: 'failed', detail: failure.detail }
      }
    }),
    cancel,
    cancelAll: () => confirm('/cancel-all', {}),
    report: () => sendRequest<EngineReport | undefined>(http, { method: 'GET', path: '/report', timeoutMs: controlTimeoutMs }, REPORT_SHAPES, () => undefined),
    order: (fencingToken, order) => sendRequest<EngineOrderOutcome>(http, post('/orders', { fencingToken, order }, orderTimeoutMs), ORDER_SHAPES, (failure) =>
      ({ type: 'failed', detail: failure.detail, retryAfterMs: ORDER_RETRY_AFTER_MS })),
    close: () => http.close()
  }
}

function post (path: string, body: object, timeoutMs: number, signal?: AbortSignal): HttpRequest {
  return { method: 'POST', path, headers: JSON_HEADERS, body: JSON.stringify(body), timeoutMs, ...(signal === undefined ? {} : { signal }) }
}

function malformedResponse (detail: string): HttpFailure {
  return { kind: 'broken', reached: true, detail }
}

async function sendRequest<T> (http: HttpExchanger, request: HttpRequest, shapes: ShapesByType, onFailure: (failure: HttpFailure) => T): Promise<T> {
  const response = await http.send(request)
  if (response.isErr()) return onFailure(response.error)
  const outcome = parseResponse<T & { readonly type: string }>(response.value.body, shapes)
  return outcome.isOk() ? outcome.value : onFailure(malformedResponse(`status ${response.value.status}, ${outcome.error}`))
}

interface LineHandlers<Line, T> {
  /** Returns the outcome if the line is the last one. */
  readonly onLine: (line: Line) => T | void
  readonly onFailure: (failure: HttpFailure) => T
}

async function streamLines<Line extends { readonly type: string }, T> (http: HttpExchanger, request: HttpRequest, shapes: ShapesByType, handlers: LineHandlers<Line, T>): Promise<T> {
  let last: T | undefined
  const end = await http.sendForLines(request, (text) => {
    const line = parseResponse<Line>(text, shapes)
    if (line.isErr()) throw new Error(line.error)
    last = handlers.onLine(line.value) ?? last
  })
  if (last !== undefined) return last
  return handlers.onFailure(end.isErr() ? end.error : malformedResponse('stream ended without an outcome'))
}
