/**
 * What the models of engines and services need from the run around them.
 *
 * @module
 */
import type { Event } from 'bendfall-core'
import type { LanguageArrival } from './BendfallBenchWorkload.js'
import type { Transfer, TransferListener } from './BendfallBenchLink.js'

/** Names an attempt. */
export interface AttemptName {
  readonly requestId: string
  readonly attempt: number
}

type WithoutTime<T> = T extends unknown ? Omit<T, 'atMs'> : never

/** An event before it reached a process: without that process's time. */
export type Fact = WithoutTime<Event>

/** Where the models of engines tell what happened. */
export interface EngineSink {
  /** Tells the sidecar. */
  readonly notify: (fact: Fact) => void
  readonly prefillCached: (tokens: number) => void
  readonly prefillComputed: (name: AttemptName, tokens: number) => void
  /** Named by the handle of the result: `<instance>/<request>/<attempt>`. */
  readonly prefillUsed: (handle: string) => void
  readonly memoryTaken: (name: AttemptName, kvBytes: number) => void
  readonly memoryFreed: (name: AttemptName) => void
  /** The arrival behind a request: what only the workload knows. */
  readonly truth: (requestId: string) => LanguageArrival
}

/** Where a decode engine fetches KV caches from. */
export interface KvSource {
  readonly livesUntilMs: () => number | undefined
  readonly fetch: (listener: TransferListener) => Transfer
}
