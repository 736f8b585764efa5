/**
 * HTTP server of all stand-ins: routes requests, reads and writes JSON, streams
 * JSON lines, and injects faults.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { gzipSync } from 'node:zlib'
import { createFaultInjector } from './BendfallFakesFaults.js'
import type { Fault, FaultInjector } from './BendfallFakesFaults.js'

const DEFAULT_SLOW_MS = 1_000
const INVALID_JSON = '{"type": garb'

/** Address on which a stand-in listens. */
export interface ListenOptions {
  /** Default `127.0.0.1`. */
  readonly host?: string
  /** 0, the default, chooses a free port. */
  readonly port?: number
}

/** A running stand-in. */
export interface StandIn {
  readonly url: string
  /** Injects a fault, as `POST /control/fail` does. */
  readonly injectFault: (fault: Fault) => void
  /** Clears all faults, as `POST /control/reset` does. */
  readonly reset: () => void
  readonly close: () => Promise<void>
}

/** A request and its connection, as a route handler sees them. */
export interface Exchange {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  readonly headers: IncomingMessage['headers']
  readonly body: Buffer
  /** Parses the body as JSON; returns an empty object when there is none. */
  readonly json: <T>() => T
  /** Aborted when the caller's connection closes before the end of the response. */
  readonly disconnected: AbortSignal
  /** Writes one JSON line of a streamed response. */
  readonly writeLine: (line: object) => void
  /** Closes the connection at once, without completing the response. */
  readonly cut: () => void
}

/** JSON response of a handler, or the last line of its stream. */
export interface JsonReply {
  readonly status?: number
  readonly headers?: Readonly<Record<string, string>>
  /** Compresses the body when the caller accepts gzip. */
  readonly isCompressible?: boolean
  /** Content of the body; undefined for an empty one. */
  readonly body: unknown
}

/** Handles a request; undefined ends the response without a body or a last line. */
export type RouteHandler = (exchange: Exchange) => JsonReply | undefined | Promise<JsonReply | undefined>

/** Handlers by `METHOD /path`; `METHOD /path/*` matches any last segment. */
export type Routes = Readonly<Record<string, RouteHandler>>

/** Behavior of a stand-in's server. */
export interface ServerParts {
  readonly routes: Routes
  /** Handles requests that match no route; the default responds with 404. */
  readonly fallback?: RouteHandler
  readonly faults?: FaultInjector
  readonly onClose?: () => void
}

/**
 * Starts the server of a stand-in.
 *
 * @param options - address to listen on
 * @param parts - routes, fallback, faults and a callback for the close
 * @returns the running stand-in
 * @throws when the port cannot be bound
 */
export async function startServer (options: ListenOptions, parts: ServerParts): Promise<StandIn> {
  const host = options.host ?? '127.0.0.1'
  const faults = parts.faults ?? createFaultInjector()
  const routes: Routes = { ...parts.routes, ...controlRoutes(faults) }
  const server = createServer((request, response) => {
    respond(request, response, routes, parts.fallback ?? notFound, faults).catch(() => response.destroy())
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port ?? 0, host, resolve)
  })
  return {
    url: `http://${host}:${(server.address() as AddressInfo).port}`,
    injectFault: faults.add,
    reset: faults.reset,
    close: () => new Promise((resolve) => {
      parts.onClose?.()
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

function controlRoutes (faults: FaultInjector): Routes {
  return {
    'POST /control/fail': (exchange) => {
      faults.add(exchange.json<Fault>())
      return { body: {} }
    },
    'POST /control/reset': () => {
      faults.reset()
      return { body: {} }
    }
  }
}

function notFound (exchange: Exchange): JsonReply {
  return { status: 404, body: { type: 'not_found', path: exchange.path } }
}

async function respond (request: IncomingMessage, response: ServerResponse, routes: Routes, fallback: RouteHandler, faults: FaultInjector): Promise<void> {
  const exchange = await readExchange(request, response, faults)
  const handler = findHandler(routes, exchange) ?? fallback
  const isControl = exchange.path.startsWith('/control/')
  const reply = isControl ? await handler(exchange) : await handleWithFaults(exchange, handler, faults)
  if (reply !== undefined) sendReply(response, reply, exchange, isControl ? undefined : faults)
  else response.end()
}

async function handleWithFaults (exchange: Exchange, handler: RouteHandler, faults: FaultInjector): Promise<JsonReply | undefined> {
  const slow = faults.consume('slow', exchange.path)
  if (slow !== undefined) await sleep(slow.delayMs ?? DEFAULT_SLOW_MS, undefined, { ref: false })
  if (faults.consume('outage', exchange.path) !== undefined) {
    return { status: 503, body: { type: 'unavailable', detail: 'outage' } }
  }
  return handler(exchange)
}

function findHandler (routes: Routes, exchange: Exchange): RouteHandler | undefined {
  const parent = exchange.path.slice(0, exchange.path.lastIndexOf('/'))
  return routes[`${exchange.method} ${exchange.path}`] ?? routes[`${exchange.method} ${parent}/*`]
}

function sendReply (response: ServerResponse, reply: JsonReply, exchange: Exchange, faults: FaultInjector | undefined): void {
  if (exchange.method !== 'GET' && faults?.consume('lose_answer_after_write', exchange.path) !== undefined) {
    exchange.cut()
    return
  }
  if (response.headersSent) {
    exchange.writeLine(reply.body as object)
    response.end()
    return
  }
  const isGarbage = faults?.consume('garbage', exchange.path) !== undefined
  const text = isGarbage ? INVALID_JSON : JSON.stringify(reply.body) ?? ''
  const isCompressed = reply.isCompressible === true && String(exchange.headers['accept-encoding']).includes('gzip')
  const bytes = isCompressed ? gzipSync(text) : Buffer.from(text)
  const headers = { ...reply.headers, ...isCompressed && { 'content-encoding': 'gzip' } }
  // A 304 response has no body that could be invalid JSON.
  const status = isGarbage && reply.body === undefined ? 200 : reply.status ?? 200
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.length, ...headers })
  if (faults?.consume('half_answer', exchange.path) === undefined) {
    response.end(bytes)
    return
  }
  response.write(bytes.subarray(0, bytes.length / 2), () => exchange.cut())
}

async function readExchange (request: IncomingMessage, response: ServerResponse, faults: FaultInjector): Promise<Exchange> {
  const url = new URL(request.url ?? '/', 'http://stand-in')
  const disconnected = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) disconnected.abort()
  })
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  const body = Buffer.concat(chunks)
  return {
    method: request.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    body,
    json: <T>() => JSON.parse(body.length === 0 ? '{}' : body.toString('utf8')) as T,
    disconnected: disconnected.signal,
    writeLine: (line) => writeLine(response, url.pathname, line, faults),
    cut: () => { response.destroy() }
  }
}

function writeLine (response: ServerResponse, path: string, line: object, faults: FaultInjector): void {
  if (response.destroyed) return
  if (!response.headersSent) response.writeHead(200, { 'content-type': 'application/x-ndjson' })
  const isGarbage = faults.consume('garbage', path) !== undefined
  const text = isGarbage ? INVALID_JSON : JSON.stringify(line)
  if (faults.consume('half_answer', path) === undefined) response.write(`${text}\n`)
  else response.write(text.slice(0, text.length / 2), () => response.destroy())
}
