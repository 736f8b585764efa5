/**
 * Connections to one replica: one request at a time on each, the one used last
 * first, so that few stay open.
 *
 * @module
 */
import type { Socket } from 'node:net'
import { buildConnector, Client } from 'undici'

/** Longest time to open a connection; a first packet that is lost is sent again only after a second. */
export const CONNECT_TIMEOUT_MS = 400

/** From an idle connection to the first keep-alive probe. */
const PROBE_AFTER_MS = 1_000

/** Idle time after which a connection is closed when the replica does not tell its own. */
const IDLE_CLOSE_MS = 8_000

/** Longest idle time that a replica may ask for. */
const LONGEST_IDLE_MS = 60_000

/** Head of an answer at most. */
const MAX_HEAD_BYTES = 32_768

/** A connection that one request uses at a time. */
export interface Connection {
  readonly client: Client
  /** Whether the connection was reset, as opposed to closed in order. */
  readonly wasReset: () => boolean
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
    let socket: Socket | undefined
    let isReset = false
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS, keepAlive: true, keepAliveInitialDelay: PROBE_AFTER_MS })
    const client = new Client(`http://${address}`, {
      connect: (options, callback) => {
        isReset = false
        connect(options, (...result) => {
          const [error, opened] = result
          if (error === null) {
            socket = opened as Socket
            // Before the client's own listener, which takes a reset for the end of an answer without a length.
            socket.once('error', () => { isReset = true })
            onConnect()
          }
          callback(...result)
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
    return { client, wasReset: () => isReset }
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
