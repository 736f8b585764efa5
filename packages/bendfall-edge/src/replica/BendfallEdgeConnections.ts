/**
 * Connections to one replica: one request at a time on each, the one used last
 * first, so that few stay open.
 *
 * @module
 */
import { Client } from 'undici'
import { connectReplica } from './BendfallEdgeReplicaSocket.js'
import type { ConnectCallback, ConnectionEnd } from './BendfallEdgeReplicaSocket.js'

/** Idle time after which a connection is closed when the replica does not tell its own. */
const IDLE_CLOSE_MS = 8_000

/** Longest idle time that a replica may ask for. */
const LONGEST_IDLE_MS = 60_000

/** Port of an address that names none. */
const HTTP_PORT = 80

/** Head of an answer at most. */
const MAX_HEAD_BYTES = 32_768

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
}

/** Connections to one replica. */
export interface ConnectionPool {
  /** @returns a connection that no request uses */
  readonly take: () => Connection
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
  const idle: Connection[] = []
  const all = new Set<Client>()

  function open (): Connection {
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
          if (result[0] === null) onConnect()
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
    return { client, end: () => end, onEnding: (listener) => { tellEnding = listener } }
  }

  function takeIdle (): Connection | undefined {
    for (let connection = idle.pop(); connection !== undefined; connection = idle.pop()) {
      if (connection.client.stats.connected) return connection
      drop(connection)
    }
    return undefined
  }

  function drop ({ client }: Connection): void {
    all.delete(client)
    client.destroy().catch(ignoreError)
  }

  return {
    take: () => takeIdle() ?? open(),
    giveBack: (connection) => {
      if (connection.client.destroyed || !connection.client.stats.connected) drop(connection)
      else idle.push(connection)
    },
    closeIdle: () => { for (const connection of idle.splice(0)) drop(connection) },
    destroy: () => {
      for (const client of all) client.destroy().catch(ignoreError)
      all.clear()
      idle.length = 0
    }
  }
}

// The error of a destroyed client is the destroy itself; its request, if any, was told.
function ignoreError (): void {}
