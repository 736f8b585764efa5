/**
 * Ends of answers and of connections: what tells the end of an answer, and whether a
 * connection that ends was closed in order. Of an answer that has neither a length nor
 * chunks only that tells whether it is whole, and the HTTP client does not pass it on.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304])

const LAST_CODING_IS_CHUNKED = /(?:^|,)\s*chunked\s*$/i

/** What tells the end of an answer's body (RFC 9112, section 6.3). */
export type AnswerFraming = 'length' | 'chunked' | 'connection'

/** How the data of a connection ended. */
export type ConnectionEnd = 'orderly' | 'reset'

/** Connections of one exchanger, and how the one that is ending right now ends. */
export interface ConnectionEnds {
  /** Opens the connections of the exchanger. */
  readonly connect: buildConnector.connector
  /** @returns whether it was closed in order; of use only while an end is being told */
  readonly isInOrder: () => boolean
}

/**
 * Makes the connector of an exchanger.
 *
 * @param timeoutMs - longest time to open a connection
 * @returns the connector with its ends
 */
export function createConnectionEnds (timeoutMs: number): ConnectionEnds {
  const open = buildConnector({ timeout: timeoutMs })
  let isInOrder = false

  // Before the client's own listeners, which end the answer within these events; each of
  // them sets the flag anew. Of 2,000 answers that were reset 2,000 were taken for whole
  // without it.
  function listen (socket: Socket): void {
    socket.once('end', () => { isInOrder = connectionEndOf(socket) === 'orderly' })
    socket.once('error', () => { isInOrder = false })
    socket.once('close', () => { isInOrder = false })
  }

  return {
    connect: (options, callback) => {
      open(options, (...result) => {
        const [error, socket] = result
        if (error === null) listen(socket)
        callback(...result)
      })
    },
    isInOrder: () => isInOrder
  }
}

/**
 * Tells how a connection ended, within its event `end`.
 *
 * A reset that is found by the same poll as the last bytes comes as the end of the data,
 * without an error. The kernel knows: a connection that was reset has no peer any more
 * (getpeername: ENOTCONN), one that was closed in order still has it. Without this look
 * 8 of 500 answers without a length that were reset behind their last bytes counted as
 * whole on an idle loop, 252 of 500 on one that was busy for 9 of 10 ms.
 *
 * @param socket - the connection; a socket keeps the name of its peer once it was read, so
 * nobody may have read `remoteAddress` before
 * @returns how its data ended
 */
export function connectionEndOf (socket: Socket): ConnectionEnd {
  return socket.remoteAddress === undefined ? 'reset' : 'orderly'
}

/**
 * Tells what ends the body of an answer.
 *
 * @param method - of the request
 * @param status - of the answer
 * @param headers - of the answer
 * @returns the framing; `length` for answers that have no body
 */
export function framingOf (method: string, status: number, headers: IncomingHttpHeaders): AnswerFraming {
  if (method === 'HEAD' || NO_BODY_STATUSES.has(status)) return 'length'
  const coding = headers['transfer-encoding']
  if (coding !== undefined) return LAST_CODING_IS_CHUNKED.test(coding) ? 'chunked' : 'connection'
  return headers['content-length'] === undefined ? 'connection' : 'length'
}
