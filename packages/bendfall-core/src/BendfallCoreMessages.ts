/**
 * What entry and sidecar tell each other, free of transport. The proto files
 * of bendfall-protocol mirror these types field by field.
 *
 * Times are durations: the clocks of two processes are never compared.
 *
 * @module
 */
import type { ClientId, InstanceId, ModelName, Outcome, PoolName, RefusalReason, RequestId, TrafficClass } from './BendfallCoreTypes.js'

/**
 * Load of an upstream as its sidecar knows it; rides on the answers to asks.
 * What does not concern the role of the upstream's pool is 0.
 */
export interface LoadView {
  /** Decode memory neither reserved nor in use. */
  readonly freeKvBytes: number
  readonly totalKvBytes: number
  /** Requests admitted and not ended. */
  readonly activeRequests: number
  /** Tokens admitted for prefill and not yet computed, by the entries' estimates. */
  readonly queuedPrefillTokens: number
  /** Part of them that belongs to interactive requests, which go first. */
  readonly urgentPrefillTokens: number
  /** Measured prefill rate; 0 when not known. */
  readonly prefillTokensPerSecond: number
  /** Measured time of one decode step; 0 when not known. */
  readonly stepMs: number
  /** Wait until a reservation of typical size could start. */
  readonly readyInMs: number
  readonly draining: boolean
  /** Highest configuration version in force at the sidecar. */
  readonly configVersion: number
}

/** Asks a decode sidecar for memory, before any prefill. */
export interface ReserveAsk {
  readonly requestId: RequestId
  readonly attempt: number
  readonly entryId: InstanceId
  /** Process of the entry, as `entry_connected` names it. */
  readonly entryIncarnation: string
  readonly clientId: ClientId
  readonly model: ModelName
  readonly trafficClass: TrafficClass
  /** Prompt and longest output. */
  readonly kvBytes: number
  readonly maxOutputTokens: number
  /** When the KV cache is expected: prefill and transfer take this long. */
  readonly neededInMs: number
  /** Longest useful wait for the memory. */
  readonly maxReadyInMs: number
}

/** Answer to {@link ReserveAsk}. */
export type ReserveReply =
  | { readonly type: 'granted', readonly readyInMs: number, readonly leaseMs: number, readonly fencingToken: number, readonly load: LoadView }
  | { readonly type: 'refused', readonly reason: RefusalReason, readonly retryAfterMs: number, readonly load: LoadView }
  | { readonly type: 'unreachable' }

/** Asks a prefill sidecar to compute the KV cache of a prompt. */
export interface PrefillAsk {
  readonly requestId: RequestId
  readonly attempt: number
  readonly entryId: InstanceId
  readonly model: ModelName
  readonly trafficClass: TrafficClass
  readonly prompt: string
  readonly promptTokens: number
  /** Tokens that the entry expects the prefix cache to lack. */
  readonly expectedTokens: number
  /** Hashes of growing prefixes of the prompt, shortest first. */
  readonly prefixHashes: readonly string[]
  /** The decode memory is not free before: an earlier result would be evicted. */
  readonly notBeforeInMs: number
  /** Longest useful wait for the result. */
  readonly maxWaitMs: number
}

/** Answer to {@link PrefillAsk}. */
export type PrefillReply =
  | { readonly type: 'done', readonly handle: string, readonly exportUrl: string, readonly kvBytes: number, readonly cachedTokens: number, readonly evictsInMs: number, readonly load: LoadView }
  | { readonly type: 'refused', readonly reason: RefusalReason, readonly retryAfterMs: number, readonly load: LoadView }
  | { readonly type: 'failed', readonly reason: RefusalReason }

/** Asks a decode sidecar to fetch the KV cache and to stream the output. */
export interface DecodeAsk {
  readonly requestId: RequestId
  readonly attempt: number
  readonly entryId: InstanceId
  readonly fencingToken: number
  readonly model: ModelName
  readonly trafficClass: TrafficClass
  readonly handle: string
  readonly exportUrl: string
  readonly kvBytes: number
  /** Time until the source may drop the KV cache; absent when not known. */
  readonly evictsInMs?: number
  readonly prompt: string
  readonly maxOutputTokens: number
  /** Tokens already sent to the caller; decoding resumes behind them. */
  readonly resumeTokens: readonly string[]
}

/** How a decode attempt ended at its sidecar. */
export type DecodeEnd =
  | { readonly type: 'finished', readonly tokenCount: number, readonly load: LoadView }
  | { readonly type: 'failed', readonly reason: RefusalReason, readonly kvLost: boolean }

/** A call of a plain service, whoever holds it. */
export interface ServiceCall {
  readonly requestId: RequestId
  readonly clientId: ClientId
  readonly pool: PoolName
  readonly method: string
  readonly path: string
  readonly contentType: string
  readonly body: Uint8Array
  readonly repeatable: boolean
  /** Key of the caller; empty when the caller sent none. */
  readonly idempotencyKey: string
  /** Time at which the key was made, read from the key; 0 when not known. */
  readonly keyIssuedAtMs: number
  /** Digest of method, path and body, to find a key used twice. */
  readonly bodyDigest: string
}

/** Asks the sidecar of a plain service to run a call. */
export interface CallAsk extends ServiceCall {
  readonly attempt: number
  readonly entryId: InstanceId
  readonly maxWaitMs: number
}

/** Answer to {@link CallAsk}. */
export type CallReply =
  | { readonly type: 'answered', readonly status: number, readonly contentType: string, readonly body: Uint8Array, readonly replayed: boolean, readonly load: LoadView }
  | { readonly type: 'refused', readonly outcome: Extract<Outcome, 'not_run' | 'unknown'>, readonly reason: RefusalReason, readonly retryAfterMs: number, readonly load: LoadView }
  /** The sidecar is not the home of the key; the holder it knows, if any. */
  | { readonly type: 'moved', readonly holderId: InstanceId, readonly epoch: number }
  /** `reached` tells whether bytes of the call may have left this process. */
  | { readonly type: 'unreachable', readonly reached: boolean }

/** Asks the home of a key whether a summary with this key may run. */
export interface KeyClaimAsk {
  readonly requestId: RequestId
  readonly entryId: InstanceId
  readonly pool: string
  readonly idempotencyKey: string
  readonly keyIssuedAtMs: number
  readonly bodyDigest: string
  readonly maxWaitMs: number
}

/** Answer to {@link KeyClaimAsk}. */
export type KeyClaimReply =
  | { readonly type: 'run', readonly leaseMs: number }
  | { readonly type: 'replay', readonly body: Uint8Array }
  | { readonly type: 'refused', readonly outcome: Extract<Outcome, 'not_run' | 'unknown'>, readonly reason: RefusalReason, readonly retryAfterMs: number }
  | { readonly type: 'moved', readonly holderId: InstanceId, readonly epoch: number }
  | { readonly type: 'unreachable' }
