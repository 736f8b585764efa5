/**
 * Reads from the error of a call how it failed.
 *
 * @module
 */
import type { SendFailure } from 'bendfall-router'
import { ConnectionResetError } from './BendfallEdgeReplicaSocket.js'

/** Codes of errors after which the connection is gone: of the HTTP client and of the system. */
const LOST_CODES: ReadonlySet<string | undefined> = new Set(['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE'])

/**
 * Tells how a call failed.
 *
 * @param error - of the call
 * @param isSent - whether bytes of the request may have reached the replica
 * @returns the failure
 */
export function failureOf (error: Error, isSent: boolean): SendFailure {
  if (!isSent) return 'not_sent'
  const isLost = error instanceof ConnectionResetError || LOST_CODES.has((error as NodeJS.ErrnoException).code)
  return isLost ? 'connection_lost' : 'unknown'
}
