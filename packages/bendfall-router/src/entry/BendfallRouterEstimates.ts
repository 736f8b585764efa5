/**
 * Estimates of a replica's response time and failure rate. Their age counts: a replica that is avoided
 * gives no new samples, so an old estimate must not keep it avoided.
 *
 * @module
 */
import type { ReplicaView } from './BendfallRouterState.js'

/** Weight of the newest sample: about the last ten responses count. */
const SAMPLE_WEIGHT = 0.1

/** Weight of the newest sample where a burst must show within some answers. */
const RECENT_WEIGHT = 0.3

/** Weight of the newest mean in the response time without a queue where it is higher. */
const IDLE_LATENCY_WEIGHT = 0.01

/** Ratio of the mean response time to that without a queue from which a replica has one; the lowest mean of a service with 15 % long calls is 0.6 of its mean. */
const QUEUED_LATENCY_RATIO = 2

/** Ratio up to which it has none. */
const IDLE_LATENCY_RATIO = 1.3

/** Samples from which that time is known; the first one can be a long call. */
const MIN_IDLE_SAMPLES = 15

/** Age from which a response time is stale. */
const STALE_AFTER_MS = 1_000

/** Time without a sample after which a failure rate counts half; each try of a failing replica may cost a caller the response. */
const FAILURE_HALF_LIFE_MS = 10_000

/** Failure rate from which a replica is not probed; its rate has to age first. */
const MAX_PROBED_FAILURE_SHARE = 0.1

/** Deviations that are added to the mean for a response time that few calls exceed: 4 % of those of a service with 15 % long calls. */
const HIGH_LATENCY_DEVIATIONS = 3

/** Assumed response time before the first sample. */
const INITIAL_LATENCY_MS = 40

/** Maximum ratio of a sample to the estimate, so that a pause of one side does not decide. */
const MAX_SAMPLE_RATIO = 3

/** Maximum failure rate that counts, so that the expected latency stays finite. */
const MAX_FAILURE_SHARE = 0.9

/**
 * Adds the response time of a request to the estimate; replaces one that is stale or only assumed.
 *
 * @param view - changed in place
 * @param sampleMs - time from the send to the end of the response
 * @param nowMs - current time
 */
export function recordLatency (view: ReplicaView, sampleMs: number, nowMs: number): void {
  const previousMs = meanLatencyMs(view)
  const isReplaced = view.latencyMs === 0 || isStale(view, nowMs)
  const weight = isReplaced ? 1 : SAMPLE_WEIGHT
  const differenceMs = Math.min(sampleMs, MAX_SAMPLE_RATIO * previousMs) - previousMs
  view.latencyMs = previousMs + weight * differenceMs
  if (!isReplaced) view.latencyDeviationMs += weight * (Math.abs(differenceMs) - view.latencyDeviationMs)
  view.latencyAtMs = nowMs
  view.recentLatencyMs = isReplaced ? view.latencyMs : view.recentLatencyMs + RECENT_WEIGHT * (Math.min(sampleMs, MAX_SAMPLE_RATIO * previousMs) - view.recentLatencyMs)
  // While a limit exists, the replica has a queue, and a higher mean says nothing about the time without one.
  const risenMs = view.idleLatencyMs + (view.plainLimit === undefined ? IDLE_LATENCY_WEIGHT * (view.latencyMs - view.idleLatencyMs) : 0)
  if (view.plainLimit === undefined) view.idleSamples += 1
  view.idleLatencyMs = view.idleSamples <= MIN_IDLE_SAMPLES ? view.latencyMs : Math.min(view.latencyMs, risenMs)
}

/**
 * Adds the outcome of a request to the failure rate.
 *
 * @param view - changed in place
 * @param isFailure - whether the request failed
 * @param nowMs - current time
 */
export function recordOutcome (view: ReplicaView, isFailure: boolean, nowMs: number): void {
  const previous = failureShareOf(view, nowMs)
  view.failureShare = previous + SAMPLE_WEIGHT * ((isFailure ? 1 : 0) - previous)
  view.outcomeAtMs = nowMs
}

/**
 * Returns the failure rate of a replica.
 *
 * @param view - replica to inspect
 * @param nowMs - current time
 * @returns share of failed requests, 0 to 1
 */
export function failureShareOf ({ failureShare, outcomeAtMs }: ReplicaView, nowMs: number): number {
  return failureShare === 0 ? 0 : failureShare * 0.5 ** ((nowMs - outcomeAtMs) / FAILURE_HALF_LIFE_MS)
}

/**
 * Returns the latency that a request can expect at a replica. It grows with the queue length, and with
 * the failure rate, since each failure costs another attempt.
 *
 * @param view - replica to inspect
 * @param nowMs - current time
 * @returns milliseconds
 */
export function expectedLatencyMs (view: ReplicaView, nowMs: number): number {
  const successShare = 1 - Math.min(MAX_FAILURE_SHARE, failureShareOf(view, nowMs))
  return meanLatencyMs(view) * (1 + view.inFlight / Math.max(1, view.replica.slots)) / successShare ** 2
}

/**
 * Returns whether a request may probe a replica, to renew an estimate that is stale. One request at a
 * time does so.
 *
 * @param view - replica to inspect
 * @param nowMs - current time
 * @returns true if the replica has answered nothing of late and is not known to fail
 */
export function isProbeDue (view: ReplicaView, nowMs: number): boolean {
  return view.inFlight === 0 && isStale(view, nowMs) && failureShareOf(view, nowMs) < MAX_PROBED_FAILURE_SHARE
}

/**
 * Returns a response time that few calls at a replica exceed.
 *
 * @param view - replica to inspect
 * @returns milliseconds
 */
export function highLatencyMs (view: ReplicaView): number {
  return meanLatencyMs(view) + HIGH_LATENCY_DEVIATIONS * view.latencyDeviationMs
}

/**
 * Returns the response time from which a replica has a queue. Where too few of its answers are known,
 * the quickest other replica of the service is taken for a measure.
 *
 * @param view - replica to inspect
 * @param others - replicas of its service
 * @returns milliseconds; Infinity while it is not known
 */
export function queuedLatencyMs (view: ReplicaView, others: readonly ReplicaView[]): number {
  const known = isIdleLatencyKnown(view) ? [view] : others.filter(isIdleLatencyKnown)
  return QUEUED_LATENCY_RATIO * Math.min(...known.map(({ idleLatencyMs }) => idleLatencyMs))
}

function isIdleLatencyKnown ({ idleSamples }: ReplicaView): boolean {
  return idleSamples >= MIN_IDLE_SAMPLES
}

/**
 * Checks whether the last answers of a replica show that it has a queue.
 *
 * @param view - replica to inspect
 * @param others - replicas of its service
 * @returns false while the response time without a queue is not known
 */
export function hasQueue (view: ReplicaView, others: readonly ReplicaView[]): boolean {
  return view.recentLatencyMs > queuedLatencyMs(view, others)
}

/**
 * Checks whether the answers of a replica show that it has no queue.
 *
 * @param view - replica to inspect
 * @param others - replicas of its service
 * @returns true while the response time without a queue is not known
 */
export function isIdle (view: ReplicaView, others: readonly ReplicaView[]): boolean {
  return meanLatencyMs(view) * QUEUED_LATENCY_RATIO <= IDLE_LATENCY_RATIO * queuedLatencyMs(view, others)
}

function isStale ({ latencyAtMs }: ReplicaView, nowMs: number): boolean {
  return nowMs - latencyAtMs >= STALE_AFTER_MS
}

/**
 * Returns the mean response time of a replica.
 *
 * @param view - replica to inspect
 * @returns milliseconds; an assumed time before the first sample
 */
export function meanLatencyMs ({ latencyMs }: ReplicaView): number {
  return latencyMs === 0 ? INITIAL_LATENCY_MS : latencyMs
}
