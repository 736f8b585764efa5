import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { DescMessage, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import type { CallReply, DecodeEnd, KeyClaimReply, LoadView, PrefillReply, ReserveReply } from 'bendfall-core'
import { CallRequestSchema, CallResponseSchema, ClaimKeyRequestSchema, ClaimKeyResponseSchema, DecodeEndSchema, DecodeRequestSchema, DecodeResponseSchema, LoadViewSchema, PrefillRequestSchema, PrefillResponseSchema, ReserveRequestSchema, ReserveResponseSchema } from 'bendfall-protocol'
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { incarnationDigest } from '../../transport/BendfallNodeHeartbeat.js'
import * as messages from '../../transport/BendfallNodeMessages.js'
import { fromLoadView, toLoadView } from '../../transport/BendfallNodeLoadView.js'
import { decodeTokenBatch, encodeTokenBatch } from '../../transport/BendfallNodeTokenBatch.js'

const SENDER = { instanceId: 'entry-1', incarnation: 'a', configVersion: 3, lamport: 9 }
const LOAD: LoadView = { freeKvBytes: 2 ** 40, totalKvBytes: 2 ** 41, activeRequests: 3, queuedPrefillTokens: 7, urgentPrefillTokens: 2, prefillTokensPerSecond: 8000, stepMs: 12.5, readyInMs: 30, draining: true, configVersion: 4 }
const BASE = { requestId: 'r', attempt: 2, entryId: 'entry-1', model: 'm', trafficClass: 'summary' as const }

function sent<D extends DescMessage> (schema: D, init: MessageInitShape<D>): MessageShape<D> {
  return fromBinary(schema, toBinary(schema, create(schema, init)))
}

test('asks arrive as they left', () => {
  const reserve = { ...BASE, entryIncarnation: incarnationDigest('a'), clientId: 'c', kvBytes: 2 ** 36, maxOutputTokens: 400, neededInMs: 40, maxReadyInMs: 80.5 }
  assert.equal(messages.fromReserveRequest(sent(ReserveRequestSchema, messages.toReserveRequest(reserve, SENDER))), reserve)
  const prefill = { ...BASE, prompt: 'šuma', promptTokens: 4, expectedTokens: 3, notBeforeInMs: 1, prefixHashes: ['a', 'b'], maxWaitMs: 9 }
  assert.equal(messages.fromPrefillRequest(sent(PrefillRequestSchema, messages.toPrefillRequest(prefill, SENDER))), prefill)
  const decode = { ...BASE, fencingToken: 5, handle: 'h', exportUrl: 'u', kvBytes: 1, prompt: 'p', maxOutputTokens: 3, resumeTokens: ['x'] }
  assert.equal(messages.fromDecodeRequest(sent(DecodeRequestSchema, messages.toDecodeRequest(decode, SENDER))), decode)
  const timedDecode = { ...decode, evictsInMs: 640.5 }
  assert.equal(messages.fromDecodeRequest(sent(DecodeRequestSchema, messages.toDecodeRequest(timedDecode, SENDER))), timedDecode)
  const call = { requestId: 'r', attempt: 0, entryId: 'entry-1', clientId: 'c', pool: 'p', method: 'POST', path: '/x', contentType: 't', body: new Uint8Array([0, 255]), repeatable: false, idempotencyKey: 'k', keyIssuedAtMs: 1e12, bodyDigest: 'd', maxWaitMs: 5 }
  assert.equal(messages.fromCallRequest(sent(CallRequestSchema, messages.toCallRequest(call, SENDER))), call)
  const claim = { requestId: 'r', entryId: 'entry-1', pool: 'p', idempotencyKey: 'k', keyIssuedAtMs: 1, bodyDigest: 'd', maxWaitMs: 5 }
  assert.equal(messages.fromClaimKeyRequest(sent(ClaimKeyRequestSchema, messages.toClaimKeyRequest(claim, SENDER))), claim)
})

test('answers arrive as they left', () => {
  const reserves: ReserveReply[] = [
    { type: 'granted', readyInMs: 1.5, leaseMs: 5000, fencingToken: 7, load: LOAD },
    { type: 'refused', reason: 'capacity', retryAfterMs: 20, load: LOAD }
  ]
  for (const reply of reserves) assert.equal(messages.fromReserveResponse(sent(ReserveResponseSchema, messages.toReserveResponse(reply, SENDER))), reply)
  const prefills: PrefillReply[] = [
    { type: 'done', handle: 'h', exportUrl: 'u', kvBytes: 5, cachedTokens: 6, evictsInMs: 700, load: LOAD },
    { type: 'refused', reason: 'draining', retryAfterMs: 0, load: LOAD },
    { type: 'failed', reason: 'upstream_failed' }
  ]
  for (const reply of prefills) assert.equal(messages.fromPrefillResponse(sent(PrefillResponseSchema, messages.toPrefillResponse(reply, SENDER))), reply)
  const ends: DecodeEnd[] = [
    { type: 'finished', tokenCount: 0, load: LOAD },
    { type: 'failed', reason: 'prefill_lost', kvLost: true }
  ]
  for (const end of ends) assert.equal(messages.fromDecodeEnd(sent(DecodeEndSchema, messages.toDecodeEnd(end, SENDER))), end)
  const calls: CallReply[] = [
    { type: 'answered', status: 201, contentType: 't', body: new Uint8Array([1]), replayed: true, load: LOAD },
    { type: 'refused', outcome: 'not_run', reason: 'capacity', retryAfterMs: 1, load: LOAD },
    { type: 'refused', outcome: 'unknown', reason: 'key_too_old', retryAfterMs: 0, load: LOAD },
    { type: 'moved', holderId: 's2', epoch: 8 }
  ]
  for (const reply of calls) assert.equal(messages.fromCallResponse(sent(CallResponseSchema, messages.toCallResponse(reply, SENDER))), reply)
  const claims: KeyClaimReply[] = [
    { type: 'run', leaseMs: 0 },
    { type: 'replay', body: new Uint8Array([3]) },
    { type: 'refused', outcome: 'unknown', reason: 'duplicate_running', retryAfterMs: 1 },
    { type: 'moved', holderId: '', epoch: 0 }
  ]
  for (const reply of claims) assert.equal(messages.fromClaimKeyResponse(sent(ClaimKeyResponseSchema, messages.toClaimKeyResponse(reply, SENDER))), reply)
})

test('a load arrives rounded, in few bytes', () => {
  const load: LoadView = { ...LOAD, freeKvBytes: 2 ** 36 + 1, totalKvBytes: 2 ** 80, prefillTokensPerSecond: 8000.5, stepMs: 12.3456, readyInMs: 0.2 }
  const arrived = fromLoadView(sent(LoadViewSchema, toLoadView(load)))
  assert.equal(arrived, { ...load, freeKvBytes: 2 ** 36, totalKvBytes: (2 ** 32 - 1) * 1024, prefillTokensPerSecond: 8001, stepMs: 12.346, readyInMs: 1 })
  const idle: LoadView = { freeKvBytes: 0, totalKvBytes: 0, activeRequests: 0, queuedPrefillTokens: 0, urgentPrefillTokens: 0, prefillTokensPerSecond: 0, stepMs: 0, readyInMs: 0, draining: false, configVersion: 0 }
  assert.is(toBinary(LoadViewSchema, create(LoadViewSchema, toLoadView(idle))).byteLength, 0)
})

test('an answer without result or load is an error, a new reason is not', () => {
  assert.throws(() => messages.fromReserveResponse(sent(ReserveResponseSchema, { load: {} })), /without result/)
  assert.throws(() => messages.fromReserveResponse(sent(ReserveResponseSchema, {})), /without load/)
  assert.throws(() => messages.fromReserveRequest(sent(ReserveRequestSchema, { trafficClass: 'summary' })), /without sender/)
  for (const reason of ['of_a_later_version', 'constructor', '__proto__']) {
    const later = sent(DecodeEndSchema, { reason })
    assert.equal(messages.fromDecodeEnd(later), { type: 'failed', reason: 'upstream_failed', kvLost: false })
  }
})

test('the codec of tokens agrees with the general one', () => {
  const batches = fc.record({ index: fc.nat(2 ** 32 - 1), tokens: fc.array(fc.string({ unit: 'grapheme' })) })
  fc.assert(fc.property(batches, ({ index, tokens }) => {
    const general = toBinary(DecodeResponseSchema, create(DecodeResponseSchema, { item: { case: 'tokens', value: { index, tokens } } }))
    assert.equal(decodeTokenBatch(general), { index, tokens })
    assert.equal(fromBinary(DecodeResponseSchema, encodeTokenBatch({ index, tokens })).item.value, fromBinary(DecodeResponseSchema, general).item.value)
  }))
  const end = toBinary(DecodeResponseSchema, create(DecodeResponseSchema, { item: { case: 'transferredBytes', value: 7 } }))
  assert.is(decodeTokenBatch(end), undefined)
})

test.run()
