/**
 * Defines the target size of a deployment, assumptions about values that it does
 * not specify, quantities derived from both, and the limits.
 *
 * @module
 */
import { CONFIG_FANOUT } from 'bendfall-core'

const MS_PER_SECOND = 1000
const SECONDS_PER_DAY = 86_400

/** Target size of a deployment, as required by the users. */
export const SIZE = {
  nodes: 840,
  replicas: 12_000,
  regions: 7,
  availabilityZones: 24,
  clients: 660,
  models: 10,
  requestsPerSecond: 23_000,
  tokensPerSecond: 11_000_000,
  kvBytesPerSecond: 5e12,
  firstOutputMs: 1_100,
  stepMs: 30,
  changesPerDay: 15_000,
  failuresPerDay: 130,
  restartsPerDay: 1_900
} as const

/** Values that the users' requirements leave open. Change them and run the command again to see their effect. */
export const ASSUMED = {
  /** Half of the pools of each model are prefill pools, the other half decode pools. */
  poolsPerModel: 2,
  /** KV cache of one token; together with the given transfer rate it determines the mean prompt length. */
  kvBytesPerToken: 100_000,
  charsPerToken: 4,
  /** Number of hashes, of prefixes of increasing length, that a request with a mean prompt contains. */
  prefixHashes: 8,
  /** Fraction of the replicas whose pool differs from the one in the instance list. */
  assignedShare: 0.1,
  /** Fraction of the requests whose prefill takes so long that their lease is renewed by request id: the late ones. */
  renewedShare: 0.05,
  /** Fraction of the requests with an idempotency key. */
  keyedShare: 1,
  bytesPerOutputToken: 6
} as const

/** Quantities derived from {@link SIZE} and {@link ASSUMED}. */
export const DERIVED = {
  instances: SIZE.nodes + SIZE.replicas,
  pools: SIZE.models * ASSUMED.poolsPerModel,
  replicasPerPool: SIZE.replicas / (SIZE.models * ASSUMED.poolsPerModel),
  decodeReplicas: SIZE.replicas / ASSUMED.poolsPerModel,
  requestsPerNode: SIZE.requestsPerSecond / SIZE.nodes,
  tokensPerNode: SIZE.tokensPerSecond / SIZE.nodes,
  tokensPerRequest: SIZE.tokensPerSecond / SIZE.requestsPerSecond,
  promptTokens: Math.round(SIZE.kvBytesPerSecond / SIZE.requestsPerSecond / ASSUMED.kvBytesPerToken),
  changesPerSecond: SIZE.changesPerDay / SECONDS_PER_DAY,
  instanceChangesPerSecond: 2 * (SIZE.failuresPerDay + SIZE.restartsPerDay) / SECONDS_PER_DAY,
  /** Time from the arrival of a request to its last token. */
  openSeconds: (SIZE.firstOutputMs + SIZE.tokensPerSecond / SIZE.requestsPerSecond * SIZE.stepMs) / MS_PER_SECOND
} as const

/** Number of open requests at one entry at peak load. */
export const OPEN_PER_NODE = DERIVED.requestsPerNode * DERIVED.openSeconds

/** Number of open requests at one decode sidecar at peak load. */
export const OPEN_PER_DECODE = SIZE.requestsPerSecond * DERIVED.openSeconds / DERIVED.decodeReplicas

/**
 * Estimates how many bins are occupied when items are distributed over them at
 * random.
 *
 * @param items - number of items
 * @param bins - number of bins
 * @returns expected number of bins with at least one item
 */
export function expectedOccupiedBins (items: number, bins: number): number {
  return bins * (1 - Math.exp(-items / bins))
}

/** Distribution tree of the configuration, seen from a process that has children. */
export const TREE = {
  /** Mean duration of a long poll at the parent that returns no change. */
  pullSeconds: 15,
  /** The parent and the children. */
  neighbours: 1 + CONFIG_FANOUT
} as const

/** Limits for the control traffic of a node, and for the load of the key-value service. */
export const LIMITS = {
  /** Fraction of a core. */
  cpu: 0.023,
  /** Bytes. */
  memory: 256e6,
  /** Bytes per second, sum of both directions. */
  traffic: 5_000,
  /** Calls per second at the key-value service; a long-polling watch counts as one. */
  reads: 2_000,
  /** Calls per second; the users' requirement is "several hundred". */
  writes: 300
} as const
