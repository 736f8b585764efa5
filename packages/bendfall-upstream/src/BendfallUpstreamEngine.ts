/**
 * Port of the model engine that runs next to the sidecar.
 *
 * @module
 */
import type { EngineOrder, EngineReport } from 'bendfall-core'

/** Identifies one attempt of a request at the engine. */
export interface AttemptRef {
  readonly requestId: string
  readonly attempt: number
}

/** Parameters of a prefill. */
export interface EnginePrefill extends AttemptRef {
  readonly model: string
  readonly prompt: string
  readonly promptTokens: number
  readonly prefixHashes: readonly string[]
  /** Attempts with a higher priority run first. */
  readonly priority: number
}

/** Outcome of a prefill. */
export type EnginePrefillOutcome =
  | { readonly type: 'done', readonly handle: string, readonly exportUrl: string, readonly kvBytes: number, readonly cachedTokens: number, readonly evictsInMs: number }
  | { readonly type: 'failed', readonly detail: string }

/** Parameters of the import of a KV cache. */
export interface EngineImport extends AttemptRef {
  readonly handle: string
  readonly exportUrl: string
  readonly kvBytes: number
}

/** Outcome of an import. `kvLost`: the source no longer holds the KV cache. */
export type EngineImportOutcome =
  | { readonly type: 'done' }
  | { readonly type: 'failed', readonly kvLost: boolean, readonly detail: string }

/** Parameters of a decode, whose KV cache must have been imported before. */
export interface EngineDecode extends AttemptRef {
  readonly model: string
  readonly prompt: string
  readonly maxOutputTokens: number
  readonly resumeTokens: readonly string[]
  readonly priority: number
}

/** Outcome of a decode. */
export type EngineDecodeOutcome =
  | { readonly type: 'finished', readonly tokenCount: number }
  | { readonly type: 'failed', readonly detail: string }

/** Outcome of an order. `stale`: the engine rejected an outdated fencing token. */
export type EngineOrderOutcome =
  | { readonly type: 'done' }
  | { readonly type: 'stale' }
  | { readonly type: 'failed', readonly detail: string, readonly retryAfterMs: number }

/** Access to a model engine. Never throws; aborting a signal also cancels the attempt at the engine. */
export interface EnginePort {
  readonly prefill: (parameters: EnginePrefill, signal: AbortSignal) => Promise<EnginePrefillOutcome>
  readonly importKv: (parameters: EngineImport, onProgress: (transferredBytes: number) => void, signal: AbortSignal) => Promise<EngineImportOutcome>
  /** Calls `onTokens` with each batch of tokens and the index of its first token in the whole output. */
  readonly decode: (parameters: EngineDecode, onTokens: (index: number, tokens: readonly string[]) => void, signal: AbortSignal) => Promise<EngineDecodeOutcome>
  /** Frees everything that an attempt holds. Idempotent. Returns true if the engine confirmed. */
  readonly cancel: (ref: AttemptRef) => Promise<boolean>
  /** Cancels all attempts at the engine; used after the sidecar restarted. */
  readonly cancelAll: () => Promise<boolean>
  readonly report: () => Promise<EngineReport | undefined>
  readonly order: (fencingToken: number, order: EngineOrder) => Promise<EngineOrderOutcome>
  readonly close: () => Promise<void>
}
