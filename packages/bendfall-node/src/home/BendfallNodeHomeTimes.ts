/**
 * Times of the holders of key homes.
 *
 * Calls to the key-value service, with C the candidates of a pool (at most 8):
 * C / `renewalMs` writes and C / `watchWaitMs` reads a second and pool while
 * nothing changes, whatever the number of replicas, calls and keys. A change of
 * one slot adds one write and ends the C waiting watches once.
 *
 * @module
 */

/** Times of a holder. */
export interface HomeHolderTimes {
  /** Longer than the outages of the key-value service that should not be felt. */
  readonly leaseTtlMs: number
  /** By how much the holder stops before its lease lapses at the service. */
  readonly leaseMarginMs: number
  readonly renewalMs: number
  /** Time between two looks at what is to be done; costs no call. */
  readonly tickMs: number
  readonly watchWaitMs: number
  /** Wait after a failed read. */
  readonly rereadMs: number
  /** Wait for each better-ranked candidate before a free slot is claimed. */
  readonly claimStaggerMs: number
  /** How long an instance has to be missing in the list to count as dead. */
  readonly goneConfirmMs: number
  /** Time between two slots given away for the sake of fair shares. */
  readonly handoverMs: number
  /** The same at a holder that is no longer a candidate. */
  readonly retreatMs: number
  /** Longest wait for running calls before the slots are released at a stop. */
  readonly drainWaitMs: number
}

/** Times in force unless a test asks for others. */
export const DEFAULT_HOME_HOLDER_TIMES: HomeHolderTimes = {
  leaseTtlMs: 120_000,
  leaseMarginMs: 5_000,
  renewalMs: 10_000,
  tickMs: 1_000,
  watchWaitMs: 30_000,
  rereadMs: 2_000,
  claimStaggerMs: 3_000,
  goneConfirmMs: 10_000,
  handoverMs: 60_000,
  retreatMs: 10_000,
  drainWaitMs: 5_000
}
