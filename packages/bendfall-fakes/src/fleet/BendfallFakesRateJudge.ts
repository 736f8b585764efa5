/**
 * Checks whether a replica that advertises a request rate limit received more requests than the
 * platform allows, from the arrivals at the replica and the time at which each entry learned the limit.
 *
 * @module
 */
import type { AdvertisedLimit, FleetReplica } from './BendfallFakesFleetReplica.js'

/** A response that an entry forwarded to a caller; times are monotonic. */
export interface ForwardedResponse {
  readonly requestId: string
  readonly entry: string
  /** When the caller received the response head. */
  readonly answeredAtMs: number
  /** Replica that signed the response; absent if the entry generated it. */
  readonly replicaId?: string
}

/** Observations at one replica and its callers. */
export interface RateEvidence {
  readonly replica: Pick<FleetReplica, 'limits' | 'seen'>
  readonly replicaId: string
  readonly answers: readonly ForwardedResponse[]
  /** Returns whether an arrival counts; arrivals for which it returns false are ignored. */
  readonly isCounted?: (atMs: number, entry: string) => boolean
}

/** Arrivals in a window; the limit is exceeded if `over` is above 0. */
export interface RateWindow {
  readonly perS: number
  readonly atMs: number
  readonly arrived: number
  readonly over: number
}

/** Length of the sliding window in which arrivals are counted. */
export const RATE_WINDOW_MS = 4_000

/** Windows are checked from this time after the first entry learned the limit. */
const PROPAGATION_MS = 3_000

/** Arrivals from an entry count from this time after that entry learned the limit. */
const REACTION_MS = 500

const ALLOWED_FACTOR = 1.5
const ALLOWED_EXTRA_REQUESTS = 5

/**
 * Finds the window that exceeds its limit the most.
 *
 * @param evidence - observations at one replica
 * @returns the window; undefined when no limit was advertised for long enough
 */
export function findWorstWindow (evidence: RateEvidence): RateWindow | undefined {
  const windows = evidence.replica.limits.flatMap((limit) => windowsOf(evidence, limit))
  return windows.sort((one, other) => other.over - one.over)[0]
}

function windowsOf ({ answers, isCounted = () => true, replica, replicaId }: RateEvidence, { fromMs, perS, untilMs = Infinity }: AdvertisedLimit): RateWindow[] {
  const entryOf = new Map(answers.map(({ entry, requestId }) => [requestId, entry]))
  const learnedAtMs = new Map<string, number>()
  // A response that the replica sent before it advertised the limit may be forwarded later, so only
  // responses to requests that arrived while it was advertised show that an entry learned it.
  const idsWhileAdvertised = new Set(replica.seen.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs).map(({ requestId }) => requestId))
  for (const { answeredAtMs, entry, replicaId: from, requestId } of answers) {
    if (from === replicaId && idsWhileAdvertised.has(requestId)) learnedAtMs.set(entry, Math.min(answeredAtMs, learnedAtMs.get(entry) ?? Infinity))
  }
  const firstLearnedAtMs = Math.min(...learnedAtMs.values())
  const arrivals = replica.seen
    .map(({ atMs, requestId }) => ({ atMs, entry: entryOf.get(requestId) ?? '' }))
    .filter(({ atMs, entry }) => atMs >= (learnedAtMs.get(entry) ?? Infinity) + REACTION_MS && atMs < untilMs && isCounted(atMs, entry))
  const allowed = ALLOWED_FACTOR * perS * RATE_WINDOW_MS / 1_000 + ALLOWED_EXTRA_REQUESTS
  return arrivals.filter(({ atMs }) => atMs >= firstLearnedAtMs + PROPAGATION_MS).map(({ atMs }) => {
    const arrived = arrivals.filter((other) => other.atMs > atMs - RATE_WINDOW_MS && other.atMs <= atMs).length
    return { perS, atMs, arrived, over: Math.ceil(arrived - allowed) }
  })
}
