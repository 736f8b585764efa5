/**
 * A caller's request and the response to it. Each response marks its own end by a length or by chunked
 * coding, whatever the framing of the replica's response, so that a response that is aborted, also
 * because the process is killed, never looks complete. Only callers of HTTP/1.0, which has no chunked
 * coding, get close-delimited responses, and only where the length isn't known in advance.
 *
 * @module
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import { toCallerHeaders } from './BendfallEdgeHeaders.js'
import type { CallerRequest } from '../BendfallEdgeDialect.js'

/** A replica's complete response, buffered in memory. */
export interface BufferedResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** Decoded request of a caller with the server objects that it arrived with. */
export interface ExchangeInit {
  readonly key: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly caller: CallerRequest
  readonly body: Buffer
  /** Whether the caller's socket may not have been read to its end before the request was started. */
  readonly mayHideClose?: boolean
}

/** What is buffered of a replica's response before it is written to the caller. */
export interface ReplicaBuffer {
  /** Bytes of a response that is not passed on before it is complete. */
  readonly heldBytes: number
  /** Bytes read ahead from the replica's connection, which is paused while the caller reads slowly. */
  readonly readAheadBytes: number
}

/** A caller's request and the response to it. */
export interface Exchange extends ExchangeInit {
  /** Sends a complete response. */
  readonly deliver: (response: BufferedResponse) => void
  /** Sends the status and headers of a response whose body follows. */
  readonly start: (status: number, headers: IncomingHttpHeaders) => void
  /** @returns false if the caller reads more slowly than the replica writes; `onDrain` follows */
  readonly write: (chunk: Buffer, onDrain: () => void) => boolean
  /** Ends a started response; aborts one that has not been started. */
  readonly end: () => void
  /** Sends an error response of the router; aborts a response that has already been started. */
  readonly refuse: (status: number, reason: string, retryAfterMs?: number) => void
  /** Aborts the connection, so that the response doesn't look complete. Nothing more is sent. */
  readonly cut: () => void
  /** Like `cut`, but synchronously; used when the process exits. */
  readonly cutNow: () => void
  /** @returns whether the caller has closed the connection, as far as it has been read */
  readonly hasLeft: () => boolean
  /** @returns bytes of the response that wait in this process for the caller to read, with those read ahead */
  readonly unreadBytes: () => number
  /** @returns bytes that the system has taken for the caller's connection */
  readonly sentBytes: () => number
  /** Returns what the current send buffers of the replica's response; set by it. */
  replicaBuffer?: () => ReplicaBuffer
}

const MS_PER_SECOND = 1_000

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304])

/**
 * Delay between the last bytes of a response and the reset of its connection. With 10 ms, 0 of
 * 500 callers received both together; with 2 ms, 5 did.
 */
export const RESET_DELAY_MS = 10

/**
 * Creates the exchange of a request.
 *
 * @param init - decoded request and server objects
 * @param isStopping - whether the connection is to be closed after the response
 * @returns the exchange
 */
export function createExchange (init: ExchangeInit, isStopping: () => boolean): Exchange {
  const { caller, response } = init

  let isCloseDelimited = false
  let isCut = false

  function writeHead (status: number, headers: IncomingHttpHeaders, bodyBytes?: number): void {
    const hasBody = init.request.method !== 'HEAD' && !NO_BODY_STATUSES.has(status)
    if (hasBody && bodyBytes !== undefined) response.setHeader('content-length', bodyBytes)
    if (isStopping()) response.setHeader('connection', 'close')
    response.writeHead(status, toCallerHeaders(headers))
    const hasLength = bodyBytes !== undefined || headers['content-length'] !== undefined
    isCloseDelimited = hasBody && !hasLength && !response.chunkedEncoding
  }

  function cut (): void {
    isCut = true
    if (!isCloseDelimited) response.destroy()
    // 61 of 500 callers that received the last bytes and the reset together treated it as a graceful close.
    else setTimeout(cutNow, RESET_DELAY_MS)
  }

  function cutNow (): void {
    isCut = true
    // A close-delimited response would look complete if its connection were closed gracefully.
    if (isCloseDelimited) response.socket?.resetAndDestroy()
    response.destroy()
  }

  return {
    ...init,
    deliver: ({ body, headers, status }) => {
      if (response.headersSent || response.destroyed) return
      writeHead(status, headers, body.length)
      response.end(body)
    },
    start: (status, headers) => {
      if (!response.headersSent) writeHead(status, headers)
    },
    write: (chunk, onDrain) => {
      if (isCut || response.destroyed || response.write(chunk)) return true
      response.once('drain', onDrain)
      return false
    },
    end: () => {
      if (isCut) return
      if (response.headersSent) response.end()
      else cut()
    },
    refuse: (status, reason, retryAfterMs) => {
      if (response.headersSent) cut()
      else refuse(response, status, reason, isStopping(), caller.requestId, retryAfterMs)
    },
    cut,
    cutNow,
    hasLeft: () => response.destroyed || init.request.socket.destroyed || init.request.socket.readableEnded,
    unreadBytes () { return response.writableLength + (this.replicaBuffer?.().readAheadBytes ?? 0) },
    sentBytes: () => (response.socket?.bytesWritten ?? 0) - (response.socket?.writableLength ?? 0)
  }
}

/**
 * Sends an error response of the router; destroys a response that has already been started.
 *
 * @param response - response that has not been started
 * @param status - HTTP status
 * @param reason - human-readable error for the response body
 * @param isClosing - whether to close the connection after the response
 * @param requestId - request id of the caller to echo, if it sent one
 * @param retryAfterMs - delay after which the caller should retry; omitted: no `Retry-After` header
 */
export function refuse (response: ServerResponse, status: number, reason: string, isClosing: boolean, requestId?: string, retryAfterMs?: number): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  const body = Buffer.from(JSON.stringify({ error: reason }))
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    ...(requestId === undefined ? {} : { 'x-request-id': requestId }),
    ...(retryAfterMs === undefined ? {} : { 'retry-after': (retryAfterMs / MS_PER_SECOND).toFixed(2) }),
    ...(isClosing ? { connection: 'close' } : {})
  })
  response.end(body)
}
