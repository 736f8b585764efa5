/**
 * Fingerprint of a request: equal for two that ask for the same, whichever entries take
 * them in and whatever ids they have.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'

/** What a request asks for, and for whom. */
export interface FingerprintInput {
  readonly method: string
  /** With its query. */
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** 64 bits: two of a million requests share one by a chance of one in 37 million. */
const DIGITS = 16

/**
 * Makes the fingerprint. The host names the customer; who calls is told by credentials,
 * where there are any, not by the address, which may be that of a gateway.
 *
 * @param input - the request
 * @returns hexadecimal digits
 */
export function fingerprintOf ({ body, headers, method, path }: FingerprintInput): string {
  const head = JSON.stringify([method, headers.host ?? '', path, headers.authorization ?? ''])
  return createHash('sha256').update(head).update(body).digest('hex').slice(0, DIGITS)
}
