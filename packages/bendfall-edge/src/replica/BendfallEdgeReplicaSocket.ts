/**
 * Sockets to replicas that distinguish a reset from a graceful close.
 *
 * The HTTP client treats a reset as the end of a close-delimited response, and fails with an
 * assertion if the connection ends while its parser is paused. The sockets handle both cases before
 * the client is notified of the end.
 *
 * @module
 */
import { Socket } from 'node:net'
import type { SocketConstructorOpts } from 'node:net'
import type { DuplexOptions } from 'node:stream'
import { scheduleTimeout, systemClock } from 'bendfall-node'
import { connectionEndOf, createHeadEnd } from 'bendfall-platform'
import type { ConnectionEnd } from 'bendfall-platform'

/** Timeout for opening a connection; a lost first packet is retransmitted only after a second. */
export const CONNECT_TIMEOUT_MS = 400

/** Idle time of a connection before the first TCP keep-alive probe. */
const KEEP_ALIVE_DELAY_MS = 1_000

/** Reads ahead 64 KiB, the maximum size of a single read. */
const SOCKET_OPTIONS: DuplexOptions & SocketConstructorOpts = { highWaterMark: 65_536 }

/** The replica, or an intermediary in front of it, reset the connection. */
export class ConnectionResetError extends Error {
  override readonly name = 'ConnectionResetError'
}

/** The connection was not established within the timeout. */
export class ConnectTimeoutError extends Error {
  override readonly name = 'ConnectTimeoutError'
}

/** Address and end listener of a connection. */
export interface ReplicaSocketOptions {
  readonly host: string
  readonly port: number
  /** Called at the end of the data, before any listener that is added later. */
  readonly onEnd: (end: ConnectionEnd) => void
}

/** Receives the connected socket or the error. */
export type ConnectCallback = (...result: readonly [null, ReplicaSocket] | readonly [Error, null]) => void

/** Maximum part of the start line (status and reason phrase) that is recorded. */
const MAX_START_LINE_BYTES = 256

const LINE_FEED = 0x0a

/** Socket to a replica that records the start line of the current response and whether its data ends with a complete head. */
export class ReplicaSocket extends Socket {
  readonly #startLine: Buffer[] = []
  #isStartLineRead = false
  readonly #headEnd = createHeadEnd()

  /** Resets the recorded start line for the next response. */
  resetStartLine (): void {
    this.#startLine.length = 0
    this.#isStartLineRead = false
  }

  /** @returns the received part of the first response line, of which the HTTP client keeps only the last chunk */
  startLine (): string {
    return Buffer.concat(this.#startLine).toString('latin1')
  }

  /** @returns whether the received data ends with the empty line that completes a head */
  endsWithHead (): boolean {
    return this.#headEnd.isReceived()
  }

  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (Buffer.isBuffer(chunk)) this.#headEnd.record(chunk)
    if (!this.#isStartLineRead && Buffer.isBuffer(chunk)) this.#recordStartLine(chunk)
    return super.push(chunk, encoding)
  }

  #recordStartLine (chunk: Buffer): void {
    const end = chunk.indexOf(LINE_FEED)
    this.#startLine.push(Buffer.from(chunk.subarray(0, end === -1 ? MAX_START_LINE_BYTES : Math.min(end, MAX_START_LINE_BYTES))))
    this.#isStartLineRead = end !== -1 || this.#startLine.length >= MAX_START_LINE_BYTES
  }

  // Replaces the system's reset error: on its code the HTTP client would treat the data received so
  // far as the complete response, and fail if its parser is paused.
  override _destroy (error: Error | null, callback: (error?: Error | null) => void): void {
    super._destroy(isReset(error) ? new ConnectionResetError('connection reset', { cause: error }) : error, callback)
  }
}

/**
 * Checks whether a connection failed because nothing listens at its address.
 *
 * @param error - error with which it failed
 * @returns true if the connection was refused
 */
export function isConnectionRefused (error: NodeJS.ErrnoException): boolean {
  return error.code === 'ECONNREFUSED'
}

function isReset (error: NodeJS.ErrnoException | null): boolean {
  return error?.code === 'ECONNRESET'
}

/**
 * Opens a connection.
 *
 * @param options - address and end listener
 * @param callback - receives the connected socket, or a `ConnectTimeoutError` or a system error
 */
export function connectReplica (options: ReplicaSocketOptions, callback: ConnectCallback): void {
  const { host, onEnd, port } = options
  const socket = new ReplicaSocket(SOCKET_OPTIONS)
  const cancelTimeout = scheduleTimeout(systemClock, CONNECT_TIMEOUT_MS, () => socket.destroy(new ConnectTimeoutError(`connection not established within ${CONNECT_TIMEOUT_MS} ms`)))
  const onFailed = (error: Error): void => {
    cancelTimeout()
    callback(error, null)
  }
  socket.setNoDelay(true)
  socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS)
  socket.once('end', () => onEnd(connectionEndOf(socket)))
  socket.once('error', onFailed)
  socket.connect({ host, port }, () => {
    cancelTimeout()
    socket.removeListener('error', onFailed)
    callback(null, socket)
  })
}
