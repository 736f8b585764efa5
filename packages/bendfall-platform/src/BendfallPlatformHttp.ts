/**
 * One HTTP exchange with a typed failure: the base of all HTTP adapters.
 * Nothing is retried, and a failure tells whether bytes may have been sent.
 *
 * @module
 */
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import { createConnectionEnds, framingOf } from './BendfallPlatformHttpEnds.js'
import type { AnswerFraming, ConnectionEnds } from './BendfallPlatformHttpEnds.js'
import { createAnswerReader, createLineReader } from './BendfallPlatformHttpReaders.js'
import type { AnswerReader } from './BendfallPlatformHttpReaders.js'
import { createSentRequestIds } from './BendfallPlatformHttpRequestIds.js'
import type { SentRequestIds } from './BendfallPlatformHttpRequestIds.js'
import { createSendOnce } from './BendfallPlatformHttpSendOnce.js'
import type { SendState } from './BendfallPlatformHttpSendOnce.js'

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000
const DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
const FIRST_FINAL_STATUS = 200
const REQUEST_ID_HEADER = 'x-request-id'

/** Settings of an exchanger. */
export interface HttpOptions {
  /** Origin of the server, for example `http://127.0.0.1:8080`. */
  readonly origin: string
  readonly connectTimeoutMs?: number
  /** Longest body that is read. */
  readonly maxBodyBytes?: number
  /**
   * After a call that got no answer in time, later calls use new connections: those that
   * are kept may have gone silent together, and each would cost a timeout of its own.
   */
  readonly renewsAfterTimeout?: boolean
}

/** One request. */
export interface HttpRequest {
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Uint8Array | string
  /**
   * Goes with the request as `x-request-id`. An answer that names another request sent
   * before is a second answer to that one: the call fails as broken.
   */
  readonly requestId?: string
  /**
   * Longest time to the end of the answer; for streams, between two chunks. A
   * connection that is being opened is waited for up to `connectTimeoutMs`.
   */
  readonly timeoutMs: number
  readonly signal?: AbortSignal
  /** Uses a connection of its own, so that no stale one can break the call. */
  readonly freshConnection?: boolean
}

/** A whole answer. */
export interface HttpAnswer {
  readonly status: number
  readonly contentType: string
  /** Empty when the answer names none. */
  readonly contentEncoding: string
  /** Empty when the answer has none. */
  readonly etag: string
  /** @returns a header by its name in lower case; empty when the answer has none */
  readonly headerOf: (name: string) => string
  readonly body: Uint8Array
}

/** Why no whole answer came. `reached`: bytes may have reached the server. */
export interface HttpFailure {
  readonly kind: 'aborted' | 'broken' | 'timeout' | 'too_large'
  readonly reached: boolean
  readonly detail: string
}

/** Sends requests to one origin. Never throws and never sends one twice. */
export interface HttpExchanger {
  readonly send: (request: HttpRequest) => Promise<Result<HttpAnswer, HttpFailure>>
  /** Hands each line of the answer to `onLine`; gives the status at the end. */
  readonly sendForLines: (request: HttpRequest, onLine: (line: string) => void) => Promise<Result<number, HttpFailure>>
  /** Ends pending calls and frees connections. */
  readonly close: () => Promise<void>
}

interface Attempt {
  readonly state: SendState
  readonly touch: () => void
  readonly end: () => void
  kind: HttpFailure['kind']
  /** Set once the attempt is to stop. */
  reason?: Error
  /** Set once a connection took the request. */
  abort?: (reason: Error) => void
}

/**
 * Creates an exchanger with its own connections.
 *
 * @param options - origin and limits
 * @returns the exchanger; close it to free its connections
 */
export function createHttpExchanger (options: HttpOptions): HttpExchanger {
  const ends = createConnectionEnds(options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS)
  const makeKept = (): Agent => new Agent({ connect: ends.connect, pipelining: 1 })
  const agents = new Set<Agent>()
  let kept = makeKept()
  agents.add(kept)
  const fresh = new Agent({ connect: ends.connect, pipelining: 0 })
  const sentIds = createSentRequestIds()
  const maxBodyBytes = options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES

  // Calls under way end on the former connections, which are closed after them.
  function renew (former: Agent): void {
    if (former !== kept) return
    kept = makeKept()
    agents.add(kept)
    former.close().then(() => agents.delete(former), () => agents.delete(former))
  }

  async function exchange<T> (request: HttpRequest, reader: AnswerReader<T>): Promise<Result<T, HttpFailure>> {
    const attempt = startAttempt(request)
    const agent = request.freshConnection === true ? fresh : kept
    if (request.requestId !== undefined) sentIds.add(request.requestId)
    try {
      await readOnce({ agent, ends, sentIds, attempt, reader }, request, toUndici(options.origin, request))
      return Ok(reader.end())
    } catch (error) {
      return Err({ kind: reader.isTooLarge() ? 'too_large' : attempt.kind, reached: attempt.state.started, detail: describe(error) })
    } finally {
      attempt.end()
      if (attempt.kind === 'timeout' && options.renewsAfterTimeout === true) renew(agent)
    }
  }

  return {
    send: (request) => exchange(request, createAnswerReader(maxBodyBytes)),
    sendForLines: (request, onLine) => exchange(request, createLineReader(maxBodyBytes, onLine)),
    close: async () => {
      await Promise.all([...agents, fresh].map((agent) => agent.destroy()))
    }
  }
}

interface Reading {
  readonly agent: Agent
  readonly ends: ConnectionEnds
  readonly sentIds: SentRequestIds
  readonly attempt: Attempt
  readonly reader: AnswerReader<unknown>
}

function toUndici (origin: string, request: HttpRequest): Dispatcher.DispatchOptions {
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

// Straight on the dispatcher: a stream and its async iterator cost several
// times as much as all the rest when each chunk carries one token.
function readOnce ({ agent, attempt, ends, reader, sentIds }: Reading, { requestId }: HttpRequest, options: Dispatcher.DispatchOptions): Promise<void> {
  let framing: AnswerFraming = 'connection'
  return new Promise((resolve, reject) => {
    const dispatch = createSendOnce(attempt.state)((...args) => agent.dispatch(...args))
    dispatch(options, {
      onRequestStart: (controller) => {
        attempt.abort = (reason) => controller.abort(reason)
        if (attempt.reason !== undefined) controller.abort(attempt.reason)
      },
      onResponseStart: (controller, status, headers) => {
        if (status < FIRST_FINAL_STATUS) return
        const headerOf = (name: string): string => String(headers[name] ?? '')
        if (requestId !== undefined && sentIds.isOfAnother(requestId, headerOf(REQUEST_ID_HEADER))) {
          controller.abort(new Error('the answer is that of another request'))
          return
        }
        framing = framingOf(options.method, status, headers)
        reader.onHead(status, headerOf)
      },
      onResponseData: (controller, chunk) => {
        attempt.touch()
        try {
          reader.onChunk(chunk)
        } catch (error) {
          reject(error)
          controller.abort(error as Error)
        }
      },
      onResponseEnd: () => {
        if (framing !== 'connection' || ends.isInOrder()) resolve()
        else reject(new Error('the connection was reset before the end of the answer'))
      },
      onResponseError: (_, error) => reject(error)
    })
  })
}

function startAttempt (request: HttpRequest): Attempt {
  const onAbort = (): void => stop('aborted', 'aborted by the caller')
  const onTimeout = (): void => stop('timeout', `no answer within ${request.timeoutMs} ms`)
  const timer = setTimeout(onTimeout, request.timeoutMs)
  const attempt: Attempt = {
    state: { started: false },
    kind: 'broken',
    touch: () => { timer.refresh() },
    end: () => {
      clearTimeout(timer)
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
