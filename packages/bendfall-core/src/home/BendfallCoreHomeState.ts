/**
 * State of a sidecar as home of idempotency keys: the slots it holds, and what
 * it knows of every key it accepted.
 *
 * @module
 */
import { List, Map } from 'immutable'
import type { HomeHolder, HomeSlot } from '../BendfallCoreEvents.js'
import type { KeyClaimAsk } from '../BendfallCoreMessages.js'
import type { Outcome, RefusalReason, RequestId } from '../BendfallCoreTypes.js'

/** Identifies a key within its pool, see `homeKeyId`. */
export type HomeKeyId = string

/** Limits of the key table. */
export interface HomeLimits {
  /** How long after the first use of a key its repeats are recognized. */
  readonly keyRetentionMs: number
  /** Longest time that an entry goes on asking for a call. */
  readonly longestCallMs: number
  /** Largest difference of the wall clocks of two instances. */
  readonly clockSkewMs: number
  readonly maxKeys: number
  /** New keys are refused from here on; running calls may exceed it. */
  readonly maxKeptBytes: number
  /** Asks that may wait for one running key. */
  readonly maxWaitersPerKey: number
  /**
   * Shortest and longest lease of a claim. The shortest covers the longest
   * output, so that a summary is not run beside one that still streams.
   */
  readonly minClaimLeaseMs: number
  readonly maxClaimLeaseMs: number
}

/** Longest time that an entry goes on asking for a call. */
export const LONGEST_CALL_MS = 60_000

/** Limits unless settings say otherwise. */
export const DEFAULT_HOME_LIMITS: HomeLimits = {
  keyRetentionMs: 600_000,
  longestCallMs: LONGEST_CALL_MS,
  clockSkewMs: 2_000,
  maxKeys: 50_000,
  maxKeptBytes: 64 * 1024 * 1024,
  maxWaitersPerKey: 64,
  minClaimLeaseMs: 120_000,
  maxClaimLeaseMs: 600_000
}

/** An ask that waits for the end of a running call. */
export interface CallWaiter {
  readonly requestId: RequestId
  readonly attempt: number
}

/** An ask that waits for the end of a running summary. */
export interface ClaimWaiter {
  readonly ask: KeyClaimAsk
  readonly waitsUntilMs: number
}

/** How the call of a key ended. */
export type CallEnd =
  | { readonly type: 'answered', readonly status: number, readonly contentType: string, readonly body: Uint8Array }
  | { readonly type: 'refused', readonly outcome: Extract<Outcome, 'unknown'>, readonly reason: RefusalReason }

/** What the home knows of a key. */
export type KeyRecord =
  /** The one `service_call` of the key went out. */
  | { readonly type: 'call_running', readonly requestId: RequestId, readonly bodyDigest: string, readonly repeatable: boolean, readonly waiters: readonly CallWaiter[] }
  | { readonly type: 'call_ended', readonly bodyDigest: string, readonly end: CallEnd }
  /** An entry runs a summary for the key. */
  | { readonly type: 'claim_running', readonly requestId: RequestId, readonly bodyDigest: string, readonly leaseUntilMs: number, readonly waiters: readonly ClaimWaiter[] }
  | { readonly type: 'claim_ended', readonly bodyDigest: string, readonly body: Uint8Array }

/** When an ended key may be forgotten. */
export interface KeyExpiry {
  readonly keyId: HomeKeyId
  readonly expiresAtMs: number
}

/** State of a sidecar as home of keys. */
export interface HomeState {
  readonly limits: HomeLimits
  /** Pool whose slots are held. */
  readonly pool: string
  readonly slots: Map<number, HomeSlot>
  /** The slots are held up to this monotonic time. */
  readonly validUntilMs: number
  /** Wall-clock time minus monotonic time, at the last change of the lease. */
  readonly wallOffsetMs: number
  /** Holders of all slots of the pool, as last read. */
  readonly holders: Map<number, HomeHolder>
  readonly keys: Map<HomeKeyId, KeyRecord>
  /** Key of each running call, by request and attempt. */
  readonly runningCalls: Map<string, HomeKeyId>
  /** Ended keys, oldest first. */
  readonly expiries: List<KeyExpiry>
  readonly keptBytes: number
}

/**
 * Makes the state of a sidecar that holds no slot.
 *
 * @param limits - limits of the key table
 * @returns the state
 */
export function createHomeState (limits: HomeLimits = DEFAULT_HOME_LIMITS): HomeState {
  return {
    limits,
    pool: '',
    slots: Map(),
    validUntilMs: 0,
    wallOffsetMs: 0,
    holders: Map(),
    keys: Map(),
    runningCalls: Map(),
    expiries: List(),
    keptBytes: 0
  }
}
