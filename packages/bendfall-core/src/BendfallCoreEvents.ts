/**
 * Every event that the reducer knows. Each carries `atMs`, the monotonic time
 * of the process that observed it; the reducer has no clock of its own.
 *
 * @module
 */
import type { Config, InstanceChange, InstanceRecord } from './BendfallCoreConfig.js'
import type { CallAsk, CallReply, DecodeAsk, DecodeEnd, KeyClaimAsk, KeyClaimReply, LoadView, PrefillAsk, PrefillReply, ReserveAsk, ReserveReply, ServiceCall } from './BendfallCoreMessages.js'
import type { ClientId, InstanceId, ModelName, RefusalReason, RequestId, TrafficClass } from './BendfallCoreTypes.js'

/** What a timer is for; chooses the handler when it fires. */
export type TimerKind =
  | 'answer_deadline'
  | 'decode_lease'
  | 'drain_check'
  | 'drain_probe'
  | 'first_output_deadline'
  | 'key_expiry'
  | 'lease_renewal'
  | 'prefill_start'
  | 'reconcile'
  | 'retry'
  | 'transfer_progress'

/** Names a timer. Setting a timer again moves it. */
export interface TimerKey {
  readonly kind: TimerKind
  readonly id: string
}

interface Timed {
  readonly atMs: number
}

interface Attempted extends Timed {
  readonly requestId: RequestId
  readonly attempt: number
  readonly instanceId: InstanceId
}

/** A language request that passed the checks of the HTTP edge. */
export interface LanguageRequest {
  readonly requestId: RequestId
  readonly clientId: ClientId
  readonly model: ModelName
  readonly trafficClass: TrafficClass
  readonly prompt: string
  readonly promptTokens: number
  readonly maxOutputTokens: number
  readonly prefixHashes: readonly string[]
  /** Longest useful wait for the first output, from arrival. */
  readonly firstOutputMs: number
  readonly idempotencyKey: string
  readonly keyIssuedAtMs: number
  readonly bodyDigest: string
}

/** A call of a plain service that passed the checks of the HTTP edge. */
export interface ServiceRequest extends ServiceCall {
  readonly trafficClass: TrafficClass
  /** Longest useful wait for the answer, from arrival. */
  readonly answerMs: number
}

/** Events of every process. */
export type SharedEvent =
  | Timed & { readonly type: 'config_learned', readonly config: Config }
  /** The whole instance list, at first contact. */
  | Timed & { readonly type: 'instances_listed', readonly instances: readonly InstanceRecord[] }
  /** What changed in the instance list since the event before. */
  | Timed & InstanceChange & { readonly type: 'instances_changed' }
  | Timed & { readonly type: 'stop_asked' }
  | Timed & { readonly type: 'timer_fired', readonly timer: TimerKey }

/** Events of the entry role. */
export type EntryEvent =
  | Timed & { readonly type: 'language_request_arrived', readonly request: LanguageRequest }
  | Timed & { readonly type: 'service_request_arrived', readonly request: ServiceRequest }
  /** The edge refused malformed input by itself. */
  | Timed & { readonly type: 'input_refused', readonly status: number, readonly reason: RefusalReason }
  | Timed & { readonly type: 'caller_left', readonly requestId: RequestId, readonly reason: 'closed' | 'slow_reader' }
  | Attempted & { readonly type: 'reserve_replied', readonly reply: ReserveReply }
  | Attempted & { readonly type: 'prefill_replied', readonly reply: PrefillReply }
  | Attempted & { readonly type: 'transfer_progressed', readonly transferredBytes: number }
  | Attempted & { readonly type: 'tokens_arrived', readonly index: number, readonly tokens: readonly string[] }
  | Attempted & { readonly type: 'decode_ended', readonly end: DecodeEnd }
  | Attempted & { readonly type: 'call_replied', readonly reply: CallReply }
  | Attempted & { readonly type: 'key_claim_replied', readonly reply: KeyClaimReply }
  /** `incarnation` of the process that sent the load, where the message told it. */
  | Timed & { readonly type: 'load_seen', readonly instanceId: InstanceId, readonly load: LoadView, readonly incarnation?: string }
  /** The connection to a sidecar closed; streams on it fail by themselves. */
  | Timed & { readonly type: 'sidecar_disconnected', readonly instanceId: InstanceId }
  | Timed & { readonly type: 'leases_refused', readonly instanceId: InstanceId, readonly requestIds: readonly RequestId[] }

/** Lagging load report of a model engine. */
export interface EngineReport {
  readonly usedKvBytes: number
  readonly totalKvBytes: number
  readonly stepMs: number
  readonly prefillTokensPerSecond: number
}

/** Names a connection that an entry opened, and the process that opened it. */
interface OnConnection extends Timed {
  readonly connectionId: string
  readonly entryIncarnation: string
}

/** Events of the sidecar role. */
export type SidecarEvent =
  | Timed & { readonly type: 'reserve_asked', readonly ask: ReserveAsk }
  | Timed & { readonly type: 'prefill_asked', readonly ask: PrefillAsk }
  | Timed & { readonly type: 'decode_asked', readonly ask: DecodeAsk }
  | Timed & { readonly type: 'call_asked', readonly ask: CallAsk }
  | Timed & { readonly type: 'key_claim_asked', readonly ask: KeyClaimAsk }
  | Timed & { readonly type: 'key_settled', readonly requestId: RequestId, readonly pool: string, readonly idempotencyKey: string, readonly result: { readonly type: 'answered', readonly body: Uint8Array } | { readonly type: 'not_run' } }
  | Timed & { readonly type: 'cancel_asked', readonly requestId: RequestId, readonly attempt: number }
  | Timed & { readonly type: 'leases_renewed', readonly entryId: InstanceId, readonly requestIds: readonly RequestId[] }
  | OnConnection & { readonly type: 'entry_connected' }
  | OnConnection & { readonly type: 'entry_heartbeat' }
  /** The connection closed; the entry may have another one. */
  | OnConnection & { readonly type: 'entry_lost' }
  | Timed & { readonly type: 'engine_reported', readonly report: EngineReport }
  | Timed & { readonly type: 'engine_prefill_ended', readonly requestId: RequestId, readonly attempt: number, readonly result: { readonly type: 'done', readonly handle: string, readonly exportUrl: string, readonly kvBytes: number, readonly cachedTokens: number, readonly evictsInMs: number } | { readonly type: 'failed', readonly reason: RefusalReason } }
  | Timed & { readonly type: 'engine_import_progressed', readonly requestId: RequestId, readonly attempt: number, readonly transferredBytes: number }
  | Timed & { readonly type: 'engine_import_ended', readonly requestId: RequestId, readonly attempt: number, readonly result: { readonly type: 'done' } | { readonly type: 'failed', readonly reason: RefusalReason, readonly kvLost: boolean, /** The engine's words. */ readonly detail?: string } }
  | Timed & { readonly type: 'engine_tokens', readonly requestId: RequestId, readonly attempt: number, readonly index: number, readonly tokens: readonly string[] }
  | Timed & { readonly type: 'engine_decode_ended', readonly requestId: RequestId, readonly attempt: number, readonly result: { readonly type: 'finished', readonly tokenCount: number } | { readonly type: 'failed', readonly reason: RefusalReason } }
  | Timed & { readonly type: 'engine_cancelled', readonly requestId: RequestId, readonly attempt: number, readonly confirmed: boolean }
  /** `tries` cancels of all work at the engine were not confirmed so far. */
  | Timed & { readonly type: 'engine_clear_tried', readonly tries: number, readonly isCleared: boolean }
  | Timed & { readonly type: 'engine_order_ended', readonly fencingToken: number, readonly result: { readonly type: 'done' } | { readonly type: 'failed', readonly reason: string, readonly retryAfterMs: number } }
  | Timed & { readonly type: 'service_replied', readonly requestId: RequestId, readonly attempt: number, readonly result: { readonly type: 'answered', readonly status: number, readonly contentType: string, readonly body: Uint8Array } | { readonly type: 'failed', readonly reached: boolean } }
  | Timed & { readonly type: 'home_lease_changed', readonly pool: string, readonly slots: readonly HomeSlot[], readonly holders: readonly HomeHolder[], readonly validUntilMs: number, readonly wallMs: number }

/** A range of keys held by this sidecar. */
export interface HomeSlot {
  readonly slot: number
  /** Revision of the write that made this process the holder. */
  readonly epoch: number
  /** Wall-clock time from which keys are known to this holder. */
  readonly sinceWallMs: number
}

/** The holder of a range of keys, as the key-value service showed it. */
export interface HomeHolder {
  readonly slot: number
  readonly holderId: InstanceId
  readonly epoch: number
}

/** Every event. */
export type Event = SharedEvent | EntryEvent | SidecarEvent

/** Name of an event. */
export type EventType = Event['type']

/** The event with a given name. */
export type EventOf<T extends EventType> = Extract<Event, { type: T }>
