/**
 * A token bucket: fills at a steady rate up to a burst, and is emptied by what is taken.
 *
 * It answers a load that is beyond its rate: what fits is granted at once, what does not is
 * told when it will, and those who were told come back one after the other.
 *
 * @module
 */

/** What a bucket allows. */
export interface BucketLimit {
  readonly unitsPerS: number
  readonly burstUnits: number
}

/** State of a bucket. */
export interface TokenBucket {
  /** Below 0 after a request that is larger than the burst. */
  units: number
  /** Units that it may lack because what was taken before it was made is not known. */
  unknownUnits: number
  /** Time up to which it has been filled. */
  filledAtMs: number
  /** When the last of those that were refused fits, by what they were told. */
  returnsUntilMs: number
}

/** Outcome of an attempt to take units. */
export type TakeOutcome =
  | { readonly type: 'granted' }
  | { readonly type: 'refused', readonly retryAfterMs: number }
  /** They don't fit for certain, and may be due all the same. */
  | { readonly type: 'uncertain' }

const MS_PER_SECOND = 1_000

/**
 * Makes an empty bucket: what may have been taken before is not known.
 *
 * @param limit - in force
 * @param sinceMs - time since which it fills
 * @returns the bucket
 */
export function createBucket ({ burstUnits }: BucketLimit, sinceMs: number): TokenBucket {
  return { units: 0, unknownUnits: burstUnits, filledAtMs: sinceMs, returnsUntilMs: -Infinity }
}

/**
 * Takes units. A request that is larger than the burst takes all and leaves a debt.
 *
 * @param bucket - changed in place
 * @param limit - in force
 * @param units - of the request
 * @param nowMs - the time
 * @returns whether they were granted; otherwise the time until they will fit, behind those that were refused before
 */
export function takeUnits (bucket: TokenBucket, limit: BucketLimit, units: number, nowMs: number): TakeOutcome {
  fill(bucket, limit, nowMs)
  const neededUnits = Math.min(units, limit.burstUnits)
  if (bucket.units >= neededUnits) {
    bucket.units -= units
    return { type: 'granted' }
  }
  if (bucket.units + bucket.unknownUnits >= neededUnits) return { type: 'uncertain' }
  const msPerUnit = MS_PER_SECOND / limit.unitsPerS
  const fitsAtMs = nowMs + (neededUnits - bucket.units) * msPerUnit
  const returnsAtMs = Math.max(fitsAtMs, bucket.returnsUntilMs + units * msPerUnit)
  bucket.returnsUntilMs = returnsAtMs
  return { type: 'refused', retryAfterMs: returnsAtMs - nowMs }
}

/**
 * Gives units back that were taken for nothing.
 *
 * @param bucket - changed in place
 * @param limit - in force
 * @param units - that were taken
 * @param nowMs - the time
 */
export function giveBackUnits (bucket: TokenBucket, limit: BucketLimit, units: number, nowMs: number): void {
  fill(bucket, limit, nowMs)
  bucket.units = Math.min(limit.burstUnits, bucket.units + units)
}

function fill (bucket: TokenBucket, { burstUnits, unitsPerS }: BucketLimit, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.filledAtMs)
  const units = elapsedMs * unitsPerS / MS_PER_SECOND
  bucket.units = Math.min(burstUnits, bucket.units + units)
  // In doubt for as long as a bucket takes to fill, also where all that it gets is taken.
  bucket.unknownUnits = Math.max(0, bucket.unknownUnits - units)
  bucket.filledAtMs = Math.max(bucket.filledAtMs, nowMs)
}
