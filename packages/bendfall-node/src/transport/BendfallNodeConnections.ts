/**
 * Connections from this process to its peers: one HTTP/2 connection a peer,
 * opened on first use and checked by PING frames while streams are open.
 *
 * @module
 */
import type { Client } from '@connectrpc/connect'
import { createClient } from '@connectrpc/connect'
import type { Http2SessionManager } from '@connectrpc/connect-node'
import { createConnectTransport } from '@connectrpc/connect-node'
import { PeerService } from 'bendfall-protocol'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import { encodeHeartbeat } from './BendfallNodeHeartbeat.js'
import { AnsweringSessionManager } from './BendfallNodeSessionManager.js'
import type { SessionHooks } from './BendfallNodeSessionManager.js'

/** Silence on a connection with open streams after which a PING is sent. */
const PING_INTERVAL_MS = 2_000

/** Wait for the answer to a PING before the connection counts as lost. */
const PING_TIMEOUT_MS = 2_000

/** Connections that carry nothing are closed after this time. */
const IDLE_TIMEOUT_MS = 300_000

/** Connection to one peer. */
export interface Connection {
  readonly peer: Client<typeof PeerService>
  /** For the calls of SidecarService, which go without the layers of connect-node. */
  readonly session: Http2SessionManager
  /**
   * Proves on the open connection that this process lives.
   *
   * @param onAnswered - called when the peer answered or the connection closed
   */
  readonly heartbeat: (onAnswered?: () => void) => void
  /**
   * Opens the connection unless it is open.
   *
   * @returns false when the peer cannot be reached; nothing was sent to it
   */
  readonly open: () => Promise<boolean>
}

/** Connections by address. */
export interface Connections {
  /** @param address - `ip:port` of the peer */
  readonly to: (address: string) => Connection
  /**
   * Tells of each connection that closed.
   *
   * @param listener - takes the address of the peer
   * @returns teardown
   */
  readonly onClosed: (listener: (address: string) => void) => Teardown
  /** Closes the connections to all other addresses. */
  readonly retain: (addresses: ReadonlySet<string>) => void
  /** Closes all connections and ends what they carry. */
  readonly close: () => void
}

/**
 * Makes the connections of a process.
 *
 * @param connectTimeoutMs - longest wait for a connection
 * @param incarnation - incarnation of an entry, whose connections hold leases
 * @returns connections, none open yet
 */
export function createConnections (connectTimeoutMs: number, incarnation?: string): Connections {
  const byAddress = new Map<string, Connection>()
  const listeners = new Set<(address: string) => void>()
  const heartbeat = incarnation === undefined ? undefined : encodeHeartbeat(incarnation)

  function open (address: string): Connection {
    const onClosed = (): void => { for (const listener of listeners) listener(address) }
    return connect(address, connectTimeoutMs, { heartbeat, onClosed })
  }

  return {
    to: (address) => {
      const held = byAddress.get(address) ?? open(address)
      byAddress.set(address, held)
      return held
    },
    onClosed: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    retain: (addresses) => {
      for (const [address, connection] of byAddress) {
        if (addresses.has(address)) continue
        connection.session.abort()
        byAddress.delete(address)
      }
    },
    close: () => {
      for (const held of byAddress.values()) held.session.abort()
      byAddress.clear()
    }
  }
}

function connect (address: string, connectTimeoutMs: number, hooks: SessionHooks): Connection {
  const baseUrl = `http://${address}`
  const session = new AnsweringSessionManager(baseUrl, {
    pingIntervalMs: PING_INTERVAL_MS,
    pingTimeoutMs: PING_TIMEOUT_MS,
    idleConnectionTimeoutMs: IDLE_TIMEOUT_MS
  }, hooks)
  const transport = createConnectTransport({ httpVersion: '2', baseUrl, sessionManager: session, acceptCompression: [] })
  return {
    session,
    heartbeat: (onAnswered) => session.heartbeat(onAnswered),
    peer: createClient(PeerService, transport),
    open: async () => await opened(session, connectTimeoutMs)
  }
}

async function opened (session: Http2SessionManager, timeoutMs: number): Promise<boolean> {
  const giveUp = setTimeout(() => session.abort(), timeoutMs)
  const state = await session.connect()
  clearTimeout(giveUp)
  return state !== 'error'
}

/**
 * Closes the connections to instances that left the instance list.
 *
 * @param runtime - update path of the process
 * @param connections - connections of the process
 * @param kept - addresses that stay whatever the list shows
 * @returns teardown
 */
export function registerConnectionCleanup (runtime: Runtime, connections: Connections, kept: readonly string[]): Teardown {
  return runtime.registerListener((event, { state }) => {
    if (event.type !== 'instances_listed' && event.type !== 'instances_changed') return
    const listed = state.members.valueSeq().filter((member) => member.state !== 'gone')
    connections.retain(new Set([...kept, ...listed.map((member) => member.record.address)]))
  })
}
