/**
 * Writes the items of one decode stream. Items of one turn of the event loop
 * go out together, and those that wait for a slow reader are merged and
 * bounded.
 *
 * @module
 */
import { constants } from 'node:http2'
import type { ServerHttp2Stream } from 'node:http2'
import { create, toBinary } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { DecodeEnd } from 'bendfall-core'
import { DecodeResponseSchema } from 'bendfall-protocol'
import { encodeEnvelope, END_STREAM_FLAG } from './BendfallNodeEnvelope.js'
import { toDecodeEnd } from './BendfallNodeMessages.js'
import type { SenderClock } from './BendfallNodeSender.js'
import { encodeTokenBatch } from './BendfallNodeTokenBatch.js'

/** Most tokens that wait for a slow reader before its stream is given up. */
export const MAX_WAITING_TOKENS = 32_768

const END_OF_STREAM = encodeEnvelope(END_STREAM_FLAG, Buffer.from('{}'))

type RelayItem =
  | { readonly type: 'transfer', readonly transferredBytes: number }
  | { readonly type: 'tokens', readonly index: number, readonly tokens: string[] }
  | { readonly type: 'end', readonly end: DecodeEnd }

/** Takes what one decode brings. */
export interface DecodeOutput {
  readonly pushTransfer: (transferredBytes: number) => void
  /** @returns false when the reader is too slow and the decode must end */
  readonly pushTokens: (index: number, tokens: readonly string[]) => boolean
  /** Ends the decode. */
  readonly pushEnd: (end: DecodeEnd) => void
  /** Ends the decode without its end. */
  readonly reset: () => void
}

/** Writes the items of one decode stream. */
export interface DecodeRelay extends DecodeOutput {
  /** Writes what waits; called by the {@link FlushSchedule}. */
  readonly flush: () => void
}

/** Flushes relays at the end of the turn of the event loop. */
export interface FlushSchedule {
  readonly add: (relay: DecodeRelay) => void
}

/**
 * Makes a schedule that flushes each relay once a turn, however many items it
 * got in it.
 *
 * @returns the schedule
 */
export function createFlushSchedule (): FlushSchedule {
  const waiting = new Set<DecodeRelay>()

  function flushAll (): void {
    const relays = [...waiting]
    waiting.clear()
    for (const relay of relays) relay.flush()
  }

  return {
    add: (relay) => {
      if (waiting.size === 0) setImmediate(flushAll)
      waiting.add(relay)
    }
  }
}

/**
 * Makes the relay of one stream.
 *
 * @param stream - where to write; its headers are sent
 * @param sender - stamps the end
 * @param schedule - flushes the relay
 * @returns the relay
 */
export function createDecodeRelay (stream: ServerHttp2Stream, sender: SenderClock, schedule: FlushSchedule): DecodeRelay {
  let items: RelayItem[] = []
  let waitingTokens = 0
  let full = false

  function push (item: RelayItem): void {
    items.push(item)
    if (!full) schedule.add(relay)
  }

  function flush (): void {
    if (stream.destroyed || items.length === 0) return
    const ended = items.at(-1)?.type === 'end'
    const envelopes = items.map((item) => encodeItem(item, sender))
    items = []
    waitingTokens = 0
    if (ended) {
      stream.end(Buffer.concat([...envelopes, END_OF_STREAM]))
      return
    }
    full = !stream.write(envelopes.length === 1 ? envelopes[0] : Buffer.concat(envelopes))
  }

  stream.on('drain', () => {
    full = false
    flush()
  })

  const relay: DecodeRelay = {
    flush,
    pushTransfer: (transferredBytes) => {
      if (items.at(-1)?.type === 'transfer') items.pop()
      push({ type: 'transfer', transferredBytes })
    },
    pushTokens: (index, tokens) => {
      waitingTokens += tokens.length
      if (waitingTokens > MAX_WAITING_TOKENS) return false
      const last = items.at(-1)
      if (last?.type === 'tokens' && last.index + last.tokens.length === index) last.tokens.push(...tokens)
      else push({ type: 'tokens', index, tokens: [...tokens] })
      return true
    },
    pushEnd: (end) => push({ type: 'end', end }),
    reset: () => stream.close(constants.NGHTTP2_ENHANCE_YOUR_CALM)
  }
  return relay
}

function encodeItem (item: RelayItem, sender: SenderClock): Buffer {
  return encodeEnvelope(0, encodeMessage(item, sender))
}

function encodeMessage (item: RelayItem, sender: SenderClock): Uint8Array {
  switch (item.type) {
    case 'transfer': return encodeResponse({ case: 'transferredBytes', value: item.transferredBytes })
    case 'tokens': return encodeTokenBatch(item)
    case 'end': return encodeResponse({ case: 'end', value: toDecodeEnd(item.end, sender.stamp()) })
  }
}

function encodeResponse (item: MessageInitShape<typeof DecodeResponseSchema>['item']): Uint8Array {
  return toBinary(DecodeResponseSchema, create(DecodeResponseSchema, { item }))
}
