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
export interface RequestPipeline {
  /**
   * Starts a request once all earlier responses on its connection have been sent; never, if one of them
   * closes the connection.
   *
   * @param request - request from the HTTP server
   * @param response - response object that belongs to the request
   * @param start - called when it is the request's turn
   */
  readonly enqueue: (request: IncomingMessage, response: ServerResponse, start: () => void) => void
  /** @returns whether other requests on the same connection wait for this response to end */
  readonly hasNext: (request: IncomingMessage) => boolean
  /** @returns number of requests that are queued on the connection of this one */
  readonly waiting: (request: IncomingMessage) => number
}

interface PipelinedRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly start: () => void
}

interface Connection {
  current?: PipelinedRequest
  readonly waiting: PipelinedRequest[]
  /** Status of the response to data that could not be parsed or queued after the last request. */
  rejectionStatus?: number
}

/** Maximum number of queued requests per connection; further ones are not processed. */
const MAX_QUEUED_REQUESTS = 100

const SERVICE_UNAVAILABLE = 503
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
export function registerRequestPipeline (server: Server): RequestPipeline {
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
    if (connection === undefined || current === undefined || !current.request.complete || !socket.writable) return rejectRemaining(socket, status)
    connection.rejectionStatus = status
    if (socket.readableEnded) closeConnection(socket, current)
  })

  // After a parse error the server doesn't close the connection by itself, so the caller's
  // disconnect would go unnoticed: a replica kept working on such a request for 1.9 s.
  function closeConnection (socket: Duplex, { response }: PipelinedRequest): void {
    if (response.writableEnded) socket.end()
    else socket.destroy()
  }

  function startRequest (connection: Connection, pipelined: PipelinedRequest): void {
    const { request: { complete, socket }, response, start } = pipelined
    if (connection.rejectionStatus !== undefined && !complete) return rejectRemaining(socket, connection.rejectionStatus)
    connection.current = pipelined
    response.once('close', () => handleResponseClose(connection, socket))
    start()
  }

  function handleResponseClose (connection: Connection, socket: Duplex): void {
    connection.current = undefined
    const next = connection.waiting.shift()
    if (!socket.writable) connection.waiting.length = 0
    else if (next !== undefined) startRequest(connection, next)
    else if (connection.rejectionStatus !== undefined) rejectRemaining(socket, connection.rejectionStatus)
  }

  const waiting = (socket: Duplex): number => connections.get(socket)?.waiting.length ?? 0

  return {
    enqueue: (request, response, start) => {
      const connection = connections.get(request.socket)
      const pipelined = { request, response, start }
      if (connection?.current === undefined) startRequest(connection ?? { waiting: [] }, pipelined)
      else if (connection.waiting.length < MAX_QUEUED_REQUESTS) connection.waiting.push(pipelined)
      else connection.rejectionStatus ??= SERVICE_UNAVAILABLE
    },
    hasNext: ({ socket }) => waiting(socket) > 0,
    waiting: ({ socket }) => waiting(socket)
  }
}

function rejectRemaining (socket: Duplex, status: number): void {
  if (socket.writable) socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
  else socket.destroy()
}
