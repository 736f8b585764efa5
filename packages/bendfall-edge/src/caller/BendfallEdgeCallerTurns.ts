/**
 * Serializes pipelined requests on a caller's connection: one is processed at a time, and none
 * after a response that closes the connection. Data after a request, including invalid data,
 * can neither be answered in its place nor terminate its response.
 *
 * @module
 */
import { STATUS_CODES } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'

/** Pipelined requests of all caller connections. */
export interface CallerTurns {
  /**
   * Starts a request once all earlier responses on its connection have been sent; never, if one of them
   * closes the connection.
   *
   * @param request - request from the HTTP server
   * @param response - response object that belongs to the request
   * @param start - called when it is the request's turn
   */
  readonly take: (request: IncomingMessage, response: ServerResponse, start: () => void) => void
  /** @returns whether other requests on the same connection wait for this response to end */
  readonly hasNext: (request: IncomingMessage) => boolean
  /** @returns number of requests that are queued on the connection of this one */
  readonly waiting: (request: IncomingMessage) => number
}

interface Turn {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly start: () => void
}

interface Connection {
  current?: Turn
  readonly waiting: Turn[]
  /** Status of the response to data that could not be parsed or queued after the last request. */
  brokenStatus?: number
}

/** Maximum number of queued requests per connection; further ones are not processed. */
const LONGEST_QUEUE = 100

const NOT_RUN = 503
const BAD_REQUEST = 400

/** Response statuses by parser error code, the same as Node's HTTP server uses. */
const ERROR_STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431
}

/**
 * Installs the pipelining of requests on a server.
 *
 * @param server - HTTP server for callers
 * @returns queue through which the server's requests must pass
 */
export function registerCallerTurns (server: Server): CallerTurns {
  const connections = new WeakMap<Duplex, Connection>()

  server.on('connection', (socket) => {
    connections.set(socket, { waiting: [] })
    // Must run before the server's own listener, which would close the connection gracefully.
    socket.prependListener('end', () => {
      const response = connections.get(socket)?.current?.response
      if (response !== undefined && response.headersSent && !response.writableEnded) socket.resetAndDestroy()
    })
  })
  // The caller would take the server's default response for the response to the previous request.
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const connection = connections.get(socket)
    const status = ERROR_STATUSES[error.code ?? ''] ?? BAD_REQUEST
    const current = connection?.current
    if (connection === undefined || current === undefined || !current.request.complete || !socket.writable) return refuseRest(socket, status)
    connection.brokenStatus = status
    if (socket.readableEnded) leave(socket, current)
  })

  // After a parse error the server doesn't close the connection by itself, so the caller's
  // disconnect would go unnoticed: a replica kept working on such a request for 1.9 s.
  function leave (socket: Duplex, { response }: Turn): void {
    if (response.writableEnded) socket.end()
    else socket.destroy()
  }

  function begin (connection: Connection, turn: Turn): void {
    const { request: { complete, socket }, response, start } = turn
    if (connection.brokenStatus !== undefined && !complete) return refuseRest(socket, connection.brokenStatus)
    connection.current = turn
    response.once('close', () => endTurn(connection, socket))
    start()
  }

  function endTurn (connection: Connection, socket: Duplex): void {
    connection.current = undefined
    const next = connection.waiting.shift()
    if (!socket.writable) connection.waiting.length = 0
    else if (next !== undefined) begin(connection, next)
    else if (connection.brokenStatus !== undefined) refuseRest(socket, connection.brokenStatus)
  }

  const waiting = (socket: Duplex): number => connections.get(socket)?.waiting.length ?? 0

  return {
    take: (request, response, start) => {
      const connection = connections.get(request.socket)
      const turn = { request, response, start }
      if (connection?.current === undefined) begin(connection ?? { waiting: [] }, turn)
      else if (connection.waiting.length < LONGEST_QUEUE) connection.waiting.push(turn)
      else connection.brokenStatus ??= NOT_RUN
    },
    hasNext: ({ socket }) => waiting(socket) > 0,
    waiting: ({ socket }) => waiting(socket)
  }
}

function refuseRest (socket: Duplex, status: number): void {
  if (socket.writable) socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`)
  else socket.destroy()
}
