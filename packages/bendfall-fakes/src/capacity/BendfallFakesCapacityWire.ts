/**
 * Measures the sizes of the protobuf messages between processes, without framing.
 *
 * @module
 */
import { create, toBinary } from '@bufbuild/protobuf'
import type { LoadView } from 'bendfall-core'
import { toLoadView } from 'bendfall-node'
import { DecodeRequestSchema, DecodeResponseSchema, FetchConfigRequestSchema, FetchConfigResponseSchema, LoadViewSchema, PrefillRequestSchema, PrefillResponseSchema, RenewRequestSchema, RenewResponseSchema, ReserveRequestSchema, ReserveResponseSchema, SenderSchema } from 'bendfall-protocol'
import { DECODE_LOAD, PREFILL_LOAD, flatText, modelName, numbers } from './BendfallFakesCapacityFleet.js'
import { pointsAt } from './BendfallFakesCapacityMeter.js'
import type { SlopeCase } from './BendfallFakesCapacityMeter.js'
import { ASSUMED, DERIVED } from './BendfallFakesCapacitySize.js'

const ID_COUNTS = [1, 2, 4, 8, 16]
const TOKEN_COUNTS = [1, 2, 4, 8, 16]
const PATCH_CHARS = [250, 500, 1_000, 2_000]
const REQUEST_ID = '00000000-0000-4000-8000-0123456789ab'
const KV_BYTES = 217_391_304
const EXPORT_URL = 'http://10.12.34.56:8000/kv'
const SENDER = { instanceId: 'i-0123456789abcdef', incarnation: REQUEST_ID, configVersion: 54_321, lamport: 1_234_567_890 }
/** Instance id and incarnation are sent in headers, which take one byte each after the first message of a connection. */
const SHORT_SENDER = { configVersion: SENDER.configVersion, lamport: SENDER.lamport }
const SENDER_HEADER_BYTES = 2
const SHARED = { sender: SHORT_SENDER, requestId: REQUEST_ID, attempt: 1, model: modelName(1), trafficClass: 'interactive' }

/** Sizes of protobuf messages in bytes. */
export interface WireBytes {
  readonly sender: number
  /** Load of a decode replica. */
  readonly load: number
  /** Load of a prefill replica. */
  readonly prefillLoad: number
  /** Request and response of each of the three steps of a request, without the prompt. */
  readonly reserve: number
  readonly prefill: number
  readonly decode: number
  readonly renewAnswer: number
  readonly fetchConfigAsk: number
}

/**
 * Encodes a lease renewal.
 *
 * @param count - number of leases in the message
 * @returns the encoded message
 */
export function encodeRenewal (count: number): Uint8Array {
  return toBinary(RenewRequestSchema, create(RenewRequestSchema, { sender: SHORT_SENDER, requestIds: numbers(count).map(() => REQUEST_ID) }))
}

function encodeTokens (count: number): Uint8Array {
  const tokens = numbers(count).map((index) => flatText(ASSUMED.bytesPerOutputToken, index))
  return toBinary(DecodeResponseSchema, create(DecodeResponseSchema, { item: { case: 'tokens', value: { index: 240, tokens } } }))
}

function encodePatch (chars: number): Uint8Array {
  return toBinary(FetchConfigResponseSchema, create(FetchConfigResponseSchema, { sender: SENDER, version: SENDER.configVersion, verifiedAgeMs: 1_234.5, patchJson: flatText(chars, 1) }))
}

function reserveBytes (): number {
  const request = { ...SHARED, clientId: 'client-123', kvBytes: KV_BYTES, maxOutputTokens: 1_000, maxReadyInMs: 987.6, neededInMs: 234.5 }
  const grant = { readyInMs: 12.5, leaseMs: 10_000, fencingToken: 123_456 }
  return toBinary(ReserveRequestSchema, create(ReserveRequestSchema, request)).length +
    toBinary(ReserveResponseSchema, create(ReserveResponseSchema, { sender: SHORT_SENDER, load: toLoadView(DECODE_LOAD), result: { case: 'grant', value: grant } })).length
}

function prefillBytes (): number {
  const request = { ...SHARED, promptTokens: DERIVED.promptTokens, prefixHashes: numbers(ASSUMED.prefixHashes).map(() => '0123456789abcdef'), maxWaitMs: 987.6, expectedTokens: 1_150 }
  const done = { handle: REQUEST_ID, exportUrl: EXPORT_URL, kvBytes: KV_BYTES, cachedTokens: 1_024, evictsInMs: 800 }
  return toBinary(PrefillRequestSchema, create(PrefillRequestSchema, request)).length +
    toBinary(PrefillResponseSchema, create(PrefillResponseSchema, { sender: SHORT_SENDER, load: toLoadView(PREFILL_LOAD), result: { case: 'done', value: done } })).length
}

function decodeBytes (): number {
  const request = { ...SHARED, fencingToken: 123_456, handle: REQUEST_ID, exportUrl: EXPORT_URL, kvBytes: KV_BYTES, maxOutputTokens: 1_000 }
  const end = { sender: SHORT_SENDER, load: toLoadView(DECODE_LOAD), finished: true, tokenCount: 478 }
  return toBinary(DecodeRequestSchema, create(DecodeRequestSchema, request)).length +
    toBinary(DecodeResponseSchema, create(DecodeResponseSchema, { item: { case: 'end', value: end } })).length
}

function loadBytes (load: LoadView): number {
  return toBinary(LoadViewSchema, create(LoadViewSchema, toLoadView(load))).length
}

/**
 * Measures the messages whose size does not depend on the load.
 *
 * @returns sizes in bytes
 */
export function measureWire (): WireBytes {
  return {
    sender: toBinary(SenderSchema, create(SenderSchema, SHORT_SENDER)).length + SENDER_HEADER_BYTES,
    load: loadBytes(DECODE_LOAD),
    prefillLoad: loadBytes(PREFILL_LOAD),
    reserve: reserveBytes(),
    prefill: prefillBytes(),
    decode: decodeBytes(),
    renewAnswer: toBinary(RenewResponseSchema, create(RenewResponseSchema, { sender: SHORT_SENDER })).length,
    fetchConfigAsk: toBinary(FetchConfigRequestSchema, create(FetchConfigRequestSchema, { sender: SENDER, haveVersion: 54_320, haveListRevision: '12840-89abcdef-01234567', haveListAgeMs: 20_000.5, waitMs: 15_000, takesPatch: true })).length
  }
}

/** Measurements of messages over the size of their content. */
export const WIRE_SLOPES = {
  renewalBytes: { name: 'renewal, protobuf', unit: 'B', per: 'lease', measure: () => pointsAt(ID_COUNTS, (count) => encodeRenewal(count).length) },
  tokenBytes: { name: 'token batch, protobuf', unit: 'B', per: 'token', measure: () => pointsAt(TOKEN_COUNTS, (count) => encodeTokens(count).length) },
  patchBytes: { name: 'configuration patch, protobuf', unit: 'B', per: 'character', measure: () => pointsAt(PATCH_CHARS, (chars) => encodePatch(chars).length) }
} satisfies Readonly<Record<string, SlopeCase>>
