/**
 * Adapter of a plain service over HTTP. A call is sent at most once.
 *
 * @module
 */
import { createHttpExchanger } from 'bendfall-platform'
import type { HttpRequest } from 'bendfall-platform'
import type { ServiceCall, ServiceCallOutcome, ServicePort } from './BendfallUpstreamService.js'

const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS'])

/** Options of the adapter. */
export interface HttpServiceOptions {
  /** Origin of the service next to the sidecar. */
  readonly origin: string
  /** Size limit of a response body. */
  readonly maxBodyBytes?: number
}

/**
 * Creates the adapter. Calls with unsafe methods use a new connection each: a kept one may
 * turn out to be closed after bytes were written, which would needlessly make the outcome of
 * the call unknown.
 *
 * @param options - origin and limits
 * @returns the port; close it to free its connections
 */
export function createHttpService (options: HttpServiceOptions): ServicePort {
  const http = createHttpExchanger(options)

  async function call (serviceCall: ServiceCall, signal: AbortSignal): Promise<ServiceCallOutcome> {
    const response = await http.send(toRequest(serviceCall, signal))
    if (response.isOk()) return { type: 'answered', ...response.value }
    return { type: 'failed', reached: response.error.reached, detail: response.error.detail }
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
