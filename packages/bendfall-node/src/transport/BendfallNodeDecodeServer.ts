/**
 * Keeps the decodes of a sidecar, whether they came by Relay or by Decode, and
 * serves Decode straight on HTTP/2 for entries that do not know Relay. It speaks
 * Connect's streaming protocol without the chain of async iterators of
 * connect-node, which costs more than all the rest.
 *
 * @module
 */
import { constants } from 'node:http2'
import type { ServerHttp2Stream } from 'node:http2'
import { fromBinary } from '@bufbuild/protobuf'
import type { DecodeAsk, DecodeEnd } from 'bendfall-core'
import { DecodeRequestSchema } from 'bendfall-protocol'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import { combineTeardowns } from '../runtime/BendfallNodeTeardown.js'
import type { DecodeOutput } from './BendfallNodeDecodeRelay.js'
import { createDecodeRelay, createFlushSchedule } from './BendfallNodeDecodeRelay.js'
import { createEnvelopeReader } from './BendfallNodeEnvelope.js'
import { fromDecodeRequest } from './BendfallNodeMessages.js'
import type { StreamRoutes } from './BendfallNodePeerListener.js'
import { registerRelayServer, STREAM_CONTENT_TYPE } from './BendfallNodeRelayServer.js'
import type { SenderClock } from './BendfallNodeSender.js'

/** Path of the method. */
export const DECODE_PATH = '/bendfall.v1.SidecarService/Decode'

/** Longest request; it carries a prompt. */
export const MAX_DECODE_REQUEST_BYTES = 16 * 1024 * 1024

interface AttemptKey {
  readonly requestId: string
  readonly attempt: number
}

const keyOf = ({ requestId, attempt }: AttemptKey): string => `${requestId}:${attempt}`

/**
 * Serves Decode and registers the effects that relay its items.
 *
 * @param routes - streams of the process's peer server
 * @param runtime - update path of the process
 * @param sender - stamps and observes messages
 * @returns teardown: ends all streams and takes back the effect handlers
 */
export function registerDecodeServer (routes: StreamRoutes, runtime: Runtime, sender: SenderClock): Teardown {
  const open = new Map<string, DecodeOutput>()
  const schedule = createFlushSchedule()

  function start (ask: DecodeAsk, output: DecodeOutput): void {
    const key = keyOf(ask)
    const former = open.get(key)
    open.set(key, output)
    former?.reset()
    runtime.dispatch({ type: 'decode_asked', ask })
  }

  // The end takes an output out of the table: one that is still in it when its
  // stream closes was given up by the entry.
  function giveUp (attempt: AttemptKey, output: DecodeOutput): void {
    if (open.get(keyOf(attempt)) !== output) return
    open.delete(keyOf(attempt))
    runtime.dispatch({ type: 'cancel_asked', requestId: attempt.requestId, attempt: attempt.attempt })
  }

  function startStream (stream: ServerHttp2Stream, ask: DecodeAsk): void {
    stream.respond({ ':status': constants.HTTP_STATUS_OK, 'content-type': STREAM_CONTENT_TYPE })
    const output = createDecodeRelay(stream, sender, schedule)
    stream.once('close', () => giveUp(ask, output))
    start(ask, output)
  }

  function relayTokens (batch: AttemptKey & { readonly index: number, readonly tokens: readonly string[] }): void {
    const output = open.get(keyOf(batch))
    if (output === undefined || output.pushTokens(batch.index, batch.tokens)) return
    giveUp(batch, output)
    output.reset()
  }

  function relayEnd (attempt: AttemptKey, end: DecodeEnd): void {
    const output = open.get(keyOf(attempt))
    open.delete(keyOf(attempt))
    output?.pushEnd(end)
  }

  return combineTeardowns([
    () => { for (const output of open.values()) output.reset() },
    registerRelayServer(routes, runtime, sender, { start, giveUp }),
    routes.add(DECODE_PATH, (stream) => readRequest(stream, sender, (ask) => startStream(stream, ask))),
    runtime.registerEffect('relay_transfer', (effect) => open.get(keyOf(effect))?.pushTransfer(effect.transferredBytes)),
    runtime.registerEffect('relay_tokens', relayTokens),
    runtime.registerEffect('relay_end', (effect) => relayEnd(effect, effect.end))
  ])
}

function readRequest (stream: ServerHttp2Stream, sender: SenderClock, onAsk: (ask: DecodeAsk) => void): void {
  const read = createEnvelopeReader(MAX_DECODE_REQUEST_BYTES, (_, bytes) => {
    const request = fromBinary(DecodeRequestSchema, bytes)
    sender.observe(request.sender)
    onAsk(fromDecodeRequest(request))
  })
  stream.on('data', (chunk: Buffer) => {
    try {
      read(chunk)
    } catch {
      stream.close(constants.NGHTTP2_PROTOCOL_ERROR)
    }
  })
}
