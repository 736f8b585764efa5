/**
 * Tells whether the connection that is ending right now was closed in order. Of an answer
 * without a length only that tells whether it is whole, and the HTTP client does not pass
 * it on.
 *
 * @module
 */
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304])

const LAST_CODING_IS_CHUNKED = /(?:^|,)\s*chunked\s*$/i

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
  // them sets the flag anew. A reset that is found together with the last bytes is told as
  // `end`, without an error: then the kernel no longer knows the peer. Of 2,000 answers that
  // were reset 2,000 were taken for whole before.
  function listen (socket: Socket): void {
    socket.once('end', () => { isInOrder = socket.remoteAddress !== undefined })
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
 * Tells whether an answer says itself where it ends.
 *
 * @param method - of the request
 * @param status - of the answer
 * @param headerOf - reads a header of the answer; empty when it has none
 * @returns false when only the end of the connection tells (RFC 9112, section 6.3)
 */
export function tellsItsEnd (method: string, status: number, headerOf: (name: string) => string): boolean {
  if (method === 'HEAD' || NO_BODY_STATUSES.has(status)) return true
  const coding = headerOf('transfer-encoding')
  return coding === '' ? headerOf('content-length') !== '' : LAST_CODING_IS_CHUNKED.test(coding)
}
