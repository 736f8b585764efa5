/**
 * The listening socket for peers: connect over HTTP/2 without TLS.
 *
 * @module
 */
import { createServer } from 'node:http2'
import type { Http2ServerRequest, Http2ServerResponse, IncomingHttpHeaders, ServerHttp2Session, ServerHttp2Stream } from 'node:http2'
import type { AddressInfo, Socket } from 'node:net'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'

/** Streams that one peer may have open at a time. */
const MAX_STREAMS_PER_PEER = 10_000

/** Largest message that a peer may send. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024

/** Time for answers on their way when the listener closes. */
const CLOSE_GRACE_MS = 1_000

/** Takes a connection that a peer opened. */
export type SessionListener = (session: ServerHttp2Session) => void

/** Takes a stream of a method. */
export type StreamHandler = (stream: ServerHttp2Stream, headers: IncomingHttpHeaders) => void

/** Streams that are served without the layers of connect-node. */
export interface StreamRoutes {
  /**
   * @param path - path of the method
   * @param handler - takes each stream with its headers
   * @returns teardown
   */
  readonly add: (path: string, handler: StreamHandler) => Teardown
  /**
   * @param listener - takes each connection that a peer opens
   * @returns teardown
   */
  readonly onSession: (listener: SessionListener) => Teardown
}

/** A socket that peers connect to. */
export interface PeerListener {
  /** `ip:port` on which the process listens. */
  readonly address: string
  /** Stops listening; answers on their way get a second to go out. */
  readonly close: () => Promise<void>
}

/**
 * Listens for peers.
 *
 * @param listen - `ip:port`; port 0 for one the system chooses
 * @param register - registers the services
 * @returns the listener once it is ready
 * @throws Error when the address cannot be bound
 */
export async function listenForPeers (listen: string, register: (router: ConnectRouter, streams: StreamRoutes) => void): Promise<PeerListener> {
  const listeners = new Set<SessionListener>()
  const server = createServer({ settings: { maxConcurrentStreams: MAX_STREAMS_PER_PEER } }, createHandler(register, listeners))
  const sessions = new Set<ServerHttp2Session>()
  const sockets = new Set<Socket>()
  server.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  server.on('session', (session) => {
    sessions.add(session)
    for (const listener of listeners) listener(session)
    session.once('close', () => sessions.delete(session))
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    const { hostname, port } = new URL(`http://${listen}`)
    server.listen(Number(port), hostname.replace(/^\[|\]$/g, ''), resolve)
  })
  return {
    address: formatAddress(server.address() as AddressInfo),
    close: () => new Promise<void>((resolve) => {
      // Not the sessions: one that is closing waits for its peer to end the connection too,
      // which never comes on one that went silent. On a day with silent connections three
      // sidecars of three that stopped were killed at the end of their grace time.
      const cut = setTimeout(() => { for (const socket of sockets) socket.destroy() }, CLOSE_GRACE_MS)
      server.close(() => {
        clearTimeout(cut)
        resolve()
      })
      for (const session of sessions) session.close()
    })
  }
}

function createHandler (register: (router: ConnectRouter, streams: StreamRoutes) => void, listeners: Set<SessionListener>): (request: Http2ServerRequest, response: Http2ServerResponse) => void {
  const handlers = new Map<string, StreamHandler>()
  const streams: StreamRoutes = {
    add: (path, handler) => {
      handlers.set(path, handler)
      return () => { handlers.delete(path) }
    },
    onSession: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
  const adapter = connectNodeAdapter({ routes: (router) => register(router, streams), readMaxBytes: MAX_MESSAGE_BYTES })
  return (request, response) => {
    const handler = handlers.get(request.url)
    if (handler === undefined) adapter(request, response)
    else handler(request.stream, request.headers)
  }
}

function formatAddress ({ address, family, port }: AddressInfo): string {
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`
}
