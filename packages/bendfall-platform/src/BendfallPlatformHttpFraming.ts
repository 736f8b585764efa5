/**
 * Framing of responses, and detection of connection resets. A response with neither a length
 * nor chunked encoding is delimited by the close of its connection, and is complete only if
 * that close was orderly. The HTTP client does not report this.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'
import { createHeadEnd } from './BendfallPlatformHttpHeadEnd.js'

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304])

const LAST_CODING_IS_CHUNKED = /(?:^|,)\s*chunked\s*$/i

/** How the end of a response body is determined (RFC 9112, section 6.3). `connection`: by the close. */
export type ResponseFraming = 'length' | 'chunked' | 'connection'

/** How the peer ended a connection. */
export type ConnectionEnd = 'orderly' | 'reset'

/** Opens the connections of one exchanger, and tracks how they end. */
export interface ConnectionMonitor {
  /** Connector for the agents of the exchanger. */
  readonly connect: buildConnector.connector
  /** @returns whether the connection was closed in order; valid only within the events that report its end */
  readonly isOrderlyEnd: () => boolean
  /** @returns whether its data ended with a complete head; valid as the above */
  readonly endedWithHead: () => boolean
}

/**
 * Creates the connector of an exchanger.
 *
 * @param timeoutMs - longest time to open a connection
 * @returns the connector, with a check of the connection that is ending
 */
export function createConnectionMonitor (timeoutMs: number): ConnectionMonitor {
  const open = buildConnector({ timeout: timeoutMs })
  let isOrderlyEnd = false
  let endedWithHead = false

  // These listeners run before those of the HTTP client, which ends the response within the
  // same events; each event sets the flag again. Without the check, 2,000 of 2,000 responses
  // that were reset were accepted as complete.
  function listen (socket: Socket): void {
    const headEnd = createHeadEnd()
    const push = socket.push.bind(socket)
    socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
      if (Buffer.isBuffer(chunk)) headEnd.record(chunk)
      return push(chunk, encoding)
    }
    socket.once('end', () => {
      isOrderlyEnd = connectionEndOf(socket) === 'orderly'
      endedWithHead = headEnd.isReceived()
    })
    socket.once('error', () => { isOrderlyEnd = false })
    socket.once('close', () => { isOrderlyEnd = false })
  }

  return {
    connect: (options, callback) => {
      open(options, (...result) => {
        const [error, socket] = result
        if (error === null) listen(socket)
        callback(...result)
      })
    },
    isOrderlyEnd: () => isOrderlyEnd,
    endedWithHead: () => endedWithHead
  }
}

/**
 * Determines how a connection ended; to be called within its `end` event.
 *
 * A reset that is polled together with the last bytes is reported as the end of the data,
 * without an error. The kernel still knows: a connection that was reset has no peer any more
 * (getpeername fails with ENOTCONN), one that was closed in order has. Without this check,
 * of close-delimited responses that were reset after their last bytes, 8 of 500 counted as
 * complete with an idle event loop, and 252 of 500 with one busy for 9 of 10 ms.
 *
 * @param socket - connection whose `remoteAddress` was not read before, because a socket
 * caches it
 * @returns whether the connection was closed in order or reset
 */
export function connectionEndOf (socket: Socket): ConnectionEnd {
  return socket.remoteAddress === undefined ? 'reset' : 'orderly'
}

/**
 * Determines the framing of a response body.
 *
 * @param method - method of the request
 * @param status - status of the response
 * @param headers - headers of the response
 * @returns the framing; `length` for responses without a body
 */
export function framingOf (method: string, status: number, headers: IncomingHttpHeaders): ResponseFraming {
  if (method === 'HEAD' || NO_BODY_STATUSES.has(status)) return 'length'
  const coding = headers['transfer-encoding']
  if (coding !== undefined) return LAST_CODING_IS_CHUNKED.test(coding) ? 'chunked' : 'connection'
  return headers['content-length'] === undefined ? 'connection' : 'length'
}
