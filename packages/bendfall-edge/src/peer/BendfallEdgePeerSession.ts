/**
 * HTTP/2 connections to other processes of the router, with the timeouts that all of them share.
 *
 * @module
 */
import { AnsweringSessionManager } from 'bendfall-node'

/** A connection is closed when a PING goes unanswered for this long. */
const PING_TIMEOUT_MS = 400
const PING_INTERVAL_MS = 1_500

/** Time for which a connection stays open between requests. */
const IDLE_TIMEOUT_MS = 60_000

/**
 * Creates a connection that opens with the first call.
 *
 * @param address - `ip:port` of the process
 * @returns the connection
 */
export function createPeerSession (address: string): AnsweringSessionManager {
  return new AnsweringSessionManager(`http://${address}`, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: PING_TIMEOUT_MS, pingIdleConnection: false, idleConnectionTimeoutMs: IDLE_TIMEOUT_MS })
}
