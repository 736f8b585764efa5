import type { RouterDecisions } from '../../index.js'
import type { Attempt } from './AttemptTally.js'

/** Load of a simulation: streams with an average of 3,200 prompt tokens and 640 output tokens. */
export interface LoadScenario {
  readonly prefills: number
  readonly decodes: number
  /** Entries that share the load; 1 when absent. */
  readonly entries?: number
  /** Arrivals of streams in each second of the load. */
  readonly perSecond: readonly number[]
  /** Arrivals of streams with a lower priority in each second of the load; none when absent. */
  readonly lessUrgentPerSecond?: readonly number[]
  /** Streams with a lower priority that have this many times the usual prompt tokens; 1 when absent. */
  readonly lessUrgentSize?: number
  /** Share of the callers that ignore `Retry-After` and retry at once until their time is over; 0 when absent. */
  readonly eagerShare?: number
  /** Customers that the streams of `perSecond` belong to in turn, and one more that `floodPerSecond` belongs to; no customers when absent. */
  readonly customers?: number
  /** Arrivals of one customer's further streams in each second of the load; none when absent. */
  readonly floodPerSecond?: readonly number[]
  /** Whether the callers of that customer retry at once until their time is over. */
  readonly isFloodEager?: boolean
  readonly decisions?: Partial<RouterDecisions>
  /** Seed of arrivals and sizes; 11 when absent. */
  readonly seed?: number
  /** Maximum deviation of the callers' waits from the mean, as a share of it; 0 when absent. */
  readonly waitSpread?: number
  /** Time that is simulated after the load; 15 s when absent. */
  readonly calmMs?: number
  /** Replicas that stop responding, and when; permanently unless they return, idle, at a time. */
  readonly lost?: ReadonlyArray<{ readonly replicaId: string, readonly atMs: number, readonly untilMs?: number }>
  /** Number of entries, the first ones, whose messages each take processor time; none when absent. */
  readonly small?: { readonly entries: number, readonly messageMs: number }
  /** Number of entries, the first ones, that no ledger answers for a time; none when absent. */
  readonly cut?: { readonly entries: number, readonly fromMs: number, readonly untilMs: number }
  /** Speeds of replicas relative to the usual one, from a time on; 1 for the others. */
  readonly speeds?: ReadonlyArray<{ readonly replicaId: string, readonly atMs: number, readonly speed: number }>
  /** Output tokens of the first event; 0 when absent. */
  readonly firstEventTokens?: number
  /** Whether refusals and waits are compared with the capacity of the other replicas, which takes time. */
  readonly isJudged?: boolean
}

/** Results of the streams of one priority. */
export interface LoadTally {
  readonly asked: number
  /** Streams whose first event arrived within the target, measured from the first attempt. */
  readonly onTime: number
  readonly late: number
  /** Streams that were not served in any attempt. */
  readonly unserved: number
}

/** Results as seen by the callers. */
export interface LoadResult extends LoadTally {
  /** Longest time from an attempt until its refusal. */
  readonly maxRefusalMs: number
  /** Prefills that were sent, and those of them whose response or timeout the entry handled. */
  readonly prefillsSent: number
  readonly prefillsEnded: number
  readonly streams: readonly StreamResult[]
  /** Model replicas that the first entry uses at the end. */
  readonly usedReplicas: number
  readonly lessUrgent: LoadTally
  /** Streams of `floodPerSecond`, which are not counted elsewhere. */
  readonly flood: LoadTally
  /** Refusals for lack of capacity, and those of them while a replica would have granted the request at once. */
  readonly refusals: number
  readonly needlessRefusals: number
  /** Refusals while a decode replica had memory for the request. */
  readonly refusedWithRoom: number
  /** Samples of requests that waited at a ledger, and those of them while another replica would have granted the request at once. */
  readonly waits: number
  readonly needlessWaits: number
  /** Queries of loads that ledgers answered, and the most for one attempt of a caller. */
  readonly queries: number
  readonly maxQueries: number
  /** Largest number of returning callers within 100 ms. */
  readonly maxReturns: number
  readonly attempts: number
  /** Every attempt of a caller. */
  readonly tries: readonly Attempt[]
}

/** Result of one stream. */
export interface StreamResult {
  readonly firstTryAtMs: number
  /** Whether it began in the first attempt. */
  readonly hasBegunAtOnce: boolean
}

/** A caller of a simulation. */
export interface Caller {
  readonly promptTokens: number
  readonly outputTokens: number
  readonly hintTokens: number
  readonly isLessUrgent: boolean
  /** Index of the customer; absent without customers. */
  readonly customer?: number
  readonly isFlood: boolean
  /** Whether it retries at once until its time is over. */
  readonly isEager: boolean
  readonly firstTryAtMs: number
  /** Total time that the caller waits, over all attempts. */
  readonly waitMs: number
  tryAtMs: number
  tries: number
  outcome?: 'on_time' | 'late' | 'unserved'
}
