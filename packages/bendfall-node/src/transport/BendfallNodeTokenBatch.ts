/**
 * Reads and writes a DecodeResponse that carries tokens without the general
 * codec, which costs several times as much on the hottest message.
 *
 * @module
 */
import { BinaryReader, BinaryWriter, WireType } from '@bufbuild/protobuf/wire'

/** Tokens of a decode stream. */
export interface TokenBatch {
  /** Index of the first token in the whole output. */
  readonly index: number
  readonly tokens: readonly string[]
}

const RESPONSE_TOKENS_FIELD = 2
const BATCH_INDEX_FIELD = 1
const BATCH_TOKENS_FIELD = 2

/** First byte of a DecodeResponse with tokens. */
const TOKENS_TAG = (RESPONSE_TOKENS_FIELD << 3) | WireType.LengthDelimited

/**
 * Writes a DecodeResponse with tokens.
 *
 * @param batch - the tokens
 * @returns bytes of the message
 */
export function encodeTokenBatch ({ index, tokens }: TokenBatch): Uint8Array {
  const writer = new BinaryWriter()
  writer.tag(RESPONSE_TOKENS_FIELD, WireType.LengthDelimited).fork()
  writer.tag(BATCH_INDEX_FIELD, WireType.Varint).uint32(index)
  for (const token of tokens) writer.tag(BATCH_TOKENS_FIELD, WireType.LengthDelimited).string(token)
  return writer.join().finish()
}

/**
 * Reads a DecodeResponse with tokens.
 *
 * @param message - bytes of a DecodeResponse
 * @returns the tokens; nothing when the message carries something else
 * @throws Error when the bytes are no message
 */
export function decodeTokenBatch (message: Uint8Array): TokenBatch | undefined {
  if (message[0] !== TOKENS_TAG) return undefined
  const reader = new BinaryReader(message)
  reader.tag()
  const end = reader.uint32() + reader.pos
  if (end !== message.byteLength) return undefined
  return readBatch(reader)
}

function readBatch (reader: BinaryReader): TokenBatch {
  const tokens: string[] = []
  let index = 0
  while (reader.pos < reader.len) {
    const [field, wireType] = reader.tag()
    if (field === BATCH_INDEX_FIELD) index = reader.uint32()
    else if (field === BATCH_TOKENS_FIELD) tokens.push(reader.string())
    else reader.skip(wireType, field)
  }
  return { index, tokens }
}
