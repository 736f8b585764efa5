/**
 * Control calls, which the router makes to a replica on its own behalf. Replicas echo no request
 * id for them. The response is read completely within a timeout.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import { scheduleTimeout } from 'bendfall-node'
import type { Clock, Teardown } from 'bendfall-node'
import { createByteCollector } from 'bendfall-platform'
import type { ConnectionPool } from './BendfallEdgeConnections.js'
import { startReplicaCall } from './BendfallEdgeReplicaCall.js'
import type { ReplicaCallRequest } from './BendfallEdgeReplicaCall.js'

/** Default size limit of responses; those to holds and orders have a few hundred bytes. */
const DEFAULT_MAX_RESPONSE_BYTES = 4_096

/** Timeout of best-effort calls, the same as for orders; it ensures that the connection is closed. */
const BEST_EFFORT_TIMEOUT_MS = 1_000

/** Outcome of a control call. */
export type ControlCallOutcome =
  /** `isFormerProcess`: whether the process has ended or stopped listening since the connection was opened. */
  | { readonly type: 'answered', readonly status: number, readonly headers: IncomingHttpHeaders, readonly body: Buffer, readonly isFormerProcess: boolean }
  /** `isSent`: whether bytes of the request may have reached the replica. */
  | { readonly type: 'unanswered', readonly isSent: boolean }

/** Time and size limits of a control call. */
export interface ControlCallOptions {
  readonly clock: Clock
  /** Time after which the call is aborted. */
  readonly timeoutMs: number
  /** Size limit of the response body; a larger one ends the call without an answer. */
  readonly maxBytes?: number
}

/**
 * Starts a control call. Without a `requestId` it uses a dedicated connection, which is closed
 * afterwards: otherwise a duplicate response couldn't be distinguished from that to another call.
 *
 * @param pool - connections to the replica
 * @param request - request to send
 * @param options - clock, timeout and size limit
 * @param onOutcome - called once with the outcome
 */
export function startControlCall (pool: ConnectionPool, request: ReplicaCallRequest, options: ControlCallOptions, onOutcome: (outcome: ControlCallOutcome) => void): void {
  const { clock, maxBytes = DEFAULT_MAX_RESPONSE_BYTES, timeoutMs } = options
  const body = createByteCollector()
  let status = 0
  let headers: IncomingHttpHeaders = {}
  let isOver = false
  let cancel: Teardown = () => {}

  const call = startReplicaCall(pool, request, {
    onHead: (responseStatus, responseHeaders) => {
      status = responseStatus
      headers = responseHeaders
    },
    onChunk: (chunk) => {
      if (body.length() + chunk.length <= maxBytes) return body.append(chunk)
      call.abort()
      finish({ type: 'unanswered', isSent: true })
    },
    onEnd: () => finish({ type: 'answered', status, headers, body: body.take(), isFormerProcess: !call.isCurrent() }),
    onFail: (_, isSent) => finish({ type: 'unanswered', isSent })
  })
  if (isOver) return
  cancel = scheduleTimeout(clock, timeoutMs, () => {
    call.abort()
    finish({ type: 'unanswered', isSent: true })
  })

  function finish (outcome: ControlCallOutcome): void {
    if (isOver) return
    isOver = true
    cancel()
    onOutcome(outcome)
  }
}

/**
 * Starts a call that releases a resource and ignores its outcome, since a resource that isn't
 * released expires soon anyway. As no response is awaited, a pause of the process doesn't extend the
 * timeout.
 *
 * @param pool - connections to the replica
 * @param call - method and path
 * @param clock - clock for the timeout
 */
export function startBestEffortCall (pool: ConnectionPool, call: Pick<ReplicaCallRequest, 'method' | 'path'>, clock: Clock): void {
  let cancel: Teardown = () => {}
  const handleEnd = (): void => cancel()
  const replicaCall = startReplicaCall(pool, { ...call, headers: [] }, { onHead: () => {}, onChunk: () => {}, onEnd: handleEnd, onFail: handleEnd })
  cancel = clock.callAt(clock.nowMs() + BEST_EFFORT_TIMEOUT_MS, replicaCall.abort)
}
