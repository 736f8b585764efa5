/**
 * Connections to other processes of the router.
 *
 * @module
 */
import { AnsweringSessionManager } from 'bendfall-node'

/** A connection without an answer to a PING for this long is given up. */
const PING_TIMEOUT_MS = 400
const PING_INTERVAL_MS = 1_500

/** Keeps the connection between requests. */
const IDLE_TIMEOUT_MS = 60_000

/**
 * Makes a connection; it is opened with the first call.
 *
 * @param address - `ip:port` of the process
 * @returns the connection
 */
export function createPeerSession (address: string): AnsweringSessionManager {
  return new AnsweringSessionManager(`http://${address}`, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: PING_TIMEOUT_MS, pingIdleConnection: false, idleConnectionTimeoutMs: IDLE_TIMEOUT_MS })
}
