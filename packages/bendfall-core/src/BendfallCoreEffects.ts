/**
 * Every effect that the reducer may ask for. Effects are data; the runtime
 * looks up one handler for each type and feeds results back as events.
 *
 * @module
 */
import type { CallAsk, CallReply, DecodeAsk, DecodeEnd, KeyClaimAsk, KeyClaimReply, PrefillAsk, PrefillReply, ReserveAsk, ReserveReply } from './BendfallCoreMessages.js'
import type { TimerKey } from './BendfallCoreEvents.js'
import type { InstanceId, Outcome, RefusalReason, RequestId, TrafficClass } from './BendfallCoreTypes.js'

interface ToInstance {
  readonly instanceId: InstanceId
}

/** How a request ended, told to the caller and the time line. */
export interface RequestEnd {
  readonly requestId: RequestId
  readonly outcome: Outcome
  /** Set unless the outcome is `answered`. */
  readonly reason?: RefusalReason
  /** When the caller may come back; 0 when coming back is of no use. */
  readonly retryAfterMs: number
  /** Details for people. */
  readonly detail: string
}

/** Effects of every process. */
export type SharedEffect =
  | { readonly type: 'set_timer', readonly timer: TimerKey, readonly atMs: number }
  | { readonly type: 'clear_timer', readonly timer: TimerKey }
  /** One line of the time line, by request or by intent. */
  | { readonly type: 'record', readonly subject: string, readonly event: string, readonly fields: Readonly<Record<string, string | number | boolean>> }
  | { readonly type: 'count', readonly metric: string, readonly value: number, readonly tags: Readonly<Record<string, string>> }
  | { readonly type: 'measure', readonly metric: string, readonly valueMs: number, readonly tags: Readonly<Record<string, string>> }
  /** Nothing is left to finish: the process may exit. */
  | { readonly type: 'stopped' }

/** Effects of the entry role. */
export type EntryEffect =
  | ToInstance & { readonly type: 'send_reserve', readonly ask: ReserveAsk }
  | ToInstance & { readonly type: 'send_prefill', readonly ask: PrefillAsk }
  | ToInstance & { readonly type: 'send_decode', readonly ask: DecodeAsk }
  | ToInstance & { readonly type: 'send_cancel', readonly requestId: RequestId, readonly attempt: number }
  /** Proves on the open connection that the entry lives. */
  | ToInstance & { readonly type: 'send_heartbeat' }
  | ToInstance & { readonly type: 'send_renewal', readonly requestIds: readonly RequestId[] }
  | ToInstance & { readonly type: 'send_call', readonly ask: CallAsk }
  | ToInstance & { readonly type: 'send_key_claim', readonly ask: KeyClaimAsk }
  | ToInstance & { readonly type: 'send_key_settled', readonly requestId: RequestId, readonly pool: string, readonly idempotencyKey: string, readonly answered: boolean, readonly body: Uint8Array }
  | { readonly type: 'emit_tokens', readonly requestId: RequestId, readonly index: number, readonly tokens: readonly string[] }
  | { readonly type: 'emit_answer', readonly requestId: RequestId, readonly status: number, readonly contentType: string, readonly body: Uint8Array, readonly replayed: boolean }
  | { readonly type: 'end_request', readonly end: RequestEnd, readonly trafficClass: TrafficClass }

/** Effects of the sidecar role. */
export type SidecarEffect =
  | { readonly type: 'reply_reserve', readonly requestId: RequestId, readonly attempt: number, readonly reply: ReserveReply }
  | { readonly type: 'reply_prefill', readonly requestId: RequestId, readonly attempt: number, readonly reply: PrefillReply }
  | { readonly type: 'reply_call', readonly requestId: RequestId, readonly attempt: number, readonly reply: CallReply }
  | { readonly type: 'reply_key_claim', readonly requestId: RequestId, readonly reply: KeyClaimReply }
  | { readonly type: 'relay_transfer', readonly requestId: RequestId, readonly attempt: number, readonly transferredBytes: number }
  | { readonly type: 'relay_tokens', readonly requestId: RequestId, readonly attempt: number, readonly index: number, readonly tokens: readonly string[] }
  | { readonly type: 'relay_end', readonly requestId: RequestId, readonly attempt: number, readonly end: DecodeEnd }
  | { readonly type: 'engine_prefill', readonly ask: PrefillAsk }
  | { readonly type: 'engine_import', readonly ask: DecodeAsk }
  | { readonly type: 'engine_decode', readonly ask: DecodeAsk }
  /** Cancels prefill, import and decode of an attempt; retried until confirmed. */
  | { readonly type: 'engine_cancel', readonly requestId: RequestId, readonly attempt: number }
  | { readonly type: 'engine_order', readonly fencingToken: number, readonly order: EngineOrder }
  | { readonly type: 'service_call', readonly ask: CallAsk }

/** What an engine is told to hold. */
export interface EngineOrder {
  readonly model: string
  readonly modelVersion: string
  readonly adapters: readonly string[]
  readonly role: 'prefill' | 'decode'
  readonly weightBytes: number
}

/** Every effect. */
export type Effect = SharedEffect | EntryEffect | SidecarEffect

/** Name of an effect. */
export type EffectType = Effect['type']

/** The effect with a given name. */
export type EffectOf<T extends EffectType> = Extract<Effect, { type: T }>
