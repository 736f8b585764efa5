/**
 * HTTP server of the stand-ins for the users' platform.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** A stand-in that listens. */
export interface FleetServer {
  /** `ip:port`. */
  readonly address: string
  /** Resets all connections, as the end of the process does. */
  readonly resetAll: () => void
  /** Listens no longer and resets all connections: new ones are refused. */
  readonly stop: () => void
  readonly close: () => Promise<void>
}

/** Takes a whole request. */
export type FleetHandler = (request: IncomingMessage, body: Buffer, response: ServerResponse) => void

/**
 * Starts a server.
 *
 * @param host - loopback address to listen on
 * @param handle - takes each request
 * @returns the server once it listens
 */
export async function startFleetServer (host: string, handle: FleetHandler): Promise<FleetServer> {
  const sockets = new Set<Socket>()
  const server = createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.once('end', () => handle(request, Buffer.concat(chunks), response))
  })
  server.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  const resetAll = (): void => { for (const socket of sockets) socket.resetAndDestroy() }
  await new Promise<void>((resolve) => server.listen(0, host, resolve))
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    resetAll,
    stop: () => {
      server.close()
      resetAll()
    },
    close: () => new Promise((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

/**
 * Answers with JSON.
 *
 * @param response - answer that has not begun
 * @param status - HTTP status
 * @param body - JSON value
 * @param headers - further headers
 */
export function answerJson (response: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(body))
}
