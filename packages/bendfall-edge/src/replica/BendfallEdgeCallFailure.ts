/**
 * Classifies errors of calls to replicas.
 *
 * @module
 */
import type { SendFailure } from 'bendfall-router'
import { ConnectionResetError } from './BendfallEdgeReplicaSocket.js'

/** Error codes of the HTTP client and the system that indicate a lost connection. */
const CONNECTION_LOST_CODES: ReadonlySet<string | undefined> = new Set(['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE'])

/**
 * Classifies the error of a call.
 *
 * @param error - error with which the call ended
 * @param isSent - whether bytes of the request may have reached the replica
 * @returns the kind of failure
 */
export function failureOf (error: Error, isSent: boolean): SendFailure {
  if (!isSent) return 'not_sent'
  const isLost = error instanceof ConnectionResetError || CONNECTION_LOST_CODES.has((error as NodeJS.ErrnoException).code)
  return isLost ? 'connection_lost' : 'unknown'
}
