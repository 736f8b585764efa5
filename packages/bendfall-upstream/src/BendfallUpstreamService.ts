/**
 * Port of the plain service that runs next to the sidecar.
 *
 * @module
 */

/** A call as received from the caller. */
export interface ServiceCall {
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly contentType: string
  readonly body: Uint8Array
  readonly idempotencyKey: string
  readonly timeoutMs: number
}

/** Outcome of a call. `reached`: bytes may have reached the service. */
export type ServiceCallOutcome =
  | { readonly type: 'answered', readonly status: number, readonly contentType: string, readonly body: Uint8Array }
  | { readonly type: 'failed', readonly reached: boolean, readonly detail: string }

/** Access to a plain service. Never throws, and never sends a call twice. */
export interface ServicePort {
  readonly call: (call: ServiceCall, signal: AbortSignal) => Promise<ServiceCallOutcome>
  readonly close: () => Promise<void>
}
