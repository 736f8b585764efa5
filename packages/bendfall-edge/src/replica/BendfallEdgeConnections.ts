/**
 * Connection pool of one replica. A connection carries one request at a time, and the most recently
 * used one is reused first, so that few stay open. A connection on which unsolicited data has
 * arrived is not reused, nor is one that is older than a refused connection: it leads to a process
 * that has ended or stopped listening.
 *
 * @module
 */
import type { ConnectionEnd } from 'bendfall-platform'
import type { ProcessCheck } from 'bendfall-router'
import { Client } from 'undici'
import { connectReplica, isConnectionRefused } from './BendfallEdgeReplicaSocket.js'
import type { ConnectCallback, ReplicaSocket } from './BendfallEdgeReplicaSocket.js'

/** Idle time after which a connection is closed if the replica doesn't specify one. */
const DEFAULT_IDLE_TIMEOUT_MS = 8_000

/** Maximum idle time that a replica may specify. */
const MAX_IDLE_TIMEOUT_MS = 60_000

/** Port of an address without a port. */
const DEFAULT_HTTP_PORT = 80

/** Maximum size of a response head. */
const MAX_HEAD_BYTES = 32_768

/** Maximum number of requests per connection, since it stores their ids of about 100 bytes each. */
const MAX_REQUESTS_PER_CONNECTION = 256

/** A connection that carries one request at a time. */
export interface Connection {
  readonly client: Client
  /** Returns how the received data ended; `undefined` while the connection is open and after an error. */
  readonly end: () => ConnectionEnd | undefined
  /**
   * Sets the listener that is called at the end of the data, before the HTTP client handles it.
   * Replaces the previous listener.
   */
  readonly onBeforeEnd: (listener: () => void) => void
  /** Ids of the requests carried so far; absent for a connection dedicated to a single call. */
  readonly requestIds?: Set<string>
  /** Returns the number of bytes received so far. */
  readonly bytesRead: () => number
  /** Returns the number of bytes that were received and wait to be processed. */
  readonly unreadBytes: () => number
  /** @returns whether the received data ends with a complete head of a response */
  readonly endsWithHead: () => boolean
  /** Resets the recorded start line for the next response. */
  readonly resetStartLine: () => void
  /** @returns the received part of the start line of the response */
  readonly startLine: () => string
  /** Returns whether no connection has been refused since this one was opened. */
  readonly isCurrent: () => boolean
}

/** A connection that is available for the next request. */
interface IdleConnection {
  readonly connection: Connection
  /** Bytes received by the end of the last response. */
  readonly bytesRead: number
}

/** Connection pool of one replica. */
export interface ConnectionPool {
  /**
   * @param requestId - id of the request; omitted if the response echoes none
   * @returns an idle or new connection that hasn't carried a request with the same id, since the id
   * couldn't identify a duplicate response to the earlier one; without an id always a new connection
   */
  readonly acquire: (requestId?: string) => Connection
  /** Returns a connection to the pool after its response. */
  readonly release: (connection: Connection) => void
  /** Opens a connection to see whether a process accepts it, and calls back once with the outcome. */
  readonly check: (onOutcome: (outcome: ProcessCheck) => void) => void
  /** Closes all idle connections. */
  readonly closeIdle: () => void
  /** Closes all connections. */
  readonly destroy: () => void
}

/**
 * Creates the connection pool of a replica.
 *
 * @param address - `ip:port` of the replica
 * @param onConnect - called for each opened connection
 * @param onRefused - called if nothing listens at the address, before the call fails
 * @returns the pool
 */
export function createConnectionPool (address: string, onConnect: () => void, onRefused: () => void = () => {}): ConnectionPool {
  const idle: IdleConnection[] = []
  const allClients = new Set<Client>()
  let refusals = 0

  function handleRefused (): void {
    refusals += 1
    closeIdle()
    onRefused()
  }

  function openConnection (requestIds?: Set<string>): Connection {
    let socket: ReplicaSocket | undefined
    let end: ConnectionEnd | undefined
    let refusalsBefore = refusals
    let notifyBeforeEnd = (): void => {}
    const onEnd = (connectionEnd: ConnectionEnd): void => {
      end = connectionEnd
      notifyBeforeEnd()
    }
    const client = new Client(`http://${address}`, {
      connect: ({ hostname, port }, callback) => {
        end = undefined
        connectReplica({ host: hostname, port: portOf(port), onEnd }, (...result) => {
          if (result[0] === null) {
            socket = result[1]
            refusalsBefore = refusals
            onConnect()
          } else if (isConnectionRefused(result[0])) handleRefused()
          ;(callback as ConnectCallback)(...result)
        })
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEAD_BYTES
    })
    allClients.add(client)
    return { client, end: () => end, onBeforeEnd: (listener) => { notifyBeforeEnd = listener }, requestIds, bytesRead: () => socket?.bytesRead ?? 0, unreadBytes: () => socket?.readableLength ?? 0, endsWithHead: () => socket?.endsWithHead() === true, resetStartLine: () => socket?.resetStartLine(), startLine: () => socket?.startLine() ?? '', isCurrent: () => refusalsBefore === refusals }
  }

  function acquireIdle (requestId: string): Connection | undefined {
    for (let index = idle.length - 1; index >= 0; index--) {
      const { bytesRead, connection } = idle[index] as IdleConnection
      if (connection.requestIds?.has(requestId) === true) continue
      idle.splice(index, 1)
      if (connection.client.stats.connected && connection.bytesRead() === bytesRead) return connection
      discard(connection)
    }
    return undefined
  }

  function acquire (requestId?: string): Connection {
    if (requestId === undefined) return openConnection()
    const connection = acquireIdle(requestId) ?? openConnection(new Set())
    connection.requestIds?.add(requestId)
    connection.resetStartLine()
    return connection
  }

  function isReusable ({ client, isCurrent, requestIds }: Connection): boolean {
    return isCurrent() && requestIds !== undefined && requestIds.size < MAX_REQUESTS_PER_CONNECTION && !client.destroyed && client.stats.connected
  }

  function discard ({ client }: Connection): void {
    allClients.delete(client)
    client.destroy().catch(ignoreError)
  }

  function closeIdle (): void {
    for (const { connection } of idle.splice(0)) discard(connection)
  }

  function check (onOutcome: (outcome: ProcessCheck) => void): void {
    const { hostname, port } = new URL(`http://${address}`)
    connectReplica({ host: hostname, port: portOf(port), onEnd: () => {} }, (...[error, socket]) => {
      socket?.destroy()
      if (error === null) onConnect()
      else if (isConnectionRefused(error)) handleRefused()
      onOutcome(error === null ? 'alive' : outcomeOf(error))
    })
  }

  return {
    acquire,
    check,
    release: (connection) => {
      if (isReusable(connection)) idle.push({ connection, bytesRead: connection.bytesRead() })
      else discard(connection)
    },
    closeIdle,
    destroy: () => {
      for (const client of allClients) client.destroy().catch(ignoreError)
      allClients.clear()
      idle.length = 0
    }
  }
}

function outcomeOf (error: NodeJS.ErrnoException): ProcessCheck {
  return isConnectionRefused(error) ? 'ended' : 'unanswered'
}

function portOf (port: string): number {
  return Number(port === '' ? DEFAULT_HTTP_PORT : port)
}

// A destroyed client rejects because of the destruction itself; its request, if any, has already been
// notified.
function ignoreError (): void {}
