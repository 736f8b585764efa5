/**
 * Reads the response of a replica to a prefill request.
 *
 * @module
 */
import { createByteCollector } from 'bendfall-platform'
import type { PrefillOutcome } from 'bendfall-router'
import type { ResponseHead, ReplicaDialect } from '../BendfallEdgeDialect.js'
import { failureOf } from './BendfallEdgeCallFailure.js'
import type { IdentifiedListener } from './BendfallEdgeIdentifiedCall.js'

/** Size limit of a prefill response. */
const MAX_PREFILL_RESPONSE_BYTES = 65_536

/**
 * Creates the listener of a prefill call.
 *
 * @param dialect - decoder of the result
 * @param onResult - called once with the outcome
 * @param abort - closes the connection; called if the response exceeds its size limit
 * @returns the listener
 */
export function createPrefillListener (dialect: ReplicaDialect, onResult: (outcome: PrefillOutcome) => void, abort: () => void): IdentifiedListener {
  const body = createByteCollector()
  let status = 0
  let head: ResponseHead | undefined
  return {
    onHead: (responseStatus, _, responseHead) => {
      status = responseStatus
      head = responseHead
    },
    onChunk: (chunk) => {
      if (body.length() + chunk.length <= MAX_PREFILL_RESPONSE_BYTES) return body.append(chunk)
      abort()
      onResult({ type: 'failed', failure: 'unknown' })
    },
    onEnd: () => {
      if (status === 200) {
        const handle = dialect.readPrefillResult(body.take())
        onResult(handle.isOk() ? { type: 'read', handle: handle.value } : { type: 'failed', failure: 'unknown' })
      } else {
        onResult({ type: 'failed', failure: head?.isWrongReplica === true ? 'wrong_replica' : head?.isNotRun === true ? 'not_run' : 'unknown' })
      }
    },
    onFail: (error, isSent) => onResult({ type: 'failed', failure: failureOf(error, isSent) })
  }
}
