/**
 * Classifies the statuses of responses (RFC 9110, section 15).
 *
 * @module
 */

const MIN_STATUS = 100
const SWITCHING_PROTOCOLS = 101
const MIN_FINAL_STATUS = 200
const MAX_STATUS = 599

/** `informational`: a final response follows. `invalid`: nothing in the response can be trusted. */
export type StatusKind = 'final' | 'informational' | 'invalid'

/** The status of a response is not one of HTTP, or not one that the request allows. */
export class InvalidStatusError extends Error {
  override readonly name = 'InvalidStatusError'

  /** @param status - status of the response */
  constructor (status: number) {
    super(`invalid response status ${String(status).padStart(3, '0')}`)
  }
}

/**
 * Classifies a status. The HTTP client accepts any three digits, but fails with an assertion on some of them.
 *
 * @param status - status of a response to a request without `Upgrade`
 * @returns the kind; 101 is invalid, since the request offered no protocol to switch to
 */
export function statusKindOf (status: number): StatusKind {
  if (status < MIN_STATUS || status > MAX_STATUS || status === SWITCHING_PROTOCOLS) return 'invalid'
  return status < MIN_FINAL_STATUS ? 'informational' : 'final'
}
