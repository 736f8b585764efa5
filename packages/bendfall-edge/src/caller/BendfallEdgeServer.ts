/**
 * HTTP server for callers: reads complete requests, enforces the configured limits and passes the
 * requests on for routing.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { honouredRetryMs } from 'bendfall-router'
import type { CallerLimits } from 'bendfall-router'
import type { CallerDialect, CallerRequest } from '../BendfallEdgeDialect.js'
import { declaredBytesOf, startBodyReader } from './BendfallEdgeBodyReader.js'
import type { BodyReader } from './BendfallEdgeBodyReader.js'
import { refuse } from './BendfallEdgeExchange.js'
import { retryAfterMsOf } from './BendfallEdgeMemoryPolicy.js'
import { createRequestMemory } from './BendfallEdgeRequestMemory.js'
import type { RequestMemory, Reservation } from './BendfallEdgeRequestMemory.js'
import { registerRequestPipeline } from './BendfallEdgeRequestPipeline.js'

/** A caller's request whose body has been read completely. */
export interface CompleteRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly caller: CallerRequest
  readonly body: Buffer
  /** Whether the socket may not have been read to its end while the request was queued behind another one. */
  readonly mayHideClose: boolean
  /** @returns whether other requests on the same connection wait for this response to end */
  readonly hasNext: () => boolean
}

/** Dependencies of the server. */
export interface CallerServerOptions {
  readonly dialect: CallerDialect
  /** Returns the limits that currently apply. */
  readonly limits: () => CallerLimits
  readonly isStopping: () => boolean
  /** Returns undefined if a new request is admitted, else the milliseconds after which its caller should return; omitted: all are admitted. */
  readonly refuseNew?: () => number | undefined
  /** Memory of the requests; omitted: it is not bounded. */
  readonly memory?: RequestMemory
  /** Returns whether a connection that is accepted now may have waited for long; omitted: none has. */
  readonly isAcceptLate?: () => boolean
  /** Returns how long data that is read now has been unread at least; called once for each read. Omitted: unknown. */
  readonly observeRead?: () => number
  readonly onRequest: (request: CompleteRequest) => void
  /** Called for requests that were rejected. */
  readonly onRejected: (status: number, message: string, requestId: string | undefined) => void
}

/** Limits that apply until a configuration is known. */
export const INITIAL_LIMITS: CallerLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

const SERVICE_UNAVAILABLE = 503
const REQUEST_TIMEOUT = 408
const CONTENT_TOO_LARGE = 413

/** Memory of a request besides its head and body: its objects, and what the router keeps about it. */
const REQUEST_OVERHEAD_BYTES = 8_192

/** Added to the callers' idle timeout, so that no connection is closed while a request is being sent. */
const IDLE_MARGIN_MS = 1_000

/** Maximum request head that the parser accepts; the configured limit is checked afterwards. */
const MAX_PARSED_HEAD_BYTES = 65_536

/** Time for the body in addition to that for the head; bodies of several MB take this long over slow links. */
const BODY_TIMEOUT_MS = 30_000

/** The server for callers. */
export interface CallerServer {
  readonly server: Server
  /** Applies the limits of a new configuration. */
  readonly applyLimits: () => void
}

/**
 * Creates the server without listening.
 *
 * @param options - request decoder, limits and callbacks
 * @returns the server
 */
export function createCallerServer (options: CallerServerOptions): CallerServer {
  const server = createServer({ maxHeaderSize: MAX_PARSED_HEAD_BYTES, connectionsCheckingInterval: 1_000 })
  const pipeline = registerRequestPipeline(server)
  const memory = options.memory ?? createRequestMemory(Infinity)
  const readers = new Set<OpenReader>()
  // What is held for the requests of each connection. The responses to queued requests emit no `close` if their
  // connection ends, and a listener for each of them would be added to a connection that is kept open.
  const teardowns = new WeakMap<object, Set<() => void>>()
  if (options.observeRead !== undefined) server.on('connection', options.observeRead)
  // Their first request and a close behind it may have arrived together, but are read in two turns of the event loop.
  const lateConnections = new WeakSet<object>()
  server.on('connection', (socket) => {
    if (options.isAcceptLate?.() === true) lateConnections.add(socket)
    const pending = new Set<() => void>()
    teardowns.set(socket, pending)
    socket.once('close', () => { for (const teardown of pending) teardown() })
  })
  server.on('request', (request, response) => {
    const arrivedMs = performance.now() - (options.observeRead?.() ?? 0)
    request.on('error', ignoreError)
    response.on('error', ignoreError)
    // While the body of a queued request is unread, the end of its connection goes unnoticed and
    // a replica keeps working for a caller that has disconnected. At most one body is read ahead.
    const isNext = pipeline.waiting(request) === 0
    const mayHideClose = lateConnections.delete(request.socket) || !isNext
    const started = { request, response, hasNext: () => pipeline.hasNext(request), mayHideClose, arrivedMs, reservation: reserve(request, response) }
    const readAhead = isNext ? readBody(started) : undefined
    pipeline.enqueue(request, response, () => handleRequest(options, { ...started, readAhead, readBody: () => readAhead ?? readBody(started) }))
  })

  function reserve (request: IncomingMessage, response: ServerResponse): Reservation | undefined {
    const reservation = memory.reserve(headBytes(request) + REQUEST_OVERHEAD_BYTES)
    if (reservation !== undefined) onRequestEnd(request, response, reservation.release)
    return reservation
  }

  // Calls back when the response has been sent or the connection ends.
  function onRequestEnd ({ socket }: IncomingMessage, response: ServerResponse, teardown: () => void): void {
    const pending = teardowns.get(socket)
    pending?.add(teardown)
    response.once('close', () => {
      pending?.delete(teardown)
      teardown()
    })
  }

  function readBody ({ arrivedMs, request, reservation, response }: ArrivedRequest): OpenReader | undefined {
    const maxBytes = options.limits().bodyBytes
    if (reservation === undefined || (declaredBytesOf(request) ?? 0) > maxBytes) return undefined
    const body = startBodyReader(request, { maxBytes, reservation, makeRoom: refuseStalled })
    if (body === undefined) return undefined
    const reader: OpenReader = { body, deadlineAtMs: arrivedMs + BODY_TIMEOUT_MS, isRefused: false, onRefused: () => {} }
    readers.add(reader)
    onRequestEnd(request, response, () => readers.delete(reader))
    return reader
  }

  // Bodies that are stalled, or won't be complete before their callers give up, make room for others. While
  // the event loop is late, their bytes may have arrived unread.
  function refuseStalled (): void {
    if (options.isAcceptLate?.() === true) return
    const nowMs = performance.now()
    for (const reader of [...readers]) {
      if (!reader.body.isStalled(nowMs, reader.deadlineAtMs)) continue
      readers.delete(reader)
      reader.body.discard()
      reader.isRefused = true
      reader.onRefused()
    }
  }

  function applyLimits (): void {
    const limits = options.limits()
    server.headersTimeout = limits.headerTimeoutMs
    server.requestTimeout = limits.headerTimeoutMs + BODY_TIMEOUT_MS
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  applyLimits()
  return { server, applyLimits }
}

/** A body that is being read for a request. */
interface OpenReader {
  readonly body: BodyReader
  deadlineAtMs: number
  /** Whether the request is refused because its body was stalled. */
  isRefused: boolean
  /** Called when that happens, once the request has reached the head of its queue. */
  onRefused: () => void
}

/** A request whose head has arrived. */
interface ArrivedRequest extends Pick<CompleteRequest, 'request' | 'response' | 'mayHideClose' | 'hasNext'> {
  readonly arrivedMs: number
  /** Memory of the request; undefined if there was no room. */
  readonly reservation?: Reservation
}

/** A request that has reached the head of its connection's queue. */
interface StartedRequest extends ArrivedRequest {
  /** Reader of the body, if it began while the request was queued. */
  readonly readAhead?: OpenReader
  /** Returns that reader or begins to read the body; undefined if there is no memory. */
  readonly readBody: () => OpenReader | undefined
}

function handleRequest (options: CallerServerOptions, { arrivedMs, hasNext, mayHideClose, readAhead, readBody, request, reservation, response }: StartedRequest): void {
  const reject = (status: number, message: string, requestId?: string): void => {
    options.onRejected(status, message, requestId)
    refuse(response, status, message, true, requestId)
  }
  // Frees the memory at once. The connection stays open until the rest of the body has been read and
  // discarded: unread bytes would reset it before the caller has read the refusal.
  const refuseForMemory = (retryAfterMs: number, { deadlineMs, requestId }: CallerRequest): void => {
    readAhead?.body.discard()
    reservation?.release()
    request.resume()
    options.onRejected(SERVICE_UNAVAILABLE, 'memory low', requestId)
    refuse(response, SERVICE_UNAVAILABLE, 'memory_low', options.isStopping() && !hasNext(), requestId, honouredRetryMs(deadlineMs, retryAfterMs))
  }
  const limits = options.limits()
  if (headBytes(request) > limits.headerBytes) return reject(431, 'request head too large')
  const decoded = options.dialect.readRequest(request.rawHeaders)
  if (decoded.isErr()) return reject(decoded.error.status, decoded.error.message)
  const caller = subtractQueueTime(decoded.value, performance.now() - arrivedMs)
  const { deadlineMs = BODY_TIMEOUT_MS, requestId } = caller
  if ((declaredBytesOf(request) ?? 0) > limits.bodyBytes) return reject(CONTENT_TOO_LARGE, 'request body too large', requestId)
  const retryAfterMs = options.refuseNew?.()
  const reader = retryAfterMs === undefined ? readBody() : undefined
  if (reader === undefined) return refuseForMemory(retryAfterMs ?? retryAfterMsOf(Math.random()), caller)
  reader.deadlineAtMs = performance.now() + Math.min(deadlineMs, BODY_TIMEOUT_MS)
  reader.onRefused = () => reject(REQUEST_TIMEOUT, 'request body stalled', requestId)
  if (reader.isRefused) return reader.onRefused()
  reader.body.onComplete((outcome) => {
    if (outcome.type === 'complete') return options.onRequest({ request, response, caller, body: outcome.body, mayHideClose, hasNext })
    reader.body.discard()
    if (outcome.type === 'too_large') reject(CONTENT_TOO_LARGE, 'request body too large', requestId)
    else refuseForMemory(retryAfterMsOf(Math.random()), caller)
  })
}

// The caller's deadline starts when it sends the request, not when the request leaves the queue.
function subtractQueueTime (caller: CallerRequest, queuedMs: number): CallerRequest {
  return caller.deadlineMs === undefined ? caller : { ...caller, deadlineMs: caller.deadlineMs - queuedMs }
}

function headBytes (request: IncomingMessage): number {
  const line = (request.method?.length ?? 0) + (request.url?.length ?? 0)
  return request.rawHeaders.reduce((sum, part) => sum + part.length, line)
}

// An error of the connection also closes request and response, which ends the exchange.
function ignoreError (): void {}
