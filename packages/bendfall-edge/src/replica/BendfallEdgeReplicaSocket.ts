/**
 * Sockets to replicas, which tell a reset from an orderly end.
 *
 * The HTTP client takes a reset for the end of an answer that only its connection ends,
 * and fails on an assertion when the connection ends while its parser is paused. Both are
 * settled here, before the client hears of the end.
 *
 * @module
 */
import { Socket } from 'node:net'
import type { SocketConstructorOpts } from 'node:net'
import type { DuplexOptions } from 'node:stream'
import { connectionEndOf } from 'bendfall-platform'
import type { ConnectionEnd } from 'bendfall-platform'

/** Longest time to open a connection; a first packet that is lost is sent again only after a second. */
export const CONNECT_TIMEOUT_MS = 400

/** From an idle connection to the first keep-alive probe. */
const PROBE_AFTER_MS = 1_000

/** Reads 64 KiB ahead, the largest piece that is read at once. */
const SOCKET_OPTIONS: DuplexOptions & SocketConstructorOpts = { highWaterMark: 65_536 }

/** The replica, or what stands before it, reset the connection. */
export class ConnectionResetError extends Error {
  override readonly name = 'ConnectionResetError'
}

/** No connection was opened in time. */
export class ConnectTimeoutError extends Error {
  override readonly name = 'ConnectTimeoutError'
}

/** What a connection needs. */
export interface ReplicaSocketOptions {
  readonly host: string
  readonly port: number
  /** Told of the end of the data before any listener that is added later. */
  readonly onEnd: (end: ConnectionEnd) => void
}

/** Takes the socket, or why there is none. */
export type ConnectCallback = (...result: readonly [null, ReplicaSocket] | readonly [Error, null]) => void

/** Longest start line that is kept: a status and its reason. */
const START_LINE_BYTES = 256

const LINE_FEED = 0x0a

/** A socket to a replica. */
export class ReplicaSocket extends Socket {
  readonly #startLine: Buffer[] = []
  #isStartLineRead = false

  /** Keeps the start line of the next answer anew. */
  awaitAnswer (): void {
    this.#startLine.length = 0
    this.#isStartLineRead = false
  }

  /** @returns what came of the first line of the answer; the client keeps its last piece only */
  startLine (): string {
    return Buffer.concat(this.#startLine).toString('latin1')
  }

  override push (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (!this.#isStartLineRead && Buffer.isBuffer(chunk)) this.#keepStartLine(chunk)
    return super.push(chunk, encoding)
  }

  #keepStartLine (chunk: Buffer): void {
    const end = chunk.indexOf(LINE_FEED)
    this.#startLine.push(Buffer.from(chunk.subarray(0, end === -1 ? START_LINE_BYTES : Math.min(end, START_LINE_BYTES))))
    this.#isStartLineRead = end !== -1 || this.#startLine.length >= START_LINE_BYTES
  }

  // A reset becomes an error of our own: on the system's code for it the client would take
  // what it has for the whole answer, and fail if its parser is paused.
  override _destroy (error: Error | null, callback: (error?: Error | null) => void): void {
    super._destroy(isReset(error) ? new ConnectionResetError('connection reset', { cause: error }) : error, callback)
  }
}

function isReset (error: NodeJS.ErrnoException | null): boolean {
  return error?.code === 'ECONNRESET'
}

/**
 * Opens a connection.
 *
 * @param options - address and listener of the end
 * @param callback - takes the socket once it is connected, or a `ConnectTimeoutError` or
 * the system's error
 */
export function connectReplica (options: ReplicaSocketOptions, callback: ConnectCallback): void {
  const { host, onEnd, port } = options
  const socket = new ReplicaSocket(SOCKET_OPTIONS)
  const timer = setTimeout(() => socket.destroy(new ConnectTimeoutError(`no connection within ${CONNECT_TIMEOUT_MS} ms`)), CONNECT_TIMEOUT_MS)
  const onFailed = (error: Error): void => {
    clearTimeout(timer)
    callback(error, null)
  }
  socket.setNoDelay(true)
  socket.setKeepAlive(true, PROBE_AFTER_MS)
  socket.once('end', () => onEnd(connectionEndOf(socket)))
  socket.once('error', onFailed)
  socket.connect({ host, port }, () => {
    clearTimeout(timer)
    socket.removeListener('error', onFailed)
    callback(null, socket)
  })
}
