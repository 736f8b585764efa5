/**
 * One call to a replica over one connection. Tells whether any byte of the
 * request was sent, and takes an answer for whole only if its end was seen.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import { framingOf } from 'bendfall-platform'
import type { AnswerFraming } from 'bendfall-platform'
import type { Dispatcher } from 'undici'
import type { Connection, ConnectionPool } from './BendfallEdgeConnections.js'
import { ConnectionResetError } from './BendfallEdgeReplicaSocket.js'

/** A call. */
export interface ReplicaCallRequest {
  readonly method: string
  /** Path with query. */
  readonly path: string
  /** Names and values by turns. */
  readonly headers: readonly string[]
  readonly body?: Buffer
  /** Id that the answer echoes; a call without one has a connection of its own. */
  readonly requestId?: string
}

/** Takes what comes of a call; after `onEnd` or `onFail` nothing more comes. */
export interface ReplicaCallListener {
  /** @param startLine - first line of the answer as it came */
  readonly onHead: (status: number, headers: IncomingHttpHeaders, startLine: string) => void
  readonly onChunk: (chunk: Buffer) => void
  /** @param framing - what told the end of the answer */
  readonly onEnd: (framing: AnswerFraming) => void
  /** @param isSent - whether bytes of the request may have reached the replica */
  readonly onFail: (error: Error, isSent: boolean) => void
}

/** A call under way. */
export interface ReplicaCall {
  /** Closes the connection, so that the replica drops the request. Nothing more comes. */
  readonly abort: () => void
  /** Stops reading until `resume`. */
  readonly pause: () => void
  readonly resume: () => void
}

const FIRST_FINAL_STATUS = 200

/**
 * Starts a call.
 *
 * @param pool - connections to the replica
 * @param request - the call
 * @param listener - takes what comes of it
 * @returns the call
 */
export function startReplicaCall (pool: ConnectionPool, request: ReplicaCallRequest, listener: ReplicaCallListener): ReplicaCall {
  const connection = pool.take(request.requestId)
  let controller: Dispatcher.DispatchController | undefined
  let isOver = false
  let isEnding = false
  let framing: AnswerFraming = 'length'

  function finish (): boolean {
    if (isOver) return false
    isOver = true
    return true
  }

  // The client can't judge the end of a connection while its parser is paused: it fails on
  // an assertion in an event of the socket, which ends the process and cuts the answers of
  // all other callers. What is left then is at most what the socket has read ahead.
  connection.onEnding(() => {
    isEnding = true
    controller?.resume()
  })
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: (started) => {
      controller = started
      if (isOver) started.abort(new Error('given up'))
    },
    onResponseStart: (_, status, headers) => {
      if (isOver || status < FIRST_FINAL_STATUS) return
      framing = framingOf(request.method, status, headers)
      listener.onHead(status, headers, connection.startLine())
    },
    onResponseData: (_, chunk) => {
      if (!isOver) listener.onChunk(chunk)
    },
    onResponseEnd: () => {
      // The client is free only once this handler has returned.
      setImmediate(() => pool.giveBack(connection))
      if (!finish()) return
      if (framing === 'connection' && connection.end() !== 'orderly') listener.onFail(new ConnectionResetError('connection reset within an answer without a length'), true)
      else listener.onEnd(framing)
    },
    onResponseError: (_, error) => {
      setImmediate(() => pool.giveBack(connection))
      if (finish()) listener.onFail(error, controller !== undefined)
    }
  }
  dispatch(connection, request, handler)
  return {
    abort: () => {
      if (!finish()) return
      if (controller === undefined) connection.client.destroy().catch(() => {})
      else controller.abort(new Error('given up'))
    },
    pause: () => {
      if (!isEnding) controller?.pause()
    },
    resume: () => controller?.resume()
  }
}

function dispatch ({ client }: Connection, request: ReplicaCallRequest, handler: Dispatcher.DispatchHandler): void {
  client.dispatch({
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: request.headers as string[],
    body: request.body === undefined || request.body.length === 0 ? null : request.body
  }, handler)
}
