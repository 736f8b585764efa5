/**
 * The caller's side of one request: whole answers, streams and refusals.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RequestId } from 'bendfall-core'
import type { Clock } from '../runtime/BendfallNodeClock.js'
import { formatRefusal, retryHeaders } from './BendfallNodeEdgeRefusal.js'
import type { Refusal } from './BendfallNodeEdgeRefusal.js'

/** Bounds on what a connection may hold. */
export interface ConnectionLimits {
  /** Output held for a caller that reads slowly. */
  readonly bufferedBytes: number
  /** Longest time without progress once the answer is complete. */
  readonly bodyTimeoutMs: number
}

/** A whole answer. */
export interface WholeAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
  /** Headers besides type and length. */
  readonly headers?: Readonly<Record<string, string>>
}

/** The caller's side of one request. */
export interface Connection {
  /** Sends a whole answer, and with it its length. */
  readonly sendWhole: (answer: WholeAnswer) => void
  /** Sends a piece of a stream. False once the caller reads too slowly. */
  readonly sendPiece: (piece: string) => boolean
  /** Sends the last piece of a stream that is complete. */
  readonly endStream: (piece: string) => void
  /** Refuses at once, in mid-stream by an error event. */
  readonly refuse: (refusal: Refusal) => void
  readonly destroy: () => void
}

/** What a connection needs. */
export interface ConnectionOptions {
  readonly requestId: RequestId
  readonly limits: ConnectionLimits
  readonly clock: Clock
  /** True when the connection is to be closed after the answer. */
  readonly isStopping: () => boolean
}

const REQUEST_ID_HEADER = 'bendfall-request-id'
const NO_BODY_STATUSES = new Set([204, 205, 304])

// After a refusal the rest of a body is read and dropped for this long; a
// close at once would reset the connection and lose the refusal on its way.
const LINGER_MS = 1_000

/**
 * Wraps request and response of a caller.
 *
 * @param request - HTTP request
 * @param response - HTTP response, nothing sent yet
 * @param options - id, bounds and time
 * @returns the connection
 */
export function createConnection (request: IncomingMessage, response: ServerResponse, options: ConnectionOptions): Connection {
  const { clock, isStopping, limits, requestId } = options
  let corked = false

  function startHead (status: number, headers: Readonly<Record<string, string | number>>): void {
    if (isStopping() || !request.complete) response.setHeader('connection', 'close')
    response.writeHead(status, { [REQUEST_ID_HEADER]: requestId, ...headers })
  }

  function sendWhole (answer: WholeAnswer): void {
    const { body, contentType, headers, status } = answer
    if (NO_BODY_STATUSES.has(status)) {
      startHead(status, { ...headers })
    } else {
      startHead(status, { 'content-type': contentType, 'content-length': body.byteLength, ...headers })
      if (request.method !== 'HEAD') response.write(body)
    }
    finish()
  }

  // One write to the socket for all pieces of one turn of the event loop.
  function corkForThisTurn (): void {
    if (corked) return
    corked = true
    response.cork()
    setImmediate(() => {
      corked = false
      if (!response.writableEnded) response.uncork()
    })
  }

  function sendPiece (piece: string): boolean {
    if (!response.headersSent) startHead(200, { 'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache' })
    corkForThisTurn()
    response.write(piece)
    return response.writableLength <= limits.bufferedBytes
  }

  function refuse (refusal: Refusal): void {
    const body = formatRefusal(refusal)
    if (response.headersSent) return endStream(`event: error\ndata: ${body}\n\n`)
    sendWhole({ status: refusal.status, contentType: 'application/json', body: Buffer.from(body), headers: retryHeaders(refusal) })
  }

  function endStream (piece: string): void {
    sendPiece(piece)
    finish()
  }

  function finish (): void {
    response.setTimeout(limits.bodyTimeoutMs, () => { response.destroy() })
    if (request.complete) {
      response.end()
      return
    }
    lingerThenEnd()
  }

  function lingerThenEnd (): void {
    const end = (): void => {
      cancelLinger()
      response.end()
    }
    const cancelLinger = clock.callAt(clock.nowMs() + LINGER_MS, end)
    request.once('end', end).once('close', end).resume()
  }

  response.on('error', ignoreError)
  return { sendWhole, sendPiece, endStream, refuse, destroy: () => { response.destroy() } }
}

// A write to a connection that broke; its `close` tells the same.
function ignoreError (): void {}
