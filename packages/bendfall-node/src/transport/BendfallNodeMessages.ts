/**
 * Pure mapping between the messages of bendfall-protocol and the types of
 * bendfall-core. A message that lacks what its type promises is an error; only
 * reasons that a newer peer may know are mapped to `upstream_failed`.
 *
 * @module
 */
import type { MessageInitShape } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import type { CallAsk, CallReply, DecodeAsk, DecodeEnd, InstanceId, KeyClaimAsk, KeyClaimReply, LoadView, PrefillAsk, PrefillReply, RefusalReason, ReserveAsk, ReserveReply, TrafficClass } from 'bendfall-core'
import type * as wire from 'bendfall-protocol'
import { incarnationDigest } from './BendfallNodeHeartbeat.js'
import { fromLoadView, toLoadView } from './BendfallNodeLoadView.js'
import type { SenderInit } from './BendfallNodeSender.js'

type WireAsk = wire.ReserveRequest | wire.PrefillRequest | wire.DecodeRequest | wire.CallRequest | wire.ClaimKeyRequest
type AskFields<T> = Omit<T, '$typeName' | '$unknown' | 'sender'> & { readonly entryId: InstanceId }
type RefusedOutcome = 'not_run' | 'unknown'

const TRAFFIC_CLASSES: ReadonlySet<string> = new Set<TrafficClass>(['interactive', 'summary'])

// A record, so that the compiler reports a reason that is missing here.
const REASONS: Readonly<Record<RefusalReason, true>> = {
  bad_request: true,
  caller_left: true,
  capacity: true,
  client_share: true,
  config_invalid: true,
  config_missing: true,
  deadline: true,
  draining: true,
  duplicate_running: true,
  home_moved: true,
  key_conflict: true,
  key_too_old: true,
  lease_lapsed: true,
  model_unknown: true,
  no_upstream: true,
  prefill_lost: true,
  retry_budget: true,
  route_unknown: true,
  slow_reader: true,
  transfer_stalled: true,
  upstream_failed: true,
  upstream_unreachable: true
}

function malformed (detail: string): ConnectError {
  return new ConnectError(detail, Code.InvalidArgument)
}

function askFields<T extends WireAsk> (message: T): AskFields<T> {
  const { $typeName, $unknown, sender, ...fields } = message
  if (sender === undefined) throw malformed('message without sender')
  return { ...fields, entryId: sender.instanceId } as unknown as AskFields<T>
}

function toTrafficClass (text: string): TrafficClass {
  if (!TRAFFIC_CLASSES.has(text)) throw malformed(`unknown traffic class ${text}`)
  return text as TrafficClass
}

function toReason (text: string): RefusalReason {
  return Object.hasOwn(REASONS, text) ? text as RefusalReason : 'upstream_failed'
}

function toRefusedOutcome (text: string): RefusedOutcome {
  return text === 'not_run' ? 'not_run' : 'unknown'
}

function loadFrom (message: wire.LoadView | undefined): LoadView {
  if (message === undefined) throw malformed('answer without load')
  return fromLoadView(message)
}

/** Maps an ask that arrived. */
export function fromReserveRequest (message: wire.ReserveRequest): ReserveAsk {
  const entryIncarnation = incarnationDigest(message.sender?.incarnation ?? '')
  return { ...askFields(message), entryIncarnation, trafficClass: toTrafficClass(message.trafficClass) }
}

/** Maps an ask that arrived. */
export function fromPrefillRequest (message: wire.PrefillRequest): PrefillAsk {
  return { ...askFields(message), trafficClass: toTrafficClass(message.trafficClass) }
}

/** Maps an ask that arrived. */
export function fromDecodeRequest (message: wire.DecodeRequest): DecodeAsk {
  return { ...askFields(message), trafficClass: toTrafficClass(message.trafficClass) }
}

/** Maps an ask that arrived. */
export function fromCallRequest (message: wire.CallRequest): CallAsk {
  return askFields(message)
}

/** Maps an ask that arrived. */
export function fromClaimKeyRequest (message: wire.ClaimKeyRequest): KeyClaimAsk {
  return askFields(message)
}

/** Maps an ask that leaves. */
export function toReserveRequest (ask: ReserveAsk, sender: SenderInit): MessageInitShape<typeof wire.ReserveRequestSchema> {
  return { ...ask, sender }
}

/** Maps an ask that leaves. */
export function toPrefillRequest (ask: PrefillAsk, sender: SenderInit): MessageInitShape<typeof wire.PrefillRequestSchema> {
  return { ...ask, prefixHashes: [...ask.prefixHashes], sender }
}

/** Maps an ask that leaves. */
export function toDecodeRequest (ask: DecodeAsk, sender: SenderInit): MessageInitShape<typeof wire.DecodeRequestSchema> {
  return { ...ask, resumeTokens: [...ask.resumeTokens], sender }
}

/** Maps an ask that leaves. */
export function toCallRequest (ask: CallAsk, sender: SenderInit): MessageInitShape<typeof wire.CallRequestSchema> {
  return { ...ask, body: ask.body as Uint8Array<ArrayBuffer>, sender }
}

/** Maps an ask that leaves. */
export function toClaimKeyRequest (ask: KeyClaimAsk, sender: SenderInit): MessageInitShape<typeof wire.ClaimKeyRequestSchema> {
  return { ...ask, sender }
}

/**
 * Maps an answer that leaves.
 *
 * @throws ConnectError for `unreachable`, which only a caller can find
 */
export function toReserveResponse (reply: ReserveReply, sender: SenderInit): MessageInitShape<typeof wire.ReserveResponseSchema> {
  switch (reply.type) {
    case 'granted': return { sender, load: toLoadView(reply.load), result: { case: 'grant', value: { readyInMs: reply.readyInMs, leaseMs: reply.leaseMs, fencingToken: reply.fencingToken } } }
    case 'refused': return { sender, load: toLoadView(reply.load), result: { case: 'refusal', value: { reason: reply.reason, outcome: 'not_run', retryAfterMs: reply.retryAfterMs } } }
    case 'unreachable': throw unreachableReply()
  }
}

/** Maps an answer that arrived. */
export function fromReserveResponse (message: wire.ReserveResponse): ReserveReply {
  const load = loadFrom(message.load)
  switch (message.result.case) {
    case 'grant': {
      const { readyInMs, leaseMs, fencingToken } = message.result.value
      return { type: 'granted', readyInMs, leaseMs, fencingToken, load }
    }
    case 'refusal': return { type: 'refused', reason: toReason(message.result.value.reason), retryAfterMs: message.result.value.retryAfterMs, load }
    case undefined: throw malformed('answer without result')
  }
}

/** Maps an answer that leaves. */
export function toPrefillResponse (reply: PrefillReply, sender: SenderInit): MessageInitShape<typeof wire.PrefillResponseSchema> {
  switch (reply.type) {
    case 'done': {
      const { type, load, ...value } = reply
      return { sender, load: toLoadView(load), result: { case: 'done', value } }
    }
    case 'refused': return { sender, load: toLoadView(reply.load), result: { case: 'refusal', value: { reason: reply.reason, outcome: 'not_run', retryAfterMs: reply.retryAfterMs } } }
    case 'failed': return { sender, result: { case: 'failed', value: reply.reason } }
  }
}

/** Maps an answer that arrived. */
export function fromPrefillResponse (message: wire.PrefillResponse): PrefillReply {
  const { result } = message
  switch (result.case) {
    case 'done': {
      const { $typeName, $unknown, ...done } = result.value
      return { type: 'done', ...done, load: loadFrom(message.load) }
    }
    case 'refusal': return { type: 'refused', reason: toReason(result.value.reason), retryAfterMs: result.value.retryAfterMs, load: loadFrom(message.load) }
    case 'failed': return { type: 'failed', reason: toReason(result.value) }
    case undefined: throw malformed('answer without result')
  }
}

/** Maps the end of a decode stream that leaves. */
export function toDecodeEnd (end: DecodeEnd, sender: SenderInit): MessageInitShape<typeof wire.DecodeEndSchema> {
  if (end.type === 'failed') return { sender, finished: false, reason: end.reason, kvLost: end.kvLost }
  return { sender, load: toLoadView(end.load), finished: true, tokenCount: end.tokenCount }
}

/** Maps the end of a decode stream that arrived. */
export function fromDecodeEnd (message: wire.DecodeEnd): DecodeEnd {
  if (!message.finished) return { type: 'failed', reason: toReason(message.reason), kvLost: message.kvLost }
  return { type: 'finished', tokenCount: message.tokenCount, load: loadFrom(message.load) }
}

/**
 * Maps an answer that leaves.
 *
 * @throws ConnectError for `unreachable`, which only a caller can find
 */
export function toCallResponse (reply: CallReply, sender: SenderInit): MessageInitShape<typeof wire.CallResponseSchema> {
  switch (reply.type) {
    case 'answered': {
      const { status, contentType, body, replayed, load } = reply
      return { sender, load: toLoadView(load), result: { case: 'answer', value: { status, contentType, body: body as Uint8Array<ArrayBuffer>, replayed } } }
    }
    case 'refused': return { sender, load: toLoadView(reply.load), result: { case: 'refusal', value: { reason: reply.reason, outcome: reply.outcome, retryAfterMs: reply.retryAfterMs } } }
    case 'moved': return { sender, result: { case: 'moved', value: { holderId: reply.holderId, epoch: reply.epoch } } }
    case 'unreachable': throw unreachableReply()
  }
}

/** Maps an answer that arrived. */
export function fromCallResponse (message: wire.CallResponse): CallReply {
  const { result } = message
  switch (result.case) {
    case 'answer': {
      const { $typeName, $unknown, ...answer } = result.value
      return { type: 'answered', ...answer, load: loadFrom(message.load) }
    }
    case 'refusal': {
      const { reason, outcome, retryAfterMs } = result.value
      return { type: 'refused', outcome: toRefusedOutcome(outcome), reason: toReason(reason), retryAfterMs, load: loadFrom(message.load) }
    }
    case 'moved': return { type: 'moved', holderId: result.value.holderId, epoch: result.value.epoch }
    case undefined: throw malformed('answer without result')
  }
}

/**
 * Maps an answer that leaves.
 *
 * @throws ConnectError for `unreachable`, which only a caller can find
 */
export function toClaimKeyResponse (reply: KeyClaimReply, sender: SenderInit): MessageInitShape<typeof wire.ClaimKeyResponseSchema> {
  switch (reply.type) {
    case 'run': return { sender, result: { case: 'runLeaseMs', value: reply.leaseMs } }
    case 'replay': return { sender, result: { case: 'replay', value: reply.body as Uint8Array<ArrayBuffer> } }
    case 'refused': return { sender, result: { case: 'refusal', value: { reason: reply.reason, outcome: reply.outcome, retryAfterMs: reply.retryAfterMs } } }
    case 'moved': return { sender, result: { case: 'moved', value: { holderId: reply.holderId, epoch: reply.epoch } } }
    case 'unreachable': throw unreachableReply()
  }
}

/** Maps an answer that arrived. */
export function fromClaimKeyResponse (message: wire.ClaimKeyResponse): KeyClaimReply {
  const { result } = message
  switch (result.case) {
    case 'runLeaseMs': return { type: 'run', leaseMs: result.value }
    case 'replay': return { type: 'replay', body: result.value }
    case 'refusal': {
      const { reason, outcome, retryAfterMs } = result.value
      return { type: 'refused', outcome: toRefusedOutcome(outcome), reason: toReason(reason), retryAfterMs }
    }
    case 'moved': return { type: 'moved', holderId: result.value.holderId, epoch: result.value.epoch }
    case undefined: throw malformed('answer without result')
  }
}

function unreachableReply (): ConnectError {
  return new ConnectError('a sidecar cannot answer that it is unreachable', Code.Internal)
}
