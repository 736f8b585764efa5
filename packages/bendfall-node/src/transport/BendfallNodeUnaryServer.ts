/**
 * Serves unary methods straight on HTTP/2. They speak Connect's unary protocol
 * with binary messages, without the layers of connect-node.
 *
 * @module
 */
import { constants } from 'node:http2'
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerHttp2Stream } from 'node:http2'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { DescMessage, DescMethodUnary, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import { createByteCollector } from 'bendfall-platform'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import type { StreamRoutes } from './BendfallNodePeerListener.js'
import { joinSender, splitSender } from './BendfallNodeSenderHeaders.js'

/** Content type of Connect's unary protocol. */
export const UNARY_CONTENT_TYPE = 'application/proto'

/** Longest message of a unary method. */
export const MAX_UNARY_BYTES = 16 * 1024 * 1024

/** Errors as Connect writes them, by code; all others are internal. */
const ERRORS: ReadonlyMap<Code, { readonly status: number, readonly code: string }> = new Map([
  [Code.Aborted, { status: constants.HTTP_STATUS_CONFLICT, code: 'aborted' }],
  [Code.InvalidArgument, { status: constants.HTTP_STATUS_BAD_REQUEST, code: 'invalid_argument' }],
  [Code.ResourceExhausted, { status: constants.HTTP_STATUS_TOO_MANY_REQUESTS, code: 'resource_exhausted' }]
])

const INTERNAL_ERROR = { status: constants.HTTP_STATUS_INTERNAL_SERVER_ERROR, code: 'internal' }

/** Answers a request; the signal fires when the stream closes. */
export type UnaryHandler<I extends DescMessage, O extends DescMessage> =
  (request: MessageShape<I>, signal: AbortSignal) => MessageInitShape<O> | Promise<MessageInitShape<O>>

/**
 * Names the path of a method.
 *
 * @param method - descriptor of the method
 * @returns its path
 */
export function methodPath (method: DescMethodUnary<DescMessage, DescMessage>): string {
  return `/${method.parent.typeName}/${method.name}`
}

/**
 * Serves a unary method.
 *
 * @param routes - streams of the process's peer server
 * @param method - descriptor of the method
 * @param handle - answers a request; may throw a ConnectError
 * @returns teardown
 */
export function serveUnary<I extends DescMessage, O extends DescMessage> (routes: StreamRoutes, method: DescMethodUnary<I, O>, handle: UnaryHandler<I, O>): Teardown {
  return routes.add(methodPath(method), (stream, headers) => {
    const closing = new AbortController()
    // The error of an abort takes its stack with it: none for an answered call.
    stream.once('close', () => {
      if (!stream.writableEnded) closing.abort()
    })
    stream.on('error', () => {})
    readBody(stream, headers, (body) => { answer(stream, method, body, (request) => handle(joinSender(request, headers), closing.signal)) })
  })
}

// A client that gives a call up may end its message before it resets the stream, and a message
// that is cut decodes as one whose later fields are absent: a booking without an id was made
// of each call that was given up before its connection was open.
function readBody (stream: ServerHttp2Stream, headers: IncomingHttpHeaders, onBody: (body: Buffer) => void): void {
  const received = createByteCollector()
  stream.on('data', (chunk: Buffer) => {
    if (received.length() + chunk.byteLength > MAX_UNARY_BYTES) stream.close(constants.NGHTTP2_ENHANCE_YOUR_CALM)
    else received.append(chunk)
  })
  stream.once('end', () => {
    if (isOpen(stream) && isWhole(headers, received.length())) onBody(received.take())
  })
}

// A stream that was reset without an error is closed, and destroyed only later.
function isOpen ({ closed, destroyed }: ServerHttp2Stream): boolean {
  return !closed && !destroyed
}

// Peers of former versions announce no length.
function isWhole (headers: IncomingHttpHeaders, bytes: number): boolean {
  const announced = headers['content-length']
  return announced === undefined || Number(announced) === bytes
}

async function answer<I extends DescMessage, O extends DescMessage> (stream: ServerHttp2Stream, method: DescMethodUnary<I, O>, body: Buffer, handle: (request: MessageShape<I>) => MessageInitShape<O> | Promise<MessageInitShape<O>>): Promise<void> {
  try {
    const response = await handle(parse(method.input, body))
    const { message, headers } = splitSender(create(method.output, response))
    send(stream, constants.HTTP_STATUS_OK, { ...headers, 'content-type': UNARY_CONTENT_TYPE }, toBinary(method.output, message))
  } catch (error) {
    const { rawMessage, code } = ConnectError.from(error)
    const known = ERRORS.get(code) ?? INTERNAL_ERROR
    send(stream, known.status, { 'content-type': 'application/json' }, Buffer.from(JSON.stringify({ code: known.code, message: rawMessage })))
  }
}

function parse<I extends DescMessage> (schema: I, body: Buffer): MessageShape<I> {
  try {
    return fromBinary(schema, body)
  } catch (error) {
    throw ConnectError.from(error, Code.InvalidArgument)
  }
}

function send (stream: ServerHttp2Stream, status: number, headers: OutgoingHttpHeaders, body: Uint8Array): void {
  if (!isOpen(stream)) return
  stream.respond({ ...headers, ':status': status, 'content-length': body.byteLength })
  stream.end(body)
}
