/**
 * Checks whether a process listens at an address, by opening a connection.
 *
 * @module
 */
import { connect } from 'node:net'

/** Result of a probe; only `refused` proves that no process listens there. */
export type PeerProbeOutcome = 'accepted' | 'refused' | 'unanswered'

/** A system that accepts or refuses does so within a round trip; the rest allows for one lost packet. */
const PROBE_TIMEOUT_MS = 300

/**
 * Opens a connection and closes it again.
 *
 * @param address - `ip:port` of the process
 * @returns `refused` if the system at the address refused the connection, `unanswered` on any other failure
 */
export function probePeer (address: string): Promise<PeerProbeOutcome> {
  const { hostname, port } = new URL(`http://${address}`)
  return new Promise((resolve) => {
    const socket = connect({ host: hostname.replace(/^\[|\]$/g, ''), port: Number(port), timeout: PROBE_TIMEOUT_MS })
    const finish = (outcome: PeerProbeOutcome): void => {
      socket.destroy()
      resolve(outcome)
    }
    socket.once('connect', () => finish('accepted'))
    socket.once('timeout', () => finish('unanswered'))
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unanswered'))
  })
}
