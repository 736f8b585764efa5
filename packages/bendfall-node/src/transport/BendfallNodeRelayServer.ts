/**
 * Serves the method Relay of SidecarService straight on HTTP/2: one stream of
 * an entry carries all its decodes.
 *
 * @module
 */
import { constants } from 'node:http2'
import type { IncomingHttpHeaders, ServerHttp2Stream } from 'node:http2'
import { fromBinary } from '@bufbuild/protobuf'
import type { DecodeAsk } from 'bendfall-core'
import { RelayRequestSchema } from 'bendfall-protocol'
import type { DecodeRequest, RelayRequest } from 'bendfall-protocol'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import { combineTeardowns } from '../runtime/BendfallNodeTeardown.js'
import type { DecodeOutput } from './BendfallNodeDecodeRelay.js'
import { createEnvelopeReader } from './BendfallNodeEnvelope.js'
import { fromDecodeRequest } from './BendfallNodeMessages.js'
import type { StreamRoutes } from './BendfallNodePeerListener.js'
import { createRelayWriter } from './BendfallNodeRelayWriter.js'
import type { RelayWriter } from './BendfallNodeRelayWriter.js'
import type { SenderClock } from './BendfallNodeSender.js'
import { joinSender } from './BendfallNodeSenderHeaders.js'

/** Path of the method. */
export const RELAY_PATH = '/bendfall.v1.SidecarService/Relay'

/** Content type of Connect's streaming protocol. */
export const STREAM_CONTENT_TYPE = 'application/connect+proto'

/** Longest request; it carries a prompt. */
const MAX_REQUEST_BYTES = 16 * 1024 * 1024

/** Decodes of the process, whichever stream they came on. */
export interface DecodeStarts {
  /** Starts a decode that answers to an output. */
  readonly start: (ask: DecodeAsk, output: DecodeOutput) => void
  /** Gives a decode up if it still answers to this output. */
  readonly giveUp: (ask: DecodeAsk, output: DecodeOutput) => void
}

interface OpenChannel {
  readonly ask: DecodeAsk
  readonly output: DecodeOutput
}

interface OpenRelay {
  readonly stream: ServerHttp2Stream
  readonly writer: RelayWriter
  readonly channels: Map<number, OpenChannel>
}

/**
 * Serves Relay.
 *
 * @param routes - streams of the process's peer server
 * @param runtime - update path of the process
 * @param sender - stamps and observes messages
 * @param decodes - takes the decodes
 * @returns teardown: ends all streams
 */
export function registerRelayServer (routes: StreamRoutes, runtime: Runtime, sender: SenderClock, decodes: DecodeStarts): Teardown {
  const relays = new Set<OpenRelay>()

  function open (stream: ServerHttp2Stream, headers: IncomingHttpHeaders): void {
    const channels = new Map<number, OpenChannel>()
    // An idle stream would hold up the close of the listener.
    const mayEnd = (): boolean => channels.size === 0 && runtime.getState().stopping
    const relay = { stream, channels, writer: createRelayWriter(stream, sender, runtime.clock, mayEnd) }
    relays.add(relay)
    stream.on('error', () => {})
    stream.once('close', () => {
      relays.delete(relay)
      for (const { ask, output } of channels.values()) decodes.giveUp(ask, output)
    })
    stream.respond({ ':status': constants.HTTP_STATUS_OK, 'content-type': STREAM_CONTENT_TYPE })
    readRequests(stream, (request) => take(relay, request, headers))
  }

  function take (relay: OpenRelay, { channel, item }: RelayRequest, headers: IncomingHttpHeaders): void {
    if (item.case === 'decode') startDecode(relay, channel, joinSender(item.value, headers))
    if (item.case === 'cancel') cancelDecode(relay, channel)
  }

  function cancelDecode ({ channels, writer }: OpenRelay, channel: number): void {
    const given = channels.get(channel)
    if (given === undefined) return
    channels.delete(channel)
    decodes.giveUp(given.ask, given.output)
    writer.wake()
  }

  function startDecode ({ channels, writer }: OpenRelay, channel: number, request: DecodeRequest): void {
    sender.observe(request.sender)
    const output = openOutput(writer, channel, () => channels.delete(channel))
    const ask = readAsk(request)
    if (ask === undefined) return output.reset()
    channels.set(channel, { ask, output })
    decodes.start(ask, output)
  }

  return combineTeardowns([
    () => { for (const { stream } of relays) stream.close(constants.NGHTTP2_CANCEL) },
    routes.add(RELAY_PATH, open),
    runtime.registerListener((event) => {
      if (event.type === 'stop_asked') for (const { writer } of relays) writer.wake()
    })
  ])
}

function openOutput (writer: RelayWriter, channel: number, onEnd: () => void): DecodeOutput {
  const output = writer.open(channel)
  return {
    ...output,
    pushEnd: (end) => {
      output.pushEnd(end)
      onEnd()
    },
    reset: () => {
      output.reset()
      onEnd()
    }
  }
}

// One malformed ask must not end the decodes of others.
function readAsk (request: DecodeRequest): DecodeAsk | undefined {
  try {
    return fromDecodeRequest(request)
  } catch {
    return undefined
  }
}

function readRequests (stream: ServerHttp2Stream, onRequest: (request: RelayRequest) => void): void {
  const read = createEnvelopeReader(MAX_REQUEST_BYTES, (_, bytes) => onRequest(fromBinary(RelayRequestSchema, bytes)))
  stream.on('data', (chunk: Buffer) => {
    try {
      read(chunk)
    } catch {
      stream.close(constants.NGHTTP2_PROTOCOL_ERROR)
    }
  })
  stream.once('end', () => stream.end())
}
