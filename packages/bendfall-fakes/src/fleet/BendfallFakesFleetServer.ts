/**
 * HTTP server that the stand-ins for the users' platform are built on: it buffers request bodies
 * and can reset all open connections, as a crashing process does.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** A listening stand-in. */
export interface FleetServer {
  /** `ip:port`. */
  readonly address: string
  /** Resets all connections, as the kernel does when a process ends. */
  readonly resetAll: () => void
  /** Stops listening and resets all connections, or closes them gracefully, so that new ones are refused. */
  readonly stop: (isGraceful?: boolean) => void
  readonly close: () => Promise<void>
}

/** Handles a request whose body is complete. */
export type FleetHandler = (request: IncomingMessage, body: Buffer, response: ServerResponse) => void

/**
 * Starts a server on a free port.
 *
 * @param host - loopback address to listen on
 * @param handle - called with each complete request
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
    stop: (isGraceful = false) => {
      server.close()
      if (!isGraceful) return resetAll()
      for (const socket of sockets) socket.destroy()
    },
    close: () => new Promise((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

/**
 * Sends a JSON response.
 *
 * @param response - response whose head has not been sent
 * @param status - HTTP status
 * @param body - value to serialize
 * @param headers - additional headers
 */
export function sendJson (response: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(body))
}
