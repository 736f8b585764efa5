/**
 * Choices of the entry that the bench compares, and its constants.
 *
 * @module
 */

/** How a decode replica is chosen. */
export type DecodeChoice = 'least_loaded' | 'round_robin' | 'two_choices'

/** How a prefill replica is chosen. */
export type PrefillChoice = 'affinity' | 'carp' | 'least_completion' | 'mod_ring' | 'ring' | 'round_robin'

/** Choices of the entry. */
export interface EntryPolicy {
  readonly decodeChoice: DecodeChoice
  readonly prefillChoice: PrefillChoice
  /** Start prefill so that its result arrives as the memory frees. */
  readonly justInTime: boolean
  /** Refuse at once what would miss its target by the entry's estimate. */
  readonly admitByDeadline: boolean
  /** Divide scarce capacity among clients by their weights. */
  readonly clientShares: boolean
}

/** The choices in force unless the bench asks for others. */
export const DEFAULT_ENTRY_POLICY: EntryPolicy = {
  decodeChoice: 'two_choices',
  prefillChoice: 'affinity',
  justInTime: true,
  admitByDeadline: true,
  clientShares: true
}

/** Replicas of a pool that one entry uses; bounds its state and its leases. */
export const SUBSET_SIZE = 24

/**
 * Time between two heartbeats to the sidecars that hold requests of the entry.
 * Two in a row may be lost or late before a lease (10 s) lapses.
 */
export const HEARTBEAT_MS = 4_000

/** How long an instance that did not answer is left out. */
export const SUSPECT_MS = 2000

/** Longest wait for a new decode replica after output has begun. */
export const RESUME_WAIT_MS = 10_000

/** Part of a retry that each admitted request earns for its pool. */
export const RETRY_EARNED_PER_REQUEST = 0.1

/** Most retries a pool can save up. */
export const RETRY_BUDGET_MAX = 20

/** Attempts of one request, the first included: bounds how many replicas a request that ends them can end. */
export const MAX_ATTEMPTS = 4

/** Attempts of one request whose last one was lost before any engine decoded for it; time and budget bound them as well. */
export const MAX_UNDECODED_ATTEMPTS = 8

/** Pause before the second retry of a request; bridges a replica that stands still for a moment. */
export const FIRST_RETRY_PAUSE_MS = 250

/** By how much each pause is longer than the one before. */
export const RETRY_PAUSE_GROWTH = 4

/** Longest pause; a replica that stands still for longer has been replaced by then, or is suspected. */
export const LONGEST_RETRY_PAUSE_MS = 1_000

/** Part of the time to the first output that a pause may take, so that the attempt after it can be in time. */
export const LONGEST_RETRY_PAUSE_SHARE = 0.25

/** Refused candidates after which a request is given up. */
export const MAX_RESERVE_ASKS = 3

/** `Retry-After` when nothing better is known. */
export const DEFAULT_RETRY_AFTER_MS = 1000

/** Prefill rate assumed until one was heard. */
export const ASSUMED_PREFILL_TOKENS_PER_SECOND = 8000

/** Link rate assumed where the configuration names none. */
export const ASSUMED_LINK_BYTES_PER_SECOND = 10e9

/**
 * Part of the time to a deadline that forecasts may fill. Longer forecasts are
 * worse ones, and what they promise falsely is prefilled in vain.
 */
export const PLANNED_SHARE = 0.5

/** A wait heard longer ago than this says nothing: the replica is asked again. */
export const LOAD_MEMORY_MS = 5_000

/** Hop between two processes, with its handling. */
export const ASSUMED_HOP_MS = 2
