/**
 * Adapter of a plain service over HTTP. A call is sent at most once.
 *
 * @module
 */
import { createHttpExchanger } from 'bendfall-platform'
import type { HttpRequest } from 'bendfall-platform'
import type { ServiceCall, ServiceCallOutcome, ServicePort } from './BendfallUpstreamService.js'

const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS'])

/** Settings of the adapter. */
export interface HttpServiceOptions {
  /** Origin of the service beside the sidecar. */
  readonly origin: string
  /** Longest answer body that is taken. */
  readonly maxBodyBytes?: number
}

/**
 * Creates the adapter. Calls of unsafe methods use a connection of their own:
 * a kept one may turn out closed after bytes were written, and the call would
 * be of unknown outcome for no need.
 *
 * @param options - origin and limits
 * @returns the port; close it to free its connections
 */
export function createHttpService (options: HttpServiceOptions): ServicePort {
  const http = createHttpExchanger(options)

  async function call (ask: ServiceCall, signal: AbortSignal): Promise<ServiceCallOutcome> {
    const answer = await http.send(toRequest(ask, signal))
    if (answer.isOk()) return { type: 'answered', ...answer.value }
    return { type: 'failed', reached: answer.error.reached, detail: answer.error.detail }
  }

  return { call, close: () => http.close() }
}

function toRequest (call: ServiceCall, signal: AbortSignal): HttpRequest {
  return {
    method: call.method,
    path: call.path,
    requestId: call.requestId,
    headers: toHeaders(call),
    body: call.body,
    timeoutMs: call.timeoutMs,
    signal,
    freshConnection: !SAFE_METHODS.has(call.method)
  }
}

function toHeaders (call: ServiceCall): Record<string, string> {
  return {
    ...(call.contentType === '' ? {} : { 'content-type': call.contentType }),
    ...(call.idempotencyKey === '' ? {} : { 'idempotency-key': call.idempotencyKey })
  }
}
