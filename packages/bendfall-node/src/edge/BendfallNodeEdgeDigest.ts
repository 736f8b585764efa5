/**
 * Digest of a request, to find an idempotency key that is used twice.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { ClientId } from 'bendfall-core'

/** What makes two requests the same. */
export interface DigestInput {
  readonly clientId: ClientId
  readonly method: string
  readonly path: string
  readonly body: Uint8Array
}

/**
 * Digests a request. The client is part of it, so that a key which two clients
 * happen to use is a conflict and never replays one's answer to the other.
 *
 * @param input - the parts of the request
 * @returns SHA-256 in base64url
 */
export function digestBody (input: DigestInput): string {
  const { body, clientId, method, path } = input
  return createHash('sha256').update(`${clientId}\n${method} ${path}\n`).update(body).digest('base64url')
}
