/**
 * A token bucket: fills at a steady rate up to a burst size and is drained by the units taken.
 *
 * It handles a load beyond its rate: units that are available are granted at once, and other
 * requests are rejected with a retry delay. The delays are spaced so that rejected requests return one after
 * the other.
 *
 * @module
 */

/** Rate and burst size of a bucket. */
export interface BucketLimit {
  readonly unitsPerS: number
  readonly burstUnits: number
  /**
   * Largest sum that any window of the bounds may hold; absent: a request larger than the burst
   * is granted whenever the bucket is full. Otherwise it is granted only after the bucket has
   * been full for so long that no window exceeds the sum.
   */
  readonly maxWindowUnits?: number
}

/** State of a bucket. */
export interface TokenBucket {
  /** Negative after a request larger than the burst. */
  units: number
  /** Units that may be missing from `units`, since units taken before the bucket was created are unknown. */
  unknownUnits: number
  /** Units that did not fit since the last grant, up to the largest sum of a window; they serve only a request larger than the burst. */
  spareUnits: number
  /** Time up to which the bucket has been filled. */
  filledAtMs: number
  /** Latest retry time that was given to a rejected request. */
  latestRetryAtMs: number
}

/** Result of an attempt to take units. */
export type TakeOutcome =
  | { readonly type: 'granted' }
  | { readonly type: 'refused', readonly retryAfterMs: number }
  /** It is unknown whether the units are available: unrecorded use may or may not have spent them. */
  | { readonly type: 'uncertain' }

const MS_PER_SECOND = 1_000

/**
 * Creates an empty bucket, since the units taken before are unknown.
 *
 * @param limit - current rate and burst size
 * @param sinceMs - time from which the bucket fills
 * @returns the bucket
 */
export function createBucket ({ burstUnits }: BucketLimit, sinceMs: number): TokenBucket {
  return { units: 0, unknownUnits: burstUnits, spareUnits: 0, filledAtMs: sinceMs, latestRetryAtMs: -Infinity }
}

/**
 * Takes units. A request larger than the burst is granted when the bucket is full, and has been for
 * long enough where the limit says so, and leaves the bucket negative.
 *
 * @param bucket - changed in place
 * @param limit - current rate and burst size
 * @param units - units that the request needs
 * @param nowMs - current time
 * @returns whether the units were granted; if rejected, the delay until they fit behind the requests rejected before
 */
export function takeUnits (bucket: TokenBucket, limit: BucketLimit, units: number, nowMs: number): TakeOutcome {
  fill(bucket, limit, nowMs)
  const neededUnits = neededUnitsOf(limit, units)
  const availableUnits = availableUnitsOf(bucket, limit, units)
  if (availableUnits >= neededUnits) {
    bucket.units -= units
    bucket.spareUnits = 0
    return { type: 'granted' }
  }
  if (availableUnits + bucket.unknownUnits >= neededUnits) return { type: 'uncertain' }
  const msPerUnit = MS_PER_SECOND / limit.unitsPerS
  const availableAtMs = nowMs + (neededUnits - availableUnits) * msPerUnit
  const retryAtMs = Math.max(availableAtMs, bucket.latestRetryAtMs + units * msPerUnit)
  bucket.latestRetryAtMs = retryAtMs
  return { type: 'refused', retryAfterMs: retryAtMs - nowMs }
}

function neededUnitsOf ({ burstUnits, maxWindowUnits }: BucketLimit, units: number): number {
  return maxWindowUnits === undefined ? Math.min(units, burstUnits) : units
}

function availableUnitsOf (bucket: TokenBucket, { burstUnits }: BucketLimit, units: number): number {
  return bucket.units + (units > burstUnits ? bucket.spareUnits : 0)
}

/**
 * Returns units that were taken but not used.
 *
 * @param bucket - changed in place
 * @param limit - current rate and burst size
 * @param units - units to return
 * @param nowMs - current time
 */
export function giveBackUnits (bucket: TokenBucket, limit: BucketLimit, units: number, nowMs: number): void {
  fill(bucket, limit, nowMs)
  bucket.units = Math.min(limit.burstUnits, bucket.units + units)
}

function fill (bucket: TokenBucket, { burstUnits, maxWindowUnits = burstUnits, unitsPerS }: BucketLimit, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.filledAtMs)
  const units = elapsedMs * unitsPerS / MS_PER_SECOND
  const overflowUnits = Math.max(0, bucket.units + units - burstUnits)
  bucket.spareUnits = Math.min(Math.max(0, maxWindowUnits - burstUnits), bucket.spareUnits + overflowUnits)
  bucket.units = Math.min(burstUnits, bucket.units + units)
  // The uncertainty lasts for the time that the bucket takes to fill, even if all that it receives is taken.
  bucket.unknownUnits = Math.max(0, bucket.unknownUnits - units)
  bucket.filledAtMs = Math.max(bucket.filledAtMs, nowMs)
}
