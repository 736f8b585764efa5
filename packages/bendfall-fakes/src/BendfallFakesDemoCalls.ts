/**
 * HTTP client for chat completions and plain services, used by the demo, the
 * benches, the process tests and the soak.
 *
 * @module
 */
import { createInterface } from 'node:readline'
import { request } from 'undici'

/** Response of a plain service, or a refusal. */
export interface ServiceResponse {
  readonly status: number
  readonly body: string
}

/** Result of a streamed chat completion. */
export interface StreamedResponse {
  /** Request id from the events of the stream; empty when there was none. */
  readonly requestId: string
  readonly status: number
  readonly text: string
  /** Number of events with output. */
  readonly chunkCount: number
  /** True when the stream contained its end marker `[DONE]`. */
  readonly isComplete: boolean
  /** Time from the request to the first output. */
  readonly firstOutputMs: number
  readonly totalMs: number
  /** Body of a refusal, or data of an error event; empty on success. */
  readonly refusal: string
}

interface StreamEvent {
  readonly id?: string
  readonly error?: object
  readonly choices?: ReadonlyArray<{ readonly delta: { readonly content?: string } }>
}

const ID_PREFIX = 'chatcmpl-'

/** A chat completion to request. */
export interface ChatCall {
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  readonly trafficClass: 'interactive' | 'summary'
  readonly client: string
  readonly signal?: AbortSignal
  /** Receives each chunk of output as it arrives. */
  readonly onText?: (text: string) => void
}

/**
 * Requests a chat completion as a stream and reads it to its end.
 *
 * @param address - `ip:port` of an entry
 * @param call - parameters of the request
 * @returns the response, or a refusal with empty text
 */
export async function streamChat (address: string, call: ChatCall): Promise<StreamedResponse> {
  const startedAtMs = performance.now()
  const response = await request(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'bendfall-client': call.client, 'bendfall-class': call.trafficClass },
    body: JSON.stringify({ model: call.model, messages: [{ role: 'user', content: call.prompt }], max_tokens: call.maxTokens, stream: true }),
    signal: call.signal
  })
  const emptyResult = { requestId: '', refusal: '', text: '', chunkCount: 0, isComplete: false, firstOutputMs: 0 }
  if (response.statusCode !== 200) {
    const refusal = await response.body.text()
    return { ...emptyResult, status: response.statusCode, refusal, totalMs: performance.now() - startedAtMs }
  }
  const result = { ...emptyResult }
  for await (const line of createInterface({ input: response.body })) {
    if (!line.startsWith('data: ')) continue
    const data = line.slice('data: '.length)
    if (data === '[DONE]') {
      result.isComplete = true
      continue
    }
    const event = JSON.parse(data) as StreamEvent
    if (event.error !== undefined) result.refusal = data
    result.requestId = event.id?.slice(ID_PREFIX.length) ?? result.requestId
    const text = event.choices?.[0]?.delta.content
    if (text === undefined) continue
    call.onText?.(text)
    if (result.chunkCount === 0) result.firstOutputMs = performance.now() - startedAtMs
    result.chunkCount += 1
    result.text += text
  }
  return { ...result, status: response.statusCode, totalMs: performance.now() - startedAtMs }
}

/** A call of a plain service. */
export interface ServiceCall {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: object
  readonly idempotencyKey?: string
  /** Wall-clock time at which the key was created. */
  readonly keyIssuedAtMs?: number
  readonly client: string
}

/**
 * Calls a plain service.
 *
 * @param address - `ip:port` of an entry
 * @param call - method, path, headers and body of the call
 * @returns the response or refusal
 */
export async function callService (address: string, call: ServiceCall): Promise<ServiceResponse> {
  const response = await request(`http://${address}${call.path}`, {
    method: call.method,
    headers: {
      'bendfall-client': call.client,
      ...call.body === undefined ? {} : { 'content-type': 'application/json' },
      ...call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey },
      ...call.keyIssuedAtMs === undefined ? {} : { 'idempotency-key-issued-at': String(call.keyIssuedAtMs) }
    },
    body: call.body === undefined ? undefined : JSON.stringify(call.body)
  })
  return { status: response.statusCode, body: await response.body.text() }
}
