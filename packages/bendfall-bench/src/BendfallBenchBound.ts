/**
 * The best that any policy could do: an upper bound of the requests served,
 * from the capacities of the pools alone.
 *
 * For each resource the requests that need least of it are served first, until
 * it is used up; no policy serves more than the scarcest resource allows.
 * Waiting, placement and messages cost nothing here, so that the bound can't
 * be reached entirely.
 *
 * @module
 */
import { LOCAL_LINK_BYTES_PER_SECOND, PREFIX_BLOCK_TOKENS, REMOTE_LINK_BYTES_PER_SECOND } from './BendfallBenchDeployment.js'
import type { Deployment, EngineProfile } from './BendfallBenchDeployment.js'
import { createArrivals } from './BendfallBenchWorkload.js'
import type { LanguageArrival } from './BendfallBenchWorkload.js'

/** What a request needs at least, or what a deployment has. */
export interface Resources {
  /** Time of prefill engines. */
  readonly prefillSeconds: number
  /** Time of decode engines: memory and steps together. */
  readonly decodeSeconds: number
  /** Bytes over links. */
  readonly linkBytes: number
}

/** Requests that can be served at most. */
export interface Bound {
  /** Any choice of requests. */
  readonly cheapestFirst: number
  /** Requests in the mix in which they were offered. */
  readonly asOffered: number
}

const RESOURCE_NAMES = ['prefillSeconds', 'decodeSeconds', 'linkBytes'] as const
const SAMPLE_SEED = 0
const SAMPLE_PER_SECOND = 1
const SAMPLE_MS = 6_000_000

/**
 * Computes what each request needs at least. A block of a prompt is computed
 * once by whoever brings it first, and then reused by all.
 *
 * @param arrivals - all language requests of a run, in the order of arrival
 * @param engine - the engines
 * @returns the needs, in the same order
 */
export function computeNeeds (arrivals: readonly LanguageArrival[], engine: EngineProfile): Resources[] {
  const seen = new Set<string>()
  return arrivals.map((arrival) => {
    const { promptTokens, prefixHashes } = arrival.request
    const hits = prefixHashes.findLastIndex((hash) => seen.has(hash)) + 1
    for (const hash of prefixHashes) seen.add(hash)
    const cachedTokens = Math.min(hits * PREFIX_BLOCK_TOKENS, promptTokens - 1)
    return {
      prefillSeconds: (promptTokens - cachedTokens) / engine.prefillTokensPerSecond,
      decodeSeconds: decodeSeconds(arrival, engine),
      linkBytes: promptTokens * engine.kvBytesPerToken
    }
  })
}

/**
 * The time of a decode engine that a request uses up. While an engine with
 * memory M steps a batch of b requests with memory m1 + .. + mb <= M, a step
 * takes base + b * slope. Charging each request (base * mi / M + slope) a step
 * charges at most the time of the step, whatever the batch.
 */
function decodeSeconds (arrival: LanguageArrival, engine: EngineProfile): number {
  const { promptTokens, maxOutputTokens } = arrival.request
  const memoryShare = (promptTokens + maxOutputTokens) * engine.kvBytesPerToken / engine.decodeKvBytes
  return arrival.outputTokens * (engine.stepBaseMs * memoryShare + engine.stepPerRequestMs) / 1000
}

/**
 * Computes what a deployment has for a stretch of time.
 *
 * @param deployment - the deployment
 * @param seconds - length of the stretch
 * @param lostDecodeSeconds - time of decode engines that a fault takes away
 * @returns the capacities
 */
export function computeCapacity (deployment: Deployment, seconds: number, lostDecodeSeconds = 0): Resources {
  const zones = deployment.availabilityZones.length
  const zonePairs = zones * (zones - 1) / 2
  const linkBytesPerSecond = zones * LOCAL_LINK_BYTES_PER_SECOND + zonePairs * REMOTE_LINK_BYTES_PER_SECOND
  return {
    prefillSeconds: deployment.prefillReplicas * seconds,
    decodeSeconds: deployment.decodeReplicas * seconds - lostDecodeSeconds,
    linkBytes: linkBytesPerSecond * seconds
  }
}

/**
 * Computes the bound.
 *
 * @param needs - what each request needs
 * @param capacity - what there is
 * @returns the bound, in requests
 */
export function computeBound (needs: readonly Resources[], capacity: Resources): Bound {
  const cheapest = RESOURCE_NAMES.map((name) => countCheapest(needs.map((need) => need[name]), capacity[name]))
  const shares = RESOURCE_NAMES.map((name) => capacity[name] / sum(needs.map((need) => need[name])))
  return {
    cheapestFirst: Math.min(...cheapest),
    asOffered: needs.length * Math.min(1, ...shares)
  }
}

function countCheapest (costs: readonly number[], capacity: number): number {
  let left = capacity
  let count = 0
  for (const cost of [...costs].sort((one, other) => one - other)) {
    if (cost > left) return count + left / cost
    left -= cost
    count++
  }
  return count
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/**
 * Computes the rate of language requests at which the scarcest resource of a
 * deployment is used up: load 1.0.
 *
 * @param deployment - the deployment
 * @returns requests a second, in the mix as offered
 */
export function computeCapacityRate (deployment: Deployment): number {
  const arrivals = createArrivals({ deployment, seed: SAMPLE_SEED, languagePerSecond: SAMPLE_PER_SECOND, callsPerSecond: SAMPLE_PER_SECOND, endMs: SAMPLE_MS })
  const language = arrivals.filter((arrival) => arrival.kind === 'language')
  const needs = computeNeeds(language, deployment.engine)
  const perSecond = computeCapacity(deployment, 1)
  const rates = RESOURCE_NAMES.map((name) => perSecond[name] * needs.length / sum(needs.map((need) => need[name])))
  return Math.min(...rates)
}
