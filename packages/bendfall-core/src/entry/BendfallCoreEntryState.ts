/**
 * State of the entry role.
 *
 * @module
 */
import type { List } from 'immutable'
import { Map } from 'immutable'
import type { LanguageRequest } from '../BendfallCoreEvents.js'
import type { ClientId, InstanceId, PoolName, RequestId } from '../BendfallCoreTypes.js'
import { DEFAULT_ENTRY_POLICY } from './BendfallCoreEntryPolicy.js'
import type { EntryPolicy } from './BendfallCoreEntryPolicy.js'
import { createPrefixPlaces } from './BendfallCoreEntryPrefixes.js'
import type { PrefixPlaces } from './BendfallCoreEntryPrefixes.js'
import { createCallsState } from './calls/BendfallCoreCallState.js'
import type { CallsState } from './calls/BendfallCoreCallState.js'

/** What a language request waits for. */
export type LanguagePhase = 'claiming' | 'reserving' | 'prefilling' | 'decoding' | 'pausing'

/** The reservation of the live attempt. */
export interface Reservation {
  readonly decodeId: InstanceId
  readonly fencingToken: number
  readonly kvBytes: number
  readonly grantedAtMs: number
  readonly readyAtMs: number
}

/** The prefill of the live attempt, from its start. */
export interface PrefillWork {
  readonly prefillId: InstanceId
  /** Tokens still to be computed by the entry's estimate. */
  readonly expectedTokens: number
  /** Transfer of the result, once the decode was sent. */
  readonly transfer?: { readonly kvBytes: number, readonly sentAtMs: number }
  /** Whether an engine may have worked for the request before this prefill. */
  readonly reachedBefore: boolean
}

/** A prefill result that a decode replica may fetch. */
export interface PrefillResult {
  readonly prefillId: InstanceId
  readonly handle: string
  readonly exportUrl: string
  readonly kvBytes: number
  readonly cachedTokens: number
  /** Life of the result when nobody fetches it. */
  readonly evictsInMs: number
  /** Until when it is believed to live. */
  readonly evictsAtMs: number
  /** Until when its replica promised to keep it. */
  readonly promisedUntilMs: number
  /** Whether bytes of it came in during the live attempt. */
  readonly isPinned: boolean
  /** Decode replica whose memory becomes free again as its transfer stalled. */
  readonly stalledAtId?: InstanceId
}

/** A language request that has not ended. */
export interface LanguageState {
  readonly request: LanguageRequest
  readonly arrivedAtMs: number
  /** Time by which the live attempt has to bring its first output. */
  readonly outputDueAtMs: number
  readonly attempt: number
  readonly phase: LanguagePhase
  readonly reservation?: Reservation
  /** Asked for a reservation in the live attempt, the last one last. */
  readonly askedDecodeIds: readonly InstanceId[]
  /** Prefill replicas asked in the live attempt. */
  readonly askedPrefillIds: readonly InstanceId[]
  /** Did not serve an earlier attempt; left out as long as there are others. */
  readonly failedIds: readonly InstanceId[]
  readonly prefill?: PrefillWork
  /** Result of the prefill, of an earlier attempt if its KV cache was not lost. */
  readonly result?: PrefillResult
  readonly sentTokens: List<string>
  readonly firstOutputAtMs?: number
  /** True until the live attempt brought output: its deadline counts. */
  readonly awaitsOutput: boolean
  /** True once an engine may have worked for the request. */
  readonly reached: boolean
  /** Sidecar that holds the idempotency key, once it let the request run. */
  readonly keyHomeId?: InstanceId
  /** Sidecars asked for the key's claim. */
  readonly claimAsks: number
  /** Pool whose sidecars hold the key; empty without a key. */
  readonly keyPool: PoolName
  /** Decode memory counted against the client's share. */
  readonly sharedKvBytes: number
}

/** Prefill tokens that a load view does not show yet. */
export interface PendingPrefill {
  readonly tokens: number
  /** Part of them that belongs to interactive requests. */
  readonly urgentTokens: number
}

/** Rate that transfers between two availability zones had of late. */
export interface LinkUse {
  readonly bytesPerSecond: number
  readonly seenAtMs: number
}

/** Retries a pool has saved up. */
export interface RetryBudget {
  readonly tokens: number
}

/** What a client's requests were admitted of late through this entry; it fades. */
export interface ClientUse {
  /** Decode memory that they asked for. */
  readonly kvBytes: number
  readonly requests: number
  /** Time up to which it has faded. */
  readonly atMs: number
}

/** Sums over all clients with use, kept so that a decision walks none of them. */
export interface AllClients {
  readonly use: ClientUse
  readonly weight: number
  /** When clients whose use has faded were last dropped. */
  readonly sweptAtMs: number
}

/** State of the entry role. */
export interface EntryState {
  readonly policy: EntryPolicy
  readonly requests: Map<RequestId, LanguageState>
  /** Calls of plain services. */
  readonly calls: CallsState
  /** Replicas of each pool that this entry uses. */
  readonly subsets: Map<PoolName, readonly InstanceId[]>
  /** Prefill tokens sent since the load of a replica was heard. */
  readonly pendingPrefills: Map<InstanceId, PendingPrefill>
  readonly prefixPlaces: PrefixPlaces
  /** By pair of availability zones. */
  readonly links: Map<string, LinkUse>
  readonly retryBudgets: Map<PoolName, RetryBudget>
  readonly clients: Map<ClientId, ClientUse>
  readonly allClients: AllClients
  /** Time until which capacity counts as scarce. */
  readonly scarceUntilMs: number
  readonly renewalSet: boolean
  /** Turn of the round robin choices. */
  readonly turn: number
  readonly stopped: boolean
}

/**
 * Makes the state of an entry that just started.
 *
 * @param policy - choices that differ from the default ones
 * @returns an empty slice
 */
export function createEntryState (policy: Partial<EntryPolicy> = {}): EntryState {
  return {
    policy: { ...DEFAULT_ENTRY_POLICY, ...policy },
    requests: Map(),
    calls: createCallsState(),
    subsets: Map(),
    pendingPrefills: Map(),
    prefixPlaces: createPrefixPlaces(),
    links: Map(),
    retryBudgets: Map(),
    clients: Map(),
    allClients: { use: { kvBytes: 0, requests: 0, atMs: 0 }, weight: 0, sweptAtMs: 0 },
    scarceUntilMs: 0,
    renewalSet: false,
    turn: 0,
    stopped: false
  }
}
