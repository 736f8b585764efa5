/**
 * Connections to one replica: one request at a time on each, the one used last
 * first, so that few stay open. None is used again after anything unasked came on it.
 *
 * @module
 */
import type { ConnectionEnd } from 'bendfall-platform'
import { Client } from 'undici'
import { connectReplica } from './BendfallEdgeReplicaSocket.js'
import type { ConnectCallback, ReplicaSocket } from './BendfallEdgeReplicaSocket.js'

/** Idle time after which a connection is closed when the replica does not tell its own. */
const IDLE_CLOSE_MS = 8_000

/** Longest idle time that a replica may ask for. */
const LONGEST_IDLE_MS = 60_000

/** Port of an address that names none. */
const HTTP_PORT = 80

/** Head of an answer at most. */
const MAX_HEAD_BYTES = 32_768

/** Requests that a connection carries at most; it remembers their ids, some 100 bytes each. */
const MOST_REQUESTS = 256

/** A connection that one request uses at a time. */
export interface Connection {
  readonly client: Client
  /** How its data ended; `undefined` while it is open, and after an error. */
  readonly end: () => ConnectionEnd | undefined
  /**
   * Sets who is told of the end of the data before the client acts on it; replaces the
   * former one.
   */
  readonly onEnding: (listener: () => void) => void
  /** Ids of the requests that it carried; absent: it carries one call. */
  readonly requestIds?: Set<string>
  /** Bytes that came on it so far. */
  readonly bytesRead: () => number
  /** Keeps the first line of the next answer anew. */
  readonly awaitAnswer: () => void
  /** @returns what came of that line */
  readonly startLine: () => string
}

/** A connection that waits for its next request. */
interface IdleConnection {
  readonly connection: Connection
  /** Bytes that had come when its last answer had ended. */
  readonly bytesRead: number
}

/** Connections to one replica. */
export interface ConnectionPool {
  /**
   * @param requestId - of the request; absent: the answer bears no id
   * @returns a connection that no request uses and that carried none of the same id, since
   * the id does not tell a second answer to the earlier one; a new one without an id
   */
  readonly take: (requestId?: string) => Connection
  /** Gives a connection back after its answer. */
  readonly giveBack: (connection: Connection) => void
  /** Ends the connections that no request uses. */
  readonly closeIdle: () => void
  /** Ends all connections. */
  readonly destroy: () => void
}

/**
 * Makes the pool of a replica.
 *
 * @param address - `ip:port` of the replica
 * @param onConnect - called for each connection opened
 * @returns the pool
 */
export function createConnectionPool (address: string, onConnect: () => void): ConnectionPool {
  const idle: IdleConnection[] = []
  const all = new Set<Client>()

  function open (requestIds?: Set<string>): Connection {
    let socket: ReplicaSocket | undefined
    let end: ConnectionEnd | undefined
    let tellEnding = (): void => {}
    const onEnd = (ended: ConnectionEnd): void => {
      end = ended
      tellEnding()
    }
    const client = new Client(`http://${address}`, {
      connect: ({ hostname, port }, callback) => {
        end = undefined
        connectReplica({ host: hostname, port: Number(port === '' ? HTTP_PORT : port), onEnd }, (...result) => {
          if (result[0] === null) {
            socket = result[1]
            onConnect()
          }
          ;(callback as ConnectCallback)(...result)
        })
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_CLOSE_MS,
      keepAliveMaxTimeout: LONGEST_IDLE_MS,
      maxHeaderSize: MAX_HEAD_BYTES
    })
    all.add(client)
    return { client, end: () => end, onEnding: (listener) => { tellEnding = listener }, requestIds, bytesRead: () => socket?.bytesRead ?? 0, awaitAnswer: () => socket?.awaitAnswer(), startLine: () => socket?.startLine() ?? '' }
  }

  function takeIdle (requestId: string): Connection | undefined {
    for (let index = idle.length - 1; index >= 0; index--) {
      const { bytesRead, connection } = idle[index] as IdleConnection
      if (connection.requestIds?.has(requestId) === true) continue
      idle.splice(index, 1)
      if (connection.client.stats.connected && connection.bytesRead() === bytesRead) return connection
      drop(connection)
    }
    return undefined
  }

  function take (requestId?: string): Connection {
    if (requestId === undefined) return open()
    const connection = takeIdle(requestId) ?? open(new Set())
    connection.requestIds?.add(requestId)
    connection.awaitAnswer()
    return connection
  }

  function mayBeUsedAgain ({ client, requestIds }: Connection): boolean {
    return requestIds !== undefined && requestIds.size < MOST_REQUESTS && !client.destroyed && client.stats.connected
  }

  function drop ({ client }: Connection): void {
    all.delete(client)
    client.destroy().catch(ignoreError)
  }

  return {
    take,
    giveBack: (connection) => {
      if (mayBeUsedAgain(connection)) idle.push({ connection, bytesRead: connection.bytesRead() })
      else drop(connection)
    },
    closeIdle: () => { for (const { connection } of idle.splice(0)) drop(connection) },
    destroy: () => {
      for (const client of all) client.destroy().catch(ignoreError)
      all.clear()
      idle.length = 0
    }
  }
}

// The error of a destroyed client is the destroy itself; its request, if any, was told.
function ignoreError (): void {}
