/**
 * The HTTP edge of an entry: checks what callers send, tells the reducer, and
 * sends back what the reducer emits.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Duplex } from 'node:stream'
import { Err } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { RequestId, State } from 'bendfall-core'
import type { EventInput, Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { LimitSettings } from '../settings/BendfallNodeSettings.js'
import { createChatAnswer, createChatStreamAnswer, createServiceAnswer } from './BendfallNodeEdgeAnswer.js'
import type { Answer } from './BendfallNodeEdgeAnswer.js'
import { readBody } from './BendfallNodeEdgeBody.js'
import type { BodyOutcome } from './BendfallNodeEdgeBody.js'
import { CHAT_PATH, createLanguageRequest, readChatBody } from './BendfallNodeEdgeChat.js'
import { createConnection } from './BendfallNodeEdgeConnection.js'
import type { Connection } from './BendfallNodeEdgeConnection.js'
import { readCallerHeaders } from './BendfallNodeEdgeHeaders.js'
import { formatAddress, listen } from './BendfallNodeEdgeListen.js'
import { answerProtocolError } from './BendfallNodeEdgeProtocolError.js'
import { refusalOfEnd, refusalOfInput } from './BendfallNodeEdgeRefusal.js'
import type { BadInput, Refusal } from './BendfallNodeEdgeRefusal.js'
import { createServiceRequest } from './BendfallNodeEdgeRoutes.js'

/** Told of a refusal. */
export type RefusalListener = (refusal: Refusal) => void

/** What an edge needs. */
export interface EdgeOptions {
  /** `ip:port` to listen on; port 0 lets the system choose. */
  readonly listen: string
  readonly limits: LimitSettings
  /** Sees refusals that the reducer never hears of, for log and metrics. */
  readonly onRefusedInput?: RefusalListener
}

/** A listening edge. */
export interface Edge {
  /** `ip:port` that callers reach. */
  readonly address: string
  /** Refuses what is still open and stops listening. Idempotent. */
  readonly close: () => Promise<void>
}

/** A request from its headers to its end. */
interface Exchange {
  readonly requestId: RequestId
  readonly request: IncomingMessage
  readonly connection: Connection
}

/** A request that the reducer knows. */
interface OpenRequest {
  readonly answer: Answer
  readonly connection: Connection
}

/** A checked request, before the reducer hears of it. */
interface Opening {
  readonly answer: Answer
  readonly event: EventInput
}

interface EdgeParts {
  readonly runtime: Runtime
  readonly options: EdgeOptions
  /** Requests that the reducer knows and that have not ended. */
  readonly open: Map<RequestId, OpenRequest>
  /** Number of exchanges on a connection that have not ended. */
  readonly exchangeCounts: WeakMap<Duplex, number>
  /** True from the start of the teardown. */
  closing: boolean
}

type ReadBody = Exclude<BodyOutcome, { type: 'left' }>

const TIMEOUT_CHECKS = 4
const CONNECTIONS_PER_REQUEST = 2

// Time for refusals on their way out when the edge closes.
const CLOSE_GRACE_MS = 1_000

const BUSY: BadInput = { status: 503, reason: 'capacity', message: 'this entry has too many open requests', retryAfterMs: 1_000 }
const DRAINING: BadInput = { status: 503, reason: 'draining', message: 'this entry stops', retryAfterMs: 1_000 }

const BODY_REFUSALS: Readonly<Record<'too_large' | 'timeout', BadInput>> = {
  too_large: { status: 413, reason: 'bad_request', message: 'the body is too large' },
  timeout: { status: 408, reason: 'bad_request', message: 'the body did not arrive in time' }
}

/** Paths that the edge answers by itself. */
const PROBES: ReadonlyMap<string, (state: State) => boolean> = new Map<string, (state: State) => boolean>([
  ['/healthz', () => true],
  ['/readyz', (state) => state.config !== undefined && !state.stopping]
])

/**
 * Starts the HTTP edge and registers its effect handlers.
 *
 * @param runtime - update path of the entry
 * @param options - address, limits and hooks
 * @returns the listening edge with its teardown
 * @throws Error when the address can't be bound
 */
export async function registerEdge (runtime: Runtime, options: EdgeOptions): Promise<Edge> {
  const parts: EdgeParts = { runtime, options, open: new Map(), exchangeCounts: new WeakMap(), closing: false }
  const server = createEdgeServer(parts)
  const unregister = registerEffects(parts)
  try {
    await listen(server, options.listen)
  } catch (error) {
    unregister()
    throw error
  }
  let closed: Promise<void> | undefined
  const close = (): Promise<void> => {
    closed ??= closeEdge(parts, server).finally(unregister)
    return closed
  }
  return { address: formatAddress(server.address() as AddressInfo), close }
}

function createEdgeServer (parts: EdgeParts): Server {
  const { limits } = parts.options
  const options = {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: 0,
    connectionsCheckingInterval: Math.ceil(limits.headerTimeoutMs / TIMEOUT_CHECKS)
  }
  const server = createServer(options, createListener(parts))
  server.maxConnections = limits.openRequests * CONNECTIONS_PER_REQUEST
  server.on('clientError', (error, socket) => {
    // A refusal here would be read as the answer to a request that runs.
    if ((parts.exchangeCounts.get(socket) ?? 0) > 0) return socket.destroy()
    const refusal = answerProtocolError(error, socket)
    if (refusal !== undefined) parts.options.onRefusedInput?.(refusal)
  })
  return server
}

function createListener (parts: EdgeParts): (request: IncomingMessage, response: ServerResponse) => void {
  const { options: { limits }, runtime } = parts
  let openCount = 0
  return (request, response) => {
    const probe = PROBES.get(request.url ?? '')
    if (probe !== undefined) return answerProbe(response, probe(runtime.getState()))
    const exchange = startExchange(parts, request, response)
    openCount += 1
    response.once('close', () => {
      openCount -= 1
      leave(parts, exchange.requestId, 'closed')
    })
    if (openCount > limits.openRequests) refuseInput(parts, exchange, BUSY)
    else serve(parts, exchange)
  }
}

function startExchange (parts: EdgeParts, request: IncomingMessage, response: ServerResponse): Exchange {
  const { options: { limits }, runtime } = parts
  const requestId = randomUUID()
  const isStopping = (): boolean => parts.closing || runtime.getState().stopping
  const connection = createConnection(request, response, { requestId, limits, clock: runtime.clock, isStopping })
  countExchange(parts, request.socket, 1)
  response.once('close', () => countExchange(parts, request.socket, -1))
  return { requestId, request, connection }
}

function countExchange ({ exchangeCounts }: EdgeParts, socket: Duplex, change: number): void {
  exchangeCounts.set(socket, (exchangeCounts.get(socket) ?? 0) + change)
}

function serve (parts: EdgeParts, exchange: Exchange): void {
  readBody(exchange.request, parts.options.limits, parts.runtime.clock, (outcome) => {
    if (outcome.type === 'left') return
    const opening = checkRequest(parts, exchange, outcome)
    if (opening.isErr()) refuseInput(parts, exchange, opening.error)
    else startRequest(parts, exchange, opening.value)
  })
}

function startRequest (parts: EdgeParts, exchange: Exchange, { answer, event }: Opening): void {
  parts.open.set(exchange.requestId, { answer, connection: exchange.connection })
  parts.runtime.dispatch(event)
}

function checkRequest (parts: EdgeParts, exchange: Exchange, outcome: ReadBody): Result<Opening, BadInput> {
  if (outcome.type !== 'whole') return Err(BODY_REFUSALS[outcome.type])
  if (parts.closing) return Err(DRAINING)
  const check = isChat(exchange.request) ? checkChat : checkCall
  return check(parts.runtime, exchange, outcome.body)
}

function checkChat (runtime: Runtime, exchange: Exchange, body: Buffer): Result<Opening, BadInput> {
  const { connection, request: { headers, method }, requestId } = exchange
  const { config } = runtime.getState()
  const wallMs = runtime.clock.wallMs()
  if (method !== 'POST') return Err({ status: 405, reason: 'bad_request', message: 'method: expected POST' })
  return readCallerHeaders(headers).andThen((callerHeaders) =>
    readChatBody(body).andThen((chat) =>
      createLanguageRequest({ requestId, headers: callerHeaders, chat, body }, config).map((request) => {
        const createAnswer = chat.stream ? createChatStreamAnswer : createChatAnswer
        const answer = createAnswer(connection, { request, chat, wallMs })
        return { answer, event: { type: 'language_request_arrived', request } }
      })))
}

function checkCall (runtime: Runtime, exchange: Exchange, body: Buffer): Result<Opening, BadInput> {
  const { connection, request: { headers, method = 'GET', url: path = '/' }, requestId } = exchange
  const { config } = runtime.getState()
  const contentType = headers['content-type'] ?? ''
  return readCallerHeaders(headers).andThen((callerHeaders) =>
    createServiceRequest({ requestId, headers: callerHeaders, method, path, contentType, body }, config).map((request) =>
      ({ answer: createServiceAnswer(connection), event: { type: 'service_request_arrived', request } })))
}

function isChat (request: IncomingMessage): boolean {
  return request.url?.split('?', 1)[0] === CHAT_PATH
}

function refuseInput (parts: EdgeParts, exchange: Exchange, input: BadInput): void {
  const refusal = refusalOfInput(input, exchange.requestId)
  parts.options.onRefusedInput?.(refusal)
  exchange.connection.refuse(refusal)
}

function registerEffects (parts: EdgeParts): () => void {
  const { open, runtime } = parts
  const teardowns = [
    runtime.registerEffect('emit_tokens', ({ requestId, tokens }) => {
      const keepsUp = open.get(requestId)?.answer.takeTokens(tokens) ?? true
      if (!keepsUp) dropSlowReader(parts, requestId)
    }),
    runtime.registerEffect('emit_answer', (effect) => {
      open.get(effect.requestId)?.answer.takeWhole(effect)
    }),
    runtime.registerEffect('end_request', ({ end }) => {
      const request = open.get(end.requestId)
      open.delete(end.requestId)
      request?.answer.end(end)
    })
  ]
  return () => { for (const teardown of teardowns) teardown() }
}

function dropSlowReader (parts: EdgeParts, requestId: RequestId): void {
  const request = parts.open.get(requestId)
  leave(parts, requestId, 'slow_reader')
  request?.connection.destroy()
}

/** Tells the reducer once that a caller is gone, unless its request has ended. */
function leave (parts: EdgeParts, requestId: RequestId, reason: 'closed' | 'slow_reader'): void {
  if (!parts.open.delete(requestId)) return
  parts.runtime.dispatch({ type: 'caller_left', requestId, reason })
}

function answerProbe (response: ServerResponse, good: boolean): void {
  response.writeHead(good ? 200 : 503, { 'content-type': 'text/plain' })
  response.end(good ? 'ok\n' : 'not ready\n')
}

async function closeEdge (parts: EdgeParts, server: Server): Promise<void> {
  const { clock } = parts.runtime
  parts.closing = true
  const closed = new Promise<void>((resolve) => { server.close(() => resolve()) })
  for (const [requestId, { connection }] of [...parts.open]) {
    leave(parts, requestId, 'closed')
    connection.refuse(refusalOfEnd({ requestId, outcome: 'unknown', reason: 'draining', retryAfterMs: 0, detail: DRAINING.message }))
  }
  const cancelCut = clock.callAt(clock.nowMs() + CLOSE_GRACE_MS, () => server.closeAllConnections())
  await closed
  cancelCut()
}
