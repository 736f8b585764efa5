/**
 * Verifies that a response belongs to the call that waits for it. Replicas may respond twice to a
 * request, the second time when the next request is already on the connection. Therefore only a
 * response that echoes the id of its request is accepted, regardless of its status.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import { InvalidStatusError } from 'bendfall-platform'
import type { ResponseHead, ReplicaDialect } from '../BendfallEdgeDialect.js'
import type { ConnectionPool } from './BendfallEdgeConnections.js'
import { startReplicaCall } from './BendfallEdgeReplicaCall.js'
import type { ReplicaCall, ReplicaCallListener, ReplicaCallRequest } from './BendfallEdgeReplicaCall.js'

/** A request whose response echoes its id. */
export interface IdentifiedRequest extends ReplicaCallRequest {
  readonly requestId: string
}

/** Receives the events of a call; `onEnd` or `onFail` is the last one. */
export interface IdentifiedListener extends Omit<ReplicaCallListener, 'onHead'> {
  /** Called only for a response that echoes the id of the request. */
  readonly onHead: (status: number, headers: IncomingHttpHeaders, head: ResponseHead) => void
}

/** Dependencies of identified calls. */
export interface IdentifiedCallOptions {
  readonly dialect: Pick<ReplicaDialect, 'readAnswerHead'>
  /** Called for responses that don't belong to the request. */
  readonly onInvalidResponse: (requestId: string, detail: string) => void
}

/** Start of a response (RFC 9112, section 4). */
const START_LINE = /HTTP\/1\.[01] \d{3}/

/** The response belongs to another request, or to an unknown one. */
class MismatchedResponseError extends Error {
  override readonly name = 'MismatchedResponseError'
}

/**
 * Starts a call. A response that doesn't belong to it fails the call as one that may have been
 * executed, and closes the connection, since the call's own response may follow.
 *
 * @param options - decoder of response heads and callback for mismatched responses
 * @param pool - connections to the replica
 * @param request - request with its id
 * @param listener - receives the events of the call
 * @returns handle of the call
 */
export function startIdentifiedCall (options: IdentifiedCallOptions, pool: ConnectionPool, request: IdentifiedRequest, listener: IdentifiedListener): ReplicaCall {
  const { dialect, onInvalidResponse } = options
  const { requestId } = request
  const call = startReplicaCall(pool, request, {
    ...listener,
    onHead: (status, headers, startLine) => {
      const head = dialect.readAnswerHead(status, headers)
      const mismatch = hasSecondStartLine(headers, startLine) ? 'heads of two answers in one' : describeMismatch(requestId, head)
      if (mismatch === undefined) return listener.onHead(status, headers, head)
      call.abort()
      onInvalidResponse(requestId, mismatch)
      listener.onFail(new MismatchedResponseError(mismatch), true)
    },
    onFail: (error, isSent) => {
      if (error instanceof InvalidStatusError) onInvalidResponse(requestId, error.message)
      listener.onFail(error, isSent)
    }
  })
  return call
}

// A duplicate response that is truncated within its head is continued by the next response, which
// combines the status of one with the id of the other. The second start line then appears within
// the first one or within a header value.
function hasSecondStartLine (headers: IncomingHttpHeaders, startLine: string): boolean {
  if (START_LINE.test(startLine.slice(1))) return true
  return Object.values(headers).flat().some((value) => value !== undefined && START_LINE.test(value))
}

function describeMismatch (requestId: string, head: ResponseHead): string | undefined {
  if (head.requestId === undefined) return 'answer without a request id'
  return head.requestId === requestId ? undefined : `answer to another request: ${head.requestId}`
}
