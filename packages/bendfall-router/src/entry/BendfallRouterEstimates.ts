/**
 * Estimates of a replica's response time and failure rate. Their age counts: a replica that is avoided
 * gives no new samples, so an old estimate must not keep it avoided.
 *
 * @module
 */
import type { ReplicaView } from './BendfallRouterState.js'

/** Weight of the newest sample: about the last ten responses count. */
const SAMPLE_WEIGHT = 0.1

/** Age from which a response time is stale. */
const STALE_AFTER_MS = 1_000

/** Time without a sample after which a failure rate counts half; each try of a failing replica may cost a caller the response. */
const FAILURE_HALF_LIFE_MS = 10_000

/** Failure rate from which a replica is not probed; its rate has to age first. */
const MAX_PROBED_FAILURE_SHARE = 0.1

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
  view.latencyMs = previousMs + weight * (Math.min(sampleMs, MAX_SAMPLE_RATIO * previousMs) - previousMs)
  view.latencyAtMs = nowMs
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

function isStale ({ latencyAtMs }: ReplicaView, nowMs: number): boolean {
  return nowMs - latencyAtMs >= STALE_AFTER_MS
}

function meanLatencyMs ({ latencyMs }: ReplicaView): number {
  return latencyMs === 0 ? INITIAL_LATENCY_MS : latencyMs
}
