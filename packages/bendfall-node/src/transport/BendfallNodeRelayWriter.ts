/**
 * Writes the items of all decodes on one relay stream: at most one message for
 * each turn of the event loop, and fewer while it is busy. What waits for a slow reader is merged and bounded.
 *
 * @module
 */
import type { Writable } from 'node:stream'
import type { Clock } from '../runtime/BendfallNodeClock.js'
import { MAX_WAITING_TOKENS } from './BendfallNodeDecodeRelay.js'
import type { DecodeOutput } from './BendfallNodeDecodeRelay.js'
import { encodeEnvelope } from './BendfallNodeEnvelope.js'
import { encodeRelayItems } from './BendfallNodeRelayCodec.js'
import type { RelayItem } from './BendfallNodeRelayCodec.js'
import type { SenderClock, SenderInit } from './BendfallNodeSender.js'

/** Least time between two messages: a message costs more than what it carries. */
export const MESSAGE_PAUSE_MS = 2

/** Writes to one relay stream. */
export interface RelayWriter {
  /** @param channel - number of the decode; its output is to be ended once */
  readonly open: (channel: number) => DecodeOutput
  /** Looks whether the stream may end. */
  readonly wake: () => void
}

/** What waits of one decode. */
interface Waiting {
  readonly channel: number
  last?: RelayItem
  tokenCount: number
}

/**
 * Makes the writer of a relay stream.
 *
 * @param stream - where to write; its headers are sent
 * @param sender - stamps messages
 * @param clock - source of the pause between messages
 * @param mayEnd - tells whether the stream is to end once all is written
 * @returns the writer
 */
export function createRelayWriter (stream: Writable, sender: SenderClock, clock: Clock, mayEnd: () => boolean): RelayWriter {
  let items: RelayItem[] = []
  let waiting = new Set<Waiting>()
  let isFull = false
  let isScheduled = false
  let nextAtMs = 0
  let toldVersion: number | undefined

  function push (channel: Waiting, item: RelayItem): void {
    items.push(item)
    channel.last = item
    waiting.add(channel)
    schedule()
  }

  function schedule (): void {
    if (isFull || isScheduled) return
    isScheduled = true
    if (nextAtMs > clock.nowMs()) clock.callAt(nextAtMs, flush)
    else setImmediate(flush)
  }

  function flush (): void {
    isScheduled = false
    if (stream.destroyed || stream.writableEnded) return
    if (items.length > 0) writeItems()
    if (mayEnd()) stream.end()
  }

  function writeItems (): void {
    nextAtMs = clock.nowMs() + MESSAGE_PAUSE_MS
    const message = encodeRelayItems(items, sender.stamp, introduce())
    items = []
    for (const channel of waiting) forget(channel)
    waiting = new Set()
    isFull = !stream.write(encodeEnvelope(0, message))
  }

  // Who sends is told at the start of a stream and with each new configuration.
  function introduce (): SenderInit {
    const stamped = sender.stamp()
    const isTold = stamped.configVersion === toldVersion
    toldVersion = stamped.configVersion
    return isTold ? { lamport: stamped.lamport } : stamped
  }

  function dropWaiting (channel: Waiting): void {
    items = items.filter((item) => item.channel !== channel.channel)
    forget(channel)
  }

  stream.on('drain', () => {
    isFull = false
    flush()
  })

  return { open: (channel) => createOutput({ channel, tokenCount: 0 }, push, dropWaiting), wake: schedule }
}

function forget (channel: Waiting): void {
  channel.last = undefined
  channel.tokenCount = 0
}

function createOutput (waiting: Waiting, push: (waiting: Waiting, item: RelayItem) => void, dropWaiting: (waiting: Waiting) => void): DecodeOutput {
  const { channel } = waiting
  return {
    pushTransfer: (transferredBytes) => {
      if (waiting.last?.type === 'transfer') dropWaiting(waiting)
      push(waiting, { type: 'transfer', channel, transferredBytes })
    },
    pushTokens: (index, tokens) => {
      waiting.tokenCount += tokens.length
      if (waiting.tokenCount > MAX_WAITING_TOKENS) return false
      const { last } = waiting
      if (last?.type === 'tokens' && last.index + last.tokens.length === index) last.tokens.push(...tokens)
      else push(waiting, { type: 'tokens', channel, index, tokens: [...tokens] })
      return true
    },
    pushEnd: (end) => push(waiting, { type: 'end', channel, end }),
    reset: () => {
      dropWaiting(waiting)
      push(waiting, { type: 'end', channel, end: { type: 'failed', reason: 'upstream_unreachable', kvLost: false } })
    }
  }
}
