/**
 * A call of the router itself, to which replicas echo no id: its answer is read whole
 * within a time.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Clock, Teardown } from 'bendfall-node'
import type { ConnectionPool } from './BendfallEdgeConnections.js'
import { startReplicaCall } from './BendfallEdgeReplicaCall.js'
import type { ReplicaCallRequest } from './BendfallEdgeReplicaCall.js'

/** Answers are read up to this; those of holds and orders have some hundred bytes. */
const ANSWER_BYTES = 4_096

/** An answer that decides nothing is waited for as long as for an order, so that the connection ends. */
const IGNORED_TIMEOUT_MS = 1_000

/** What came of a call. */
export type OwnCallOutcome =
  | { readonly type: 'answered', readonly status: number, readonly headers: IncomingHttpHeaders, readonly body: Buffer }
  /** `isSent`: bytes of the call may have reached the replica. */
  | { readonly type: 'unanswered', readonly isSent: boolean }

/** How a call is waited for. */
export interface OwnCallOptions {
  readonly clock: Clock
  /** The call is given up after this. */
  readonly timeoutMs: number
  /** Longest answer that is read; what is behind it is left out. */
  readonly maxBytes?: number
}

/**
 * Starts a call. Without a `requestId` it has a connection of its own, which is closed
 * afterwards: nothing else can tell a second answer from the answer to another call.
 *
 * @param pool - connections to the replica
 * @param request - the call
 * @param options - how it is waited for
 * @param onOutcome - called once
 */
export function startOwnCall (pool: ConnectionPool, request: ReplicaCallRequest, options: OwnCallOptions, onOutcome: (outcome: OwnCallOutcome) => void): void {
  const { clock, maxBytes = ANSWER_BYTES, timeoutMs } = options
  const chunks: Buffer[] = []
  let bytes = 0
  let status = 0
  let headers: IncomingHttpHeaders = {}
  let isOver = false
  let cancel: Teardown = () => {}

  const call = startReplicaCall(pool, request, {
    onHead: (answeredStatus, answeredHeaders) => {
      status = answeredStatus
      headers = answeredHeaders
    },
    onChunk: (chunk) => {
      bytes += chunk.length
      if (bytes <= maxBytes) chunks.push(chunk)
    },
    onEnd: () => finish({ type: 'answered', status, headers, body: Buffer.concat(chunks) }),
    onFail: (_, isSent) => finish({ type: 'unanswered', isSent })
  })
  if (isOver) return
  cancel = clock.callAt(clock.nowMs() + timeoutMs, () => {
    call.abort()
    finish({ type: 'unanswered', isSent: true })
  })

  function finish (outcome: OwnCallOutcome): void {
    if (isOver) return
    isOver = true
    cancel()
    onOutcome(outcome)
  }
}

/**
 * Starts a call whose answer decides nothing: what is not given back lapses soon.
 *
 * @param pool - connections to the replica
 * @param call - method and path
 * @param clock - to end the wait by
 */
export function startIgnoredCall (pool: ConnectionPool, call: Pick<ReplicaCallRequest, 'method' | 'path'>, clock: Clock): void {
  startOwnCall(pool, { ...call, headers: [] }, { clock, timeoutMs: IGNORED_TIMEOUT_MS }, () => {})
}
