/**
 * One request of a caller and the answer to it.
 *
 * @module
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import { framingOf } from 'bendfall-platform'
import { toCallerHeaders } from './BendfallEdgeHeaders.js'
import type { CallerRequest } from '../BendfallEdgeDialect.js'

/** A replica's answer that is held whole. */
export interface HeldAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** Reads the headers of a caller's request after which nothing else is known of it. */
export interface ExchangeInit {
  readonly key: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly caller: CallerRequest
  readonly body: Buffer
}

/** One request and its answer. */
export interface Exchange extends ExchangeInit {
  /** Sends a whole answer. */
  readonly deliver: (answer: HeldAnswer) => void
  /** Sends the head of an answer whose body follows. */
  readonly start: (status: number, headers: IncomingHttpHeaders) => void
  /** @returns false when the caller reads slower than the replica writes */
  readonly write: (chunk: Buffer, onDrain: () => void) => boolean
  /** @returns whether the caller learns the end of the answer that has begun from its connection only */
  readonly endsWithConnection: () => boolean
  /** Ends an answer that has begun; one that has not is cut. */
  readonly end: () => void
  /** Answers in the router's own name; an answer that has begun is cut. */
  readonly refuse: (status: number, reason: string, retryAfterMs?: number) => void
  /** Ends the connection, so that the answer does not look complete. Nothing more is sent. */
  readonly cut: () => void
  /** Does so before it returns; for the end of the process. */
  readonly cutNow: () => void
}

const MS_PER_SECOND = 1_000

const OK_STATUS = 200

/** From the last bytes of an answer to its reset: 0 of 500 callers found them together after 10 ms, 5 after 2 ms. */
export const RESET_PAUSE_MS = 10

/**
 * Wraps a request.
 *
 * @param init - the request
 * @param isStopping - whether connections are closed after their answer
 * @returns the exchange
 */
export function createExchange (init: ExchangeInit, isStopping: () => boolean): Exchange {
  const { caller, response } = init

  let endsWithConnection = false
  let isCut = false

  function writeHead (status: number, headers: IncomingHttpHeaders, bodyBytes?: number): void {
    const isUnframed = isWithoutLength(headers)
    if (isUnframed) leaveWithoutLength(response)
    else if (bodyBytes !== undefined) response.setHeader('content-length', bodyBytes)
    if (isStopping()) response.setHeader('connection', 'close')
    response.writeHead(status, toCallerHeaders(headers))
    const hasLength = !isUnframed && (bodyBytes !== undefined || headers['content-length'] !== undefined)
    // As the caller gets it: one of HTTP/1.0 gets an answer in chunks without them.
    endsWithConnection = !hasLength && !response.chunkedEncoding
  }

  function cut (): void {
    isCut = true
    if (!endsWithConnection) response.destroy()
    // Of callers that found the last bytes and the reset together 61 of 500 took that for an end in order.
    else setTimeout(cutNow, RESET_PAUSE_MS)
  }

  function cutNow (): void {
    isCut = true
    // Closed in order, an answer whose end only its connection tells would look complete.
    if (endsWithConnection) response.socket?.resetAndDestroy()
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
    endsWithConnection: () => endsWithConnection,
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
    cutNow
  }
}

// Read as of an answer with a body: one without needs no length either.
function isWithoutLength (headers: IncomingHttpHeaders): boolean {
  return framingOf('GET', OK_STATUS, headers) === 'connection'
}

// An answer whose end only its connection tells is passed on the same way: a
// length of ours would vouch for a body that may have been broken off.
function leaveWithoutLength (response: ServerResponse): void {
  response.shouldKeepAlive = false
  response.useChunkedEncodingByDefault = false
}

/**
 * Answers a request in the router's own name.
 *
 * @param response - answer that has not begun
 * @param status - HTTP status
 * @param reason - why, for people
 * @param isClosing - whether the connection is closed afterwards
 * @param requestId - the caller's id, if it sent one
 * @param retryAfterMs - when the caller should come back
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
