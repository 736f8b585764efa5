/**
 * The listening socket for peers: connect over HTTP/2 without TLS.
 *
 * @module
 */
import type { IncomingHttpHeaders, ServerHttp2Session, ServerHttp2Stream } from 'node:http2'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import { createPeerSessions } from './BendfallNodePeerSessions.js'
import type { PeerSessions } from './BendfallNodePeerSessions.js'

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

/** When HTTP/2 and the services are set up. The first connection is early enough for services that nothing else uses. */
export type PeerSetup = 'at_start' | 'with_first_connection'

/**
 * Listens for peers.
 *
 * @param listen - `ip:port`; port 0 for one the system chooses
 * @param register - registers the services
 * @param setup - when it is called; a process that starts may have more urgent work
 * @returns the listener once it is ready
 * @throws Error when the address cannot be bound
 */
export async function listenForPeers (listen: string, register: (router: ConnectRouter, streams: StreamRoutes) => void, setup: PeerSetup = 'at_start'): Promise<PeerListener> {
  const sockets = new Set<Socket>()
  let sessions: PeerSessions | undefined = setup === 'at_start' ? createPeerSessions(register) : undefined
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    sessions ??= createPeerSessions(register)
    sessions.accept(socket)
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
      sessions?.close()
    })
  }
}

function formatAddress ({ address, family, port }: AddressInfo): string {
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`
}
