/**
 * Requests that share a caller's connection: one at a time, none behind an
 * answer that ends the connection. What follows a request can neither be
 * answered in its place nor end its answer.
 *
 * @module
 */
import { STATUS_CODES } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'

/** Requests of the callers' connections. */
export interface CallerTurns {
  /**
   * Starts a request once the answers before it are out; never, if one of them ends the connection.
   *
   * @param request - the request
   * @param response - its answer
   * @param start - takes the request
   */
  readonly take: (request: IncomingMessage, response: ServerResponse, start: () => void) => void
  /** @returns whether other requests wait for the end of this one's answer */
  readonly hasNext: (request: IncomingMessage) => boolean
  /** @returns number of requests that wait on the connection of this one */
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
  /** Status of what could not be read behind the last request. */
  brokenStatus?: number
}

/** Requests that wait on one connection; those behind them are not run. */
const LONGEST_QUEUE = 100

const NOT_RUN = 503
const BAD_REQUEST = 400

/** Statuses by the code of the parser's error, as the server itself chooses them. */
const ERROR_STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431
}

/**
 * Registers the turns with a server.
 *
 * @param server - server for callers
 * @returns the turns
 */
export function registerCallerTurns (server: Server): CallerTurns {
  const connections = new WeakMap<Duplex, Connection>()

  server.on('connection', (socket) => {
    connections.set(socket, { waiting: [] })
    // Before the server's own listener, which would close the connection in order.
    socket.prependListener('end', () => {
      const response = connections.get(socket)?.current?.response
      if (response !== undefined && response.headersSent && !response.writableEnded) socket.resetAndDestroy()
    })
  })
  // The server's own answer would be read as that to the request before.
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const connection = connections.get(socket)
    const status = ERROR_STATUSES[error.code ?? ''] ?? BAD_REQUEST
    const current = connection?.current
    if (connection === undefined || current === undefined || !current.request.complete || !socket.writable) return refuseRest(socket, status)
    connection.brokenStatus = status
    if (socket.readableEnded) leave(socket, current)
  })

  // The server closes nothing after an error, so that nobody would learn that the caller has
  // left: a replica worked on for 1.9 s.
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
