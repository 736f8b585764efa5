/**
 * Reads and writes RelayResponse without the general codec, which costs several
 * times as much on the most frequent message.
 *
 * @module
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { BinaryReader, BinaryWriter, WireType } from '@bufbuild/protobuf/wire'
import type { DecodeEnd } from 'bendfall-core'
import { DecodeEndSchema, SenderSchema } from 'bendfall-protocol'
import type { Sender, DecodeEnd as WireDecodeEnd } from 'bendfall-protocol'
import { toDecodeEnd } from './BendfallNodeMessages.js'
import type { SenderInit } from './BendfallNodeSender.js'
import { splitSender } from './BendfallNodeSenderHeaders.js'

/** What a relay carries for one decode. */
export type RelayItem =
  | { readonly type: 'transfer', readonly channel: number, readonly transferredBytes: number }
  | { readonly type: 'tokens', readonly channel: number, readonly index: number, readonly tokens: string[] }
  | { readonly type: 'end', readonly channel: number, readonly end: DecodeEnd }

/** What an entry reads of one item; absent fields were not sent. */
export interface ArrivedItem {
  channel: number
  index: number
  tokens: string[]
  transferredBytes?: number
  end?: WireDecodeEnd
}

/** A RelayResponse that arrived. */
export interface ArrivedItems {
  lamport: number
  sender?: Sender
  items: ArrivedItem[]
}

const LAMPORT_FIELD = 1
const SENDER_FIELD = 2
const ITEMS_FIELD = 3
const CHANNEL_FIELD = 1
const INDEX_FIELD = 2
const TOKENS_FIELD = 3
const TRANSFERRED_FIELD = 4
const END_FIELD = 5

/**
 * Writes a RelayResponse.
 *
 * @param items - the items in order
 * @param stamp - makes the sender of the end of a decode
 * @param sender - Lamport clock, and the rest unless the entry knows it
 * @returns bytes of the message
 */
export function encodeRelayItems (items: readonly RelayItem[], stamp: () => SenderInit, sender: SenderInit): Uint8Array {
  const writer = new BinaryWriter()
  writer.tag(LAMPORT_FIELD, WireType.Bit64).double(sender.lamport ?? 0)
  if (sender.instanceId !== undefined) writer.tag(SENDER_FIELD, WireType.LengthDelimited).bytes(toBinary(SenderSchema, create(SenderSchema, sender)))
  for (const item of items) {
    writer.tag(ITEMS_FIELD, WireType.LengthDelimited).fork()
    writeItem(writer, item, stamp)
    writer.join()
  }
  return writer.finish()
}

function writeItem (writer: BinaryWriter, item: RelayItem, stamp: () => SenderInit): void {
  writer.tag(CHANNEL_FIELD, WireType.Varint).uint32(item.channel)
  switch (item.type) {
    case 'tokens':
      writer.tag(INDEX_FIELD, WireType.Varint).uint32(item.index)
      for (const token of item.tokens) writer.tag(TOKENS_FIELD, WireType.LengthDelimited).string(token)
      return
    case 'transfer':
      writer.tag(TRANSFERRED_FIELD, WireType.Bit64).double(item.transferredBytes)
      return
    case 'end':
      writer.tag(END_FIELD, WireType.LengthDelimited).bytes(toBinary(DecodeEndSchema, splitSender(create(DecodeEndSchema, toDecodeEnd(item.end, stamp()))).message))
  }
}

/**
 * Reads a RelayResponse.
 *
 * @param message - bytes of the message
 * @returns what it carries
 * @throws Error when the bytes are no message
 */
export function decodeRelayItems (message: Uint8Array): ArrivedItems {
  const reader = new BinaryReader(message)
  const arrived: ArrivedItems = { lamport: 0, items: [] }
  while (reader.pos < reader.len) {
    const [field, wireType] = reader.tag()
    switch (field) {
      case LAMPORT_FIELD: arrived.lamport = reader.double(); break
      case SENDER_FIELD: arrived.sender = fromBinary(SenderSchema, reader.bytes()); break
      case ITEMS_FIELD: arrived.items.push(readItem(reader, reader.uint32() + reader.pos)); break
      default: reader.skip(wireType, field)
    }
  }
  return arrived
}

function readItem (reader: BinaryReader, end: number): ArrivedItem {
  const item: ArrivedItem = { channel: 0, index: 0, tokens: [] }
  while (reader.pos < end) {
    const [field, wireType] = reader.tag()
    switch (field) {
      case CHANNEL_FIELD: item.channel = reader.uint32(); break
      case INDEX_FIELD: item.index = reader.uint32(); break
      case TOKENS_FIELD: item.tokens.push(reader.string()); break
      case TRANSFERRED_FIELD: item.transferredBytes = reader.double(); break
      case END_FIELD: item.end = fromBinary(DecodeEndSchema, reader.bytes()); break
      default: reader.skip(wireType, field)
    }
  }
  return item
}
