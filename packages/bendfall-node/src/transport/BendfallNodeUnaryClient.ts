/**
 * Calls unary methods straight on HTTP/2; see {@link serveUnary}.
 *
 * @module
 */
import { constants } from 'node:http2'
import type { ClientHttp2Stream, IncomingHttpHeaders, IncomingHttpStatusHeader, OutgoingHttpHeaders } from 'node:http2'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { DescMessage, DescMethodUnary, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import type { Http2SessionManager } from '@connectrpc/connect-node'
import { createByteCollector } from 'bendfall-platform'
import { scheduleTimeout, systemClock } from '../runtime/index.js'
import { joinSender, splitSender } from './BendfallNodeSenderHeaders.js'
import { MAX_UNARY_BYTES, methodPath, UNARY_CONTENT_TYPE } from './BendfallNodeUnaryServer.js'

const HEADERS = { 'content-type': UNARY_CONTENT_TYPE, 'connect-protocol-version': '1' }

/** The peer certainly did not take the call, so another one may. */
export class NotProcessedError extends Error {
  override readonly name = 'NotProcessedError'
}

/** Bounds of a call. */
export interface UnaryOptions {
  /** Longest wait for the answer. */
  readonly timeoutMs: number
  /** Gives the call up. */
  readonly signal?: AbortSignal
}

type ResponseHead = IncomingHttpHeaders & IncomingHttpStatusHeader

interface WholeAnswer {
  readonly head: ResponseHead
  readonly body: Buffer
}

/**
 * Calls a unary method.
 *
 * @param session - connection to the peer
 * @param method - descriptor of the method
 * @param request - the request
 * @param options - timeout and signal; either resets the stream
 * @returns the answer
 * @throws NotProcessedError when the peer did not take the call: it could not
 * be reached, or refused the stream, as one that closes its connections does
 * (RFC 9113, section 8.7)
 * @throws ConnectError when no whole answer came for another reason
 */
export async function callUnary<I extends DescMessage, O extends DescMessage> (session: Http2SessionManager, method: DescMethodUnary<I, O>, request: MessageInitShape<I>, options: UnaryOptions): Promise<MessageShape<O>> {
  const { message, headers } = splitSender(create(method.input, request))
  const bytes = toBinary(method.input, message)
  let stream: ClientHttp2Stream | undefined
  let isGivenUp = options.signal?.aborted === true
  const giveUp = (): void => {
    isGivenUp = true
    stream?.close(constants.NGHTTP2_CANCEL)
  }
  const cancelTimeout = scheduleTimeout(systemClock, options.timeoutMs, giveUp)
  options.signal?.addEventListener('abort', giveUp, { once: true })
  try {
    // The length tells the peer a whole message from one that was given up.
    stream = await openStream(session, method, { ...headers, 'content-length': bytes.byteLength })
    const answer = exchange(stream, session)
    if (isGivenUp) giveUp()
    else stream.end(bytes)
    const { head, body } = await answer
    return joinSender(fromBinary(method.output, body), head)
  } finally {
    cancelTimeout()
    options.signal?.removeEventListener('abort', giveUp)
  }
}

async function openStream (session: Http2SessionManager, method: DescMethodUnary<DescMessage, DescMessage>, headers: OutgoingHttpHeaders): Promise<ClientHttp2Stream> {
  try {
    return await session.request('POST', methodPath(method), { ...HEADERS, ...headers }, {})
  } catch (error) {
    throw new NotProcessedError('not reachable', { cause: error })
  }
}

function exchange (stream: ClientHttp2Stream, session: Http2SessionManager): Promise<WholeAnswer> {
  return new Promise((resolve, reject) => {
    const received = createByteCollector()
    let isWhole = false
    let head: ResponseHead = {}
    const fail = (cause: Error): void => reject(isRefused(stream) ? new NotProcessedError('stream refused', { cause }) : cause)
    stream.on('error', fail)
    stream.once('response', (headers) => { head = headers })
    stream.on('data', (chunk: Buffer) => {
      session.notifyResponseByteRead(stream)
      if (received.length() + chunk.byteLength > MAX_UNARY_BYTES) stream.close(constants.NGHTTP2_ENHANCE_YOUR_CALM)
      else received.append(chunk)
    })
    stream.once('end', () => {
      const body = received.take()
      isWhole = head[':status'] === constants.HTTP_STATUS_OK && hasAnnouncedLength(head, body)
      if (isWhole) resolve({ head, body })
      else fail(new ConnectError(`status ${head[':status'] ?? 'none'} ${body.toString()}`, Code.Unavailable))
    })
    // An error takes its stack with it, so none is made for a call that went well.
    stream.once('close', () => {
      if (!isWhole) fail(new ConnectError('stream closed without an answer', Code.Unavailable))
    })
  })
}

function isRefused ({ rstCode }: ClientHttp2Stream): boolean {
  return rstCode === constants.NGHTTP2_REFUSED_STREAM
}

// A reset stream may end early; the length tells a whole answer from a part.
function hasAnnouncedLength (head: ResponseHead, body: Buffer): boolean {
  return Number(head['content-length']) === body.byteLength
}
