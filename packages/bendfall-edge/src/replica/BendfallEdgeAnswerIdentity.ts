/**
 * Decides whether an answer belongs to the call that waits for it. Replicas may answer
 * twice, the second time when the next request is on the connection: only an answer that
 * echoes the id of its own request is read at all, whatever its status.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { AnswerHead, ReplicaDialect } from '../BendfallEdgeDialect.js'
import type { ConnectionPool } from './BendfallEdgeConnections.js'
import { startReplicaCall } from './BendfallEdgeReplicaCall.js'
import type { ReplicaCall, ReplicaCallListener, ReplicaCallRequest } from './BendfallEdgeReplicaCall.js'

/** A call whose answer echoes its id. */
export interface IdentifiedRequest extends ReplicaCallRequest {
  readonly requestId: string
}

/** Takes what comes of a call; after `onEnd` or `onFail` nothing more comes. */
export interface IdentifiedListener extends Omit<ReplicaCallListener, 'onHead'> {
  /** Called for an answer to this very request only. */
  readonly onHead: (status: number, headers: IncomingHttpHeaders, head: AnswerHead) => void
}

/** What identified calls need. */
export interface IdentityOptions {
  readonly dialect: Pick<ReplicaDialect, 'readAnswerHead'>
  /** Told of answers that are not those of the request. */
  readonly onGarbled: (requestId: string, detail: string) => void
}

/** How an answer starts (RFC 9112, section 4). */
const START_LINE = /HTTP\/1\.[01] \d{3}/

/** What came belongs to another request, or does not tell to which. */
class ForeignAnswerError extends Error {
  override readonly name = 'ForeignAnswerError'
}

/**
 * Starts a call. An answer that is not its own ends it as one that may have run, and
 * closes the connection: the call's own answer may be behind it.
 *
 * @param options - how heads are read, and who is told
 * @param pool - connections to the replica
 * @param request - the call
 * @param listener - takes what comes of it
 * @returns the call
 */
export function startIdentifiedCall (options: IdentityOptions, pool: ConnectionPool, request: IdentifiedRequest, listener: IdentifiedListener): ReplicaCall {
  const { dialect, onGarbled } = options
  const { requestId } = request
  const call = startReplicaCall(pool, request, {
    ...listener,
    onHead: (status, headers, startLine) => {
      const head = dialect.readAnswerHead(status, headers)
      const foreign = isJoined(headers, startLine) ? 'heads of two answers in one' : describeForeign(requestId, head)
      if (foreign === undefined) return listener.onHead(status, headers, head)
      call.abort()
      onGarbled(requestId, foreign)
      listener.onFail(new ForeignAnswerError(foreign), true)
    }
  })
  return call
}

// A second answer that broke off within its head is continued by the answer behind it: the
// status is of the one, the id of the other. The second start line is then in the first one
// or in a value.
function isJoined (headers: IncomingHttpHeaders, startLine: string): boolean {
  if (START_LINE.test(startLine.slice(1))) return true
  return Object.values(headers).flat().some((value) => value !== undefined && START_LINE.test(value))
}

function describeForeign (requestId: string, head: AnswerHead): string | undefined {
  if (head.requestId === undefined) return 'answer without a request id'
  return head.requestId === requestId ? undefined : `answer to another request: ${head.requestId}`
}
