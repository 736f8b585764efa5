/**
 * A single call to a replica over one connection. Reports whether any byte of the request may have
 * been sent, and treats a response as complete only if its end was received.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import { framingOf, InvalidStatusError, statusKindOf } from 'bendfall-platform'
import type { ResponseFraming } from 'bendfall-platform'
import type { Dispatcher } from 'undici'
import type { Connection, ConnectionPool } from './BendfallEdgeConnections.js'
import { ConnectionResetError } from './BendfallEdgeReplicaSocket.js'

/** Request to a replica. */
export interface ReplicaCallRequest {
  readonly method: string
  /** Path including the query. */
  readonly path: string
  /** Alternating names and values. */
  readonly headers: readonly string[]
  readonly body?: Buffer
  /** Id that the response echoes; a call without an id uses a dedicated connection. */
  readonly requestId?: string
}

/** Receives the events of a call; `onEnd` or `onFail` is the last one. */
export interface ReplicaCallListener {
  /** @param startLine - first line of the response as received */
  readonly onHead: (status: number, headers: IncomingHttpHeaders, startLine: string) => void
  readonly onChunk: (chunk: Buffer) => void
  /** @param framing - how the end of the response was determined */
  readonly onEnd: (framing: ResponseFraming) => void
  /** @param isSent - whether bytes of the request may have reached the replica */
  readonly onFail: (error: Error, isSent: boolean) => void
}

/** A call in progress. */
export interface ReplicaCall {
  /** Closes the connection, so that the replica cancels the request. No further events follow. */
  readonly abort: () => void
  /** Stops reading the response until `resume` is called. */
  readonly pause: () => void
  readonly resume: () => void
  /** @returns bytes of the response that were read ahead from the connection while the call is paused */
  readonly unreadBytes: () => number
  /** @returns whether no connection to the replica has been refused since that of the call was opened */
  readonly isCurrent: () => boolean
}

/**
 * Starts a call.
 *
 * @param pool - connections to the replica
 * @param request - request to send
 * @param listener - receives the events of the call
 * @returns handle of the call
 */
export function startReplicaCall (pool: ConnectionPool, request: ReplicaCallRequest, listener: ReplicaCallListener): ReplicaCall {
  const connection = pool.acquire(request.requestId)
  let controller: Dispatcher.DispatchController | undefined
  let isOver = false
  let isEnding = false
  let framing: ResponseFraming = 'length'
  let hasBody = false

  function finish (): boolean {
    if (isOver) return false
    isOver = true
    return true
  }

  function describeTruncation (): string | undefined {
    if (connection.end() !== 'orderly') return 'connection reset within a close-delimited response'
    return hasBody || connection.endsWithHead() ? undefined : 'connection closed within the head of a response'
  }

  // The HTTP client can't process the end of a connection while its parser is paused: an assertion
  // fails in a socket event handler, which terminates the process and the responses of all other
  // callers. The data still unread at this point is at most what the socket has read ahead.
  connection.onBeforeEnd(() => {
    isEnding = true
    controller?.resume()
  })
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: (started) => {
      controller = started
      if (isOver) started.abort(new Error('call aborted'))
    },
    onResponseStart: (responseController, status, headers) => {
      const statusKind = statusKindOf(status)
      if (isOver || statusKind === 'informational') return
      if (statusKind === 'invalid') {
        responseController.abort(new InvalidStatusError(status))
        return
      }
      framing = framingOf(request.method, status, headers)
      listener.onHead(status, headers, connection.startLine())
    },
    onResponseData: (_, chunk) => {
      hasBody = true
      if (!isOver) listener.onChunk(chunk)
    },
    onResponseEnd: () => {
      // The client can be reused only after this handler has returned.
      setImmediate(() => pool.release(connection))
      if (!finish()) return
      const truncation = framing === 'connection' ? describeTruncation() : undefined
      if (truncation === undefined) listener.onEnd(framing)
      else listener.onFail(new ConnectionResetError(truncation), true)
    },
    onResponseError: (_, error) => {
      setImmediate(() => pool.release(connection))
      if (finish()) listener.onFail(error, controller !== undefined)
    }
  }
  dispatch(connection, request, handler)
  return {
    abort: () => {
      if (!finish()) return
      if (controller === undefined) connection.client.destroy().catch(() => {})
      else controller.abort(new Error('call aborted'))
    },
    pause: () => {
      if (!isEnding) controller?.pause()
    },
    resume: () => controller?.resume(),
    unreadBytes: () => isOver ? 0 : connection.unreadBytes(),
    isCurrent: connection.isCurrent
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
