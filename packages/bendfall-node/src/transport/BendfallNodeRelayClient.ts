/**
 * Calls the method Relay of SidecarService straight on HTTP/2: one stream a
 * connection carries the decodes of all requests, so that neither a stream nor
 * a frame has to be paid for each of them.
 *
 * @module
 */
import { constants } from 'node:http2'
import type { ClientHttp2Stream } from 'node:http2'
import { create, toBinary } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { Http2SessionManager } from '@connectrpc/connect-node'
import { DecodeRequestSchema, RelayRequestSchema } from 'bendfall-protocol'
import type { Sender } from 'bendfall-protocol'
import { createEnvelopeReader, encodeEnvelope, END_STREAM_FLAG } from './BendfallNodeEnvelope.js'
import { decodeRelayItems } from './BendfallNodeRelayCodec.js'
import type { ArrivedItem } from './BendfallNodeRelayCodec.js'
import { RELAY_PATH, STREAM_CONTENT_TYPE } from './BendfallNodeRelayServer.js'
import type { SenderClock } from './BendfallNodeSender.js'
import { nameSender, splitSender } from './BendfallNodeSenderHeaders.js'

const MAX_RESPONSE_BYTES = 64 * 1024 * 1024

/** A stream without decodes is closed after this time: an open one costs PING frames. */
const RELAY_IDLE_MS = 5_000

const HEADERS = { 'content-type': STREAM_CONTENT_TYPE, 'connect-protocol-version': '1' }

/** Takes the items of one decode in order. */
export type RelayListener = (item: ArrivedItem) => void

/** Asks sidecars for decodes. */
export interface RelayClients {
  /**
   * Asks for a decode and reads its items.
   *
   * @param session - connection to the sidecar
   * @param request - what to decode
   * @param signal - gives the decode up
   * @param listener - takes each item; none after the signal
   * @returns resolves at the end of the decode or of the stream, whichever is first
   * @throws ConnectError when the sidecar cannot be reached
   */
  readonly decode: (session: Http2SessionManager, request: MessageInitShape<typeof DecodeRequestSchema>, signal: AbortSignal, listener: RelayListener) => Promise<void>
}

interface Channel {
  readonly listener: RelayListener
  readonly end: () => void
}

interface Relay {
  readonly stream: ClientHttp2Stream
  readonly channels: Map<number, Channel>
  /** Lets the next decode open another stream. */
  readonly forget: () => void
  lastChannel: number
  idleTimer?: NodeJS.Timeout
}

/**
 * Makes the relay streams of a process, none open yet.
 *
 * @param sender - observes messages
 * @returns the streams by connection
 */
export function createRelayClients (sender: SenderClock): RelayClients {
  const relays = new WeakMap<Http2SessionManager, Promise<Relay>>()

  async function relayOn (session: Http2SessionManager): Promise<Relay> {
    const opening = relays.get(session) ?? openRelay(session, sender, forget)
    relays.set(session, opening)
    try {
      return await opening
    } catch (error) {
      forget()
      throw error
    }

    function forget (): void {
      if (relays.get(session) === opening) relays.delete(session)
    }
  }

  return {
    decode: async (session, request, signal, listener) => {
      const relay = await relayOn(session)
      if (!signal.aborted) await runChannel(relay, request, signal, listener)
    }
  }
}

async function openRelay (session: Http2SessionManager, sender: SenderClock, forget: () => void): Promise<Relay> {
  const { headers } = splitSender({ sender: sender.stamp() })
  const stream = await session.request('POST', RELAY_PATH, { ...HEADERS, ...headers }, {})
  const relay: Relay = { stream, channels: new Map(), forget, lastChannel: 0 }
  // Without a listener a reset of the stream would end the process; a channel
  // that ends without its last item tells the caller all there is to know.
  stream.on('error', () => {})
  stream.once('end', () => closeRelay(relay))
  stream.once('close', () => closeRelay(relay))
  readItems(relay, session, sender)
  return relay
}

function closeRelay ({ stream, channels, forget, idleTimer }: Relay): void {
  clearTimeout(idleTimer)
  forget()
  for (const { end } of [...channels.values()]) end()
  if (!stream.closed) stream.close()
}

function readItems ({ stream, channels }: Relay, session: Http2SessionManager, sender: SenderClock): void {
  let peer: Sender | undefined
  const read = createEnvelopeReader(MAX_RESPONSE_BYTES, (flags, bytes) => {
    if (flags === END_STREAM_FLAG) return
    const { lamport, sender: told, items } = decodeRelayItems(bytes)
    peer = told ?? peer
    sender.observe(peer && { ...peer, lamport })
    for (const { end } of items) if (end !== undefined && peer !== undefined) nameSender(end, peer)
    for (const item of items) channels.get(item.channel)?.listener(item)
    for (const item of items) if (item.end !== undefined) channels.get(item.channel)?.end()
  })
  stream.on('data', (chunk: Buffer) => {
    session.notifyResponseByteRead(stream)
    try {
      read(chunk)
    } catch {
      stream.close(constants.NGHTTP2_PROTOCOL_ERROR)
    }
  })
}

function runChannel (relay: Relay, request: MessageInitShape<typeof DecodeRequestSchema>, signal: AbortSignal, listener: RelayListener): Promise<void> {
  const { channels, stream } = relay
  relay.lastChannel += 1
  const channel = relay.lastChannel
  clearTimeout(relay.idleTimer)
  return new Promise((resolve) => {
    const end = (): void => {
      if (!channels.delete(channel)) return
      signal.removeEventListener('abort', cancel)
      if (channels.size === 0 && !stream.closed) waitIdle(relay)
      resolve()
    }
    const cancel = (): void => {
      end()
      send(stream, { channel, item: { case: 'cancel', value: true } })
    }
    channels.set(channel, { listener, end })
    signal.addEventListener('abort', cancel, { once: true })
    const { message } = splitSender(create(DecodeRequestSchema, request))
    if (!send(stream, { channel, item: { case: 'decode', value: message } })) end()
  })
}

function waitIdle (relay: Relay): void {
  relay.idleTimer = setTimeout(() => {
    relay.forget()
    relay.stream.end()
  }, RELAY_IDLE_MS).unref()
}

function send (stream: ClientHttp2Stream, request: MessageInitShape<typeof RelayRequestSchema>): boolean {
  if (stream.destroyed || stream.closed || stream.writableEnded) return false
  stream.write(encodeEnvelope(0, toBinary(RelayRequestSchema, create(RelayRequestSchema, request))))
  return true
}
