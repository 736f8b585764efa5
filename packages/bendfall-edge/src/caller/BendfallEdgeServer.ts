/**
 * The HTTP server for callers: reads whole requests within the limits in force
 * and hands them to the update path.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { CallerLimits } from 'bendfall-router'
import type { CallerDialect, CallerRequest } from '../BendfallEdgeDialect.js'
import { registerCallerTurns } from './BendfallEdgeCallerTurns.js'
import { refuse } from './BendfallEdgeExchange.js'

/** A whole request of a caller. */
export interface WholeRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly caller: CallerRequest
  readonly body: Buffer
  /** @returns whether other requests wait for the end of this one's answer */
  readonly hasNext: () => boolean
}

/** What the server needs. */
export interface CallerServerOptions {
  readonly dialect: CallerDialect
  /** Limits in force. */
  readonly limits: () => CallerLimits
  readonly isStopping: () => boolean
  readonly onRequest: (request: WholeRequest) => void
  /** Told of requests that were not taken. */
  readonly onRejected: (status: number, message: string, requestId: string | undefined) => void
}

/** Limits before a configuration is known. */
export const FIRST_LIMITS: CallerLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

/** Connections are kept this much longer than callers use them, so that none is closed under a request. */
const IDLE_MARGIN_MS = 1_000

/** Heads of up to this size are parsed; the limit in force is checked after. */
const PARSED_HEAD_BYTES = 65_536

/** Time for the body beyond that for the head: bodies of some MB take this long over slow links. */
const BODY_TIMEOUT_MS = 30_000

/** The server for callers. */
export interface CallerServer {
  readonly server: Server
  /** Takes the limits of a new configuration. */
  readonly applyLimits: () => void
}

/**
 * Makes the server; it does not listen yet.
 *
 * @param options - dialect, limits and hooks
 * @returns the server
 */
export function createCallerServer (options: CallerServerOptions): CallerServer {
  const server = createServer({ maxHeaderSize: PARSED_HEAD_BYTES, connectionsCheckingInterval: 1_000 })
  const turns = registerCallerTurns(server)
  server.on('request', (request, response) => {
    const arrivedMs = performance.now()
    request.on('error', ignoreError)
    response.on('error', ignoreError)
    // Unread, the body of a request that waits keeps the end of its connection from being
    // seen, and a replica works on for a caller that has left; one body is read ahead at most.
    const readAhead = turns.waiting(request) === 0 ? readBody(request, options.limits().bodyBytes) : undefined
    const hasNext = (): boolean => turns.hasNext(request)
    turns.take(request, response, () => take(options, { request, response, hasNext, waitedMs: performance.now() - arrivedMs, readAhead }))
  })

  function applyLimits (): void {
    const limits = options.limits()
    server.headersTimeout = limits.headerTimeoutMs
    server.requestTimeout = limits.headerTimeoutMs + BODY_TIMEOUT_MS
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  applyLimits()
  return { server, applyLimits }
}

/** A request whose turn it is. */
interface StartedRequest extends Pick<WholeRequest, 'request' | 'response' | 'hasNext'> {
  readonly waitedMs: number
  /** Its body, where that was read while the request waited. */
  readonly readAhead?: BodyReader
}

function take (options: CallerServerOptions, { hasNext, readAhead, request, response, waitedMs }: StartedRequest): void {
  const reject = (status: number, message: string, requestId?: string): void => {
    options.onRejected(status, message, requestId)
    refuse(response, status, message, true, requestId)
  }
  const limits = options.limits()
  if (headBytes(request) > limits.headerBytes) return reject(431, 'request head too large')
  const read = options.dialect.readRequest(request.rawHeaders)
  if (read.isErr()) return reject(read.error.status, read.error.message)
  const caller = withoutWait(read.value, waitedMs)
  if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) return reject(413, 'request body too large', caller.requestId)
  const reader = readAhead ?? readBody(request, limits.bodyBytes)
  reader.onWhole((body) => {
    if (body === undefined) reject(413, 'request body too large', caller.requestId)
    else options.onRequest({ request, response, caller, body, hasNext })
  })
}

// The caller counts from when it sent the request, not from when its turn came.
function withoutWait (caller: CallerRequest, waitedMs: number): CallerRequest {
  return caller.deadlineMs === undefined ? caller : { ...caller, deadlineMs: caller.deadlineMs - waitedMs }
}

/** Reads a body from when it is made. */
interface BodyReader {
  /** @param listener - takes the body once it is whole; undefined where it is too large */
  readonly onWhole: (listener: (body: Buffer | undefined) => void) => void
}

function readBody (request: IncomingMessage, maxBytes: number): BodyReader {
  const chunks: Buffer[] = []
  let bytes = 0
  let isWhole = false
  let listener: (body: Buffer | undefined) => void = () => {}
  const tell = (): void => listener(bytes > maxBytes ? undefined : Buffer.concat(chunks))

  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes <= maxBytes) chunks.push(chunk)
  })
  // A request that breaks off never ends; its connection is gone then.
  request.once('end', () => {
    isWhole = true
    tell()
  })
  return {
    onWhole: (taken) => {
      listener = taken
      if (isWhole) tell()
    }
  }
}

function headBytes (request: IncomingMessage): number {
  const line = (request.method?.length ?? 0) + (request.url?.length ?? 0)
  return request.rawHeaders.reduce((sum, part) => sum + part.length, line)
}

// A broken connection also closes request and response, which ends the exchange.
function ignoreError (): void {}
