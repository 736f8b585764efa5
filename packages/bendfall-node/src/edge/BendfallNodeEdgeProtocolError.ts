/**
 * Answers bytes that are no HTTP request, or one whose headers pass a bound.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import type { Duplex } from 'node:stream'
import { STATUS_CODES } from 'node:http'
import { badRequest } from './BendfallNodeEdgeHeaders.js'
import { formatRefusal, refusalOfInput } from './BendfallNodeEdgeRefusal.js'
import type { BadInput, Refusal } from './BendfallNodeEdgeRefusal.js'

const BY_CODE: Readonly<Record<string, BadInput>> = {
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, reason: 'bad_request', message: 'the headers did not arrive in time' },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: { status: 413, reason: 'bad_request', message: 'the chunk extensions are too long' },
  HPE_HEADER_OVERFLOW: { status: 431, reason: 'bad_request', message: 'the headers are too long' }
}

const NOT_HTTP = badRequest('expected an HTTP/1.1 request')

/**
 * Refuses and closes a connection that failed before a request was read.
 *
 * @param error - error of Node's HTTP server
 * @param socket - the connection
 * @returns the refusal; nothing when the caller had gone
 */
export function answerProtocolError (error: NodeJS.ErrnoException, socket: Duplex): Refusal | undefined {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return undefined
  }
  const refusal = refusalOfInput(BY_CODE[error.code ?? ''] ?? NOT_HTTP, randomUUID())
  const body = formatRefusal(refusal)
  const head = [
    `HTTP/1.1 ${refusal.status} ${STATUS_CODES[refusal.status]}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`
  ]
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
  return refusal
}
