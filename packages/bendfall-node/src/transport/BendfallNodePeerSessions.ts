/**
 * HTTP/2 on connections that peers opened.
 *
 * @module
 */
import { createServer } from 'node:http2'
import type { Http2ServerRequest, Http2ServerResponse, ServerHttp2Session } from 'node:http2'
import type { Socket } from 'node:net'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { SessionListener, StreamHandler, StreamRoutes } from './BendfallNodePeerListener.js'

/** Streams that one peer may have open at a time. */
const MAX_STREAMS_PER_PEER = 10_000

/** Largest message that a peer may send. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024

/** The open connections of peers. */
export interface PeerSessions {
  /** Takes over a connection. */
  readonly accept: (socket: Socket) => void
  /** Closes each connection after its open streams. */
  readonly close: () => void
}

/**
 * Creates the HTTP/2 server, which does not listen itself.
 *
 * @param register - registers the services
 * @returns the sessions, none yet
 */
export function createPeerSessions (register: (router: ConnectRouter, streams: StreamRoutes) => void): PeerSessions {
  const listeners = new Set<SessionListener>()
  const sessions = new Set<ServerHttp2Session>()
  const server = createServer({ settings: { maxConcurrentStreams: MAX_STREAMS_PER_PEER } }, createHandler(register, listeners))
  server.on('session', (session) => {
    sessions.add(session)
    for (const listener of listeners) listener(session)
    session.once('close', () => sessions.delete(session))
  })
  return {
    accept: (socket) => { server.emit('connection', socket) },
    close: () => { for (const session of sessions) session.close() }
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
