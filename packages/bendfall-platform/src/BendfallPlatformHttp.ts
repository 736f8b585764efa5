/**
 * HTTP exchanges with typed failures, on which all HTTP adapters are built. Nothing is
 * retried, and a failure states whether bytes may have been sent.
 *
 * @module
 */
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import { createConnectionMonitor, framingOf } from './BendfallPlatformHttpFraming.js'
import type { ConnectionMonitor, ResponseFraming } from './BendfallPlatformHttpFraming.js'
import { createLineReader, createResponseReader } from './BendfallPlatformHttpReaders.js'
import type { ResponseReader } from './BendfallPlatformHttpReaders.js'
import { createSentRequestIds } from './BendfallPlatformHttpRequestIds.js'
import type { SentRequestIds } from './BendfallPlatformHttpRequestIds.js'
import { createSendOnce } from './BendfallPlatformHttpSendOnce.js'
import type { SendState } from './BendfallPlatformHttpSendOnce.js'
import { InvalidStatusError, statusKindOf } from './BendfallPlatformHttpStatus.js'

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000
const DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
const REQUEST_ID_HEADER = 'x-request-id'

/** Options of an exchanger. */
export interface HttpOptions {
  /** Origin of the server, for example `http://127.0.0.1:8080`. */
  readonly origin: string
  readonly connectTimeoutMs?: number
  /** Size limit of a response body; for lines, of one line. */
  readonly maxBodyBytes?: number
  /**
   * After a call timed out, later calls use new connections. The kept ones may all have
   * stopped responding at once, and each would cost a timeout of its own.
   */
  readonly reconnectsAfterTimeout?: boolean
}

/** A request to the origin. */
export interface HttpRequest {
  readonly method: string
  /** Path with query string. */
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Uint8Array | string
  /**
   * Sent as `x-request-id`. A response with the id of another recent request is a
   * duplicate response to that one, and the call fails as `broken`.
   */
  readonly requestId?: string
  /**
   * Longest time without data of the response: up to its first chunk, and between two
   * chunks. A connection that is being opened is still waited for, up to `connectTimeoutMs`.
   */
  readonly timeoutMs: number
  /** Longest time up to the end of the response, so that one that arrives slowly without end isn't waited for; omitted: not limited. */
  readonly totalTimeoutMs?: number
  readonly signal?: AbortSignal
  /** Uses a new connection, so that the call cannot fail because of a stale one. */
  readonly freshConnection?: boolean
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number
  readonly contentType: string
  /** Empty if the response has none. */
  readonly contentEncoding: string
  /** Empty if the response has none. */
  readonly etag: string
  /** @returns the value of a header, given its name in lower case; empty if the response has none */
  readonly getHeader: (name: string) => string
  readonly body: Uint8Array
}

/** Why there is no complete response. `reached`: bytes may have reached the server. */
export interface HttpFailure {
  readonly kind: 'aborted' | 'broken' | 'timeout' | 'too_large'
  readonly reached: boolean
  readonly detail: string
}

/** Sends requests to one origin. Never throws, and never sends a request twice. */
export interface HttpExchanger {
  readonly send: (request: HttpRequest) => Promise<Result<HttpResponse, HttpFailure>>
  /** Passes each line of the response to `onLine`, and returns the status at its end. */
  readonly sendForLines: (request: HttpRequest, onLine: (line: string) => void) => Promise<Result<number, HttpFailure>>
  /** Aborts pending calls and closes the connections. */
  readonly close: () => Promise<void>
}

interface Attempt {
  readonly state: SendState
  readonly restartTimeout: () => void
  readonly end: () => void
  kind: HttpFailure['kind']
  /** Set once the attempt was aborted or timed out. */
  reason?: Error
  /** Set once the request was assigned to a connection. */
  abort?: (reason: Error) => void
}

/**
 * Creates an exchanger with its own connection pool.
 *
 * @param options - origin and limits
 * @returns the exchanger; close it to free its connections
 */
export function createHttpExchanger (options: HttpOptions): HttpExchanger {
  const connectionMonitor = createConnectionMonitor(options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS)
  const createKeepAliveAgent = (): Agent => new Agent({ connect: connectionMonitor.connect, pipelining: 1 })
  const agents = new Set<Agent>()
  let keepAliveAgent = createKeepAliveAgent()
  agents.add(keepAliveAgent)
  const singleUseAgent = new Agent({ connect: connectionMonitor.connect, pipelining: 0 })
  const sentIds = createSentRequestIds()
  const maxBodyBytes = options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES

  // Calls in flight finish on the previous connections, which are closed afterwards.
  function replaceKeepAliveAgent (previous: Agent): void {
    if (previous !== keepAliveAgent) return
    keepAliveAgent = createKeepAliveAgent()
    agents.add(keepAliveAgent)
    previous.close().then(() => agents.delete(previous), () => agents.delete(previous))
  }

  async function exchange<T> (request: HttpRequest, reader: ResponseReader<T>): Promise<Result<T, HttpFailure>> {
    const attempt = startAttempt(request)
    const agent = request.freshConnection === true ? singleUseAgent : keepAliveAgent
    if (request.requestId !== undefined) sentIds.add(request.requestId)
    try {
      await dispatchOnce({ agent, connectionMonitor, sentIds, attempt, reader }, request, toDispatchOptions(options.origin, request))
      return Ok(reader.end())
    } catch (error) {
      return Err({ kind: reader.isTooLarge() ? 'too_large' : attempt.kind, reached: attempt.state.started, detail: describe(error) })
    } finally {
      attempt.end()
      if (attempt.kind === 'timeout' && options.reconnectsAfterTimeout === true) replaceKeepAliveAgent(agent)
    }
  }

  return {
    send: (request) => exchange(request, createResponseReader(maxBodyBytes)),
    sendForLines: (request, onLine) => exchange(request, createLineReader(maxBodyBytes, onLine)),
    close: async () => {
      await Promise.all([...agents, singleUseAgent].map((agent) => agent.destroy()))
    }
  }
}

/** What one exchange needs besides its request. */
interface ExchangeContext {
  readonly agent: Agent
  readonly connectionMonitor: ConnectionMonitor
  readonly sentIds: SentRequestIds
  readonly attempt: Attempt
  readonly reader: ResponseReader<unknown>
}

function toDispatchOptions (origin: string, request: HttpRequest): Dispatcher.DispatchOptions {
  return {
    origin,
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: request.requestId === undefined ? request.headers ?? {} : { [REQUEST_ID_HEADER]: request.requestId, ...request.headers },
    body: request.body === undefined || request.body.length === 0 ? null : request.body,
    headersTimeout: 0,
    bodyTimeout: 0
  }
}

// Uses the dispatcher directly: with one token per chunk, a stream and its async iterator
// cost several times as much as everything else.
function dispatchOnce ({ agent, attempt, connectionMonitor, reader, sentIds }: ExchangeContext, { requestId }: HttpRequest, options: Dispatcher.DispatchOptions): Promise<void> {
  let framing: ResponseFraming = 'connection'
  let hasBody = false
  return new Promise((resolve, reject) => {
    const dispatch = createSendOnce(attempt.state)((...args) => agent.dispatch(...args))
    dispatch(options, {
      onRequestStart: (controller) => {
        attempt.abort = (reason) => controller.abort(reason)
        if (attempt.reason !== undefined) controller.abort(attempt.reason)
      },
      onResponseStart: (controller, status, headers) => {
        const statusKind = statusKindOf(status)
        if (statusKind === 'informational') return
        if (statusKind === 'invalid') {
          controller.abort(new InvalidStatusError(status))
          return
        }
        const getHeader = (name: string): string => String(headers[name] ?? '')
        if (requestId !== undefined && sentIds.belongsToOther(requestId, getHeader(REQUEST_ID_HEADER))) {
          controller.abort(new Error('the response belongs to another request'))
          return
        }
        framing = framingOf(options.method, status, headers)
        reader.onHead(status, getHeader)
      },
      onResponseData: (controller, chunk) => {
        hasBody = true
        attempt.restartTimeout()
        try {
          reader.onChunk(chunk)
        } catch (error) {
          reject(error)
          controller.abort(error as Error)
        }
      },
      onResponseEnd: () => {
        if (framing !== 'connection') resolve()
        else if (!connectionMonitor.isOrderlyEnd()) reject(new Error('the connection was reset before the end of the response'))
        else if (!hasBody && !connectionMonitor.endedWithHead()) reject(new Error('the connection was closed within the head of the response'))
        else resolve()
      },
      onResponseError: (_, error) => reject(error)
    })
  })
}

function startAttempt (request: HttpRequest): Attempt {
  const onAbort = (): void => stop('aborted', 'aborted by the caller')
  const onTimeout = (): void => stop('timeout', `no answer within ${request.timeoutMs} ms`)
  const timer = setTimeout(onTimeout, request.timeoutMs)
  const onTotalTimeout = (): void => stop('timeout', `no complete answer within ${request.totalTimeoutMs} ms`)
  const totalTimer = request.totalTimeoutMs === undefined ? undefined : setTimeout(onTotalTimeout, request.totalTimeoutMs)
  const attempt: Attempt = {
    state: { started: false },
    kind: 'broken',
    restartTimeout: () => { timer.refresh() },
    end: () => {
      clearTimeout(timer)
      clearTimeout(totalTimer)
      request.signal?.removeEventListener('abort', onAbort)
    }
  }
  function stop (kind: HttpFailure['kind'], detail: string): void {
    if (attempt.reason !== undefined) return
    attempt.kind = kind
    attempt.reason = new Error(detail)
    attempt.abort?.(attempt.reason)
  }
  request.signal?.addEventListener('abort', onAbort)
  if (request.signal?.aborted === true) onAbort()
  return attempt
}

function describe (error: unknown): string {
  if (!(error instanceof Error)) return String(error)
  const code = (error as NodeJS.ErrnoException).code
  return code === undefined ? error.message : `${code} ${error.message}`
}
