/**
 * The two deployments of the brief as numbers. What the brief leaves open is a
 * named constant here, with its reason.
 *
 * @module
 */
import type { ClassTargets, TrafficClass } from 'bendfall-core'
import type { Range } from './BendfallBenchRandom.js'

/** What a model engine can do. */
export interface EngineProfile {
  readonly kvBytesPerToken: number
  readonly prefillTokensPerSecond: number
  /** Prefill is computed in chunks; a more urgent prompt goes between two. */
  readonly prefillChunkTokens: number
  readonly prefixCacheTokens: number
  /** Life of a prefill result that nobody fetches. */
  readonly resultLifeMs: number
  readonly decodeKvBytes: number
  /** One decode step takes `stepBaseMs + stepPerRequestMs * batch size`. */
  readonly stepBaseMs: number
  readonly stepPerRequestMs: number
}

/** One kind of language request. */
export interface RequestShape {
  readonly trafficClass: TrafficClass
  /** Share among the language requests. */
  readonly share: number
  /** Tokens of the prompt that no other request has. */
  readonly ownTokens: Range
  /** Probability that the prompt begins with a shared document. */
  readonly sharedProbability: number
  readonly maxOutputTokens: Range
}

/** One deployment with its traffic. */
export interface Deployment {
  readonly name: 'jadranka' | 'cadastre'
  readonly availabilityZones: readonly string[]
  readonly zoneDelayMs: number
  readonly model: string
  readonly prefillReplicas: number
  readonly decodeReplicas: number
  readonly servicePool: string
  readonly serviceReplicas: number
  readonly engine: EngineProfile
  readonly targets: Readonly<Record<TrafficClass, ClassTargets>>
  readonly shapes: readonly RequestShape[]
  readonly documentCount: number
  readonly documentTokens: Range
  /** Share of each client in the traffic. */
  readonly clientShares: Readonly<Record<string, number>>
  readonly callsPerSecond: number
  /** Share of the plain calls that may not be repeated. */
  readonly onceShare: number
}

/** One entry an availability zone: "a few thin entry instances". */
export const ENTRIES_PER_ZONE = 1
/** One way within an availability zone: two switches and a kernel on each side. */
export const LOCAL_DELAY_MS = 0.15
/** One way between caller and entry: "a few milliseconds away". */
export const CALLER_DELAY_MS = 3
/** Within an availability zone: two 100 Gb/s ports are shared by all transfers. */
export const LOCAL_LINK_BYTES_PER_SECOND = 25e9
/** Between two availability zones: half of one 100 Gb/s port is set aside. */
export const REMOTE_LINK_BYTES_PER_SECOND = 6e9
/** Tokens that one prefix hash stands for; engines hash in blocks. */
export const PREFIX_BLOCK_TOKENS = 1024
/** Popularity of documents falls with rank to this power, as on the web. */
export const DOCUMENT_SKEW = 0.8
/** Of the longest output that a caller asks for, the share really produced. */
export const OUTPUT_SHARE: Range = { from: 0.5, to: 1 }
/** Wall clock at the start of a run; holders of key ranges began long before. */
export const WALL_START_MS = 1_750_000_000_000
/** Calls that a plain service runs at once: one a core on a small instance. */
export const SERVICE_WORKERS = 8
/** Mean time of a plain call: a lookup in a database beside it. */
export const SERVICE_MEAN_MS = 25
/** Target for a plain call: a clerk notices a map that takes longer. */
export const CALL_ANSWER_MS = 400
/** Share of callers who leave at a random time while work is under way. */
export const LEAVER_SHARE = 0.03
/** A caller without output leaves after so many times the target. */
export const PATIENCE_FACTOR = 3
/** Share of refused callers who come back when told to. */
export const RETURN_SHARE = 0.25

/**
 * A model of the 70 billion class with grouped attention: 80 layers x 8 heads
 * x 128 values x 2 (key and value) x 2 bytes a token.
 */
const KV_BYTES_PER_TOKEN = 327_680

const ENGINE: EngineProfile = {
  kvBytesPerToken: KV_BYTES_PER_TOKEN,
  // 12,000 tokens take 1.3 s: nearly 50 decode steps, a long stretch of output.
  // Fast enough that decode memory, not prefill, is what fills up at peak.
  prefillTokensPerSecond: 9_000,
  prefillChunkTokens: 2_048,
  // 64 GB: holds a part of the shared documents, not all of them.
  prefixCacheTokens: 200_000,
  // "Eviction in under a second."
  resultLifeMs: 800,
  // Holds eight long requests: "only a small number of requests".
  decodeKvBytes: 32e9,
  // Reading the weights takes 16 ms; each request adds its own KV cache.
  stepBaseMs: 16,
  stepPerRequestMs: 1.5
}

// Interactive: the user watches. Summaries: "they will wait a little".
// Steps: 50 ms is 20 tokens a second, faster than people read.
const TARGETS = {
  interactive: { firstOutputMs: 1_000, stepMs: 50 },
  summary: { firstOutputMs: 10_000, stepMs: 50 }
} as const

/** Quotes for forwarders and hauliers; tenders, customs notes, lane histories. */
export const JADRANKA: Deployment = {
  name: 'jadranka',
  availabilityZones: ['split-hall-a', 'split-hall-b', 'zadar-hall'],
  // "Just under a millisecond apart one way."
  zoneDelayMs: 0.9,
  model: 'quote',
  prefillReplicas: 4,
  decodeReplicas: 4,
  servicePool: 'freight',
  serviceReplicas: 3,
  engine: ENGINE,
  targets: TARGETS,
  shapes: [
    // Long: a tender of 6,000 to 12,000 tokens and own notes.
    { trafficClass: 'summary', share: 0.4, ownTokens: { from: 1_500, to: 6_000 }, sharedProbability: 0.7, maxOutputTokens: { from: 300, to: 500 } },
    // Short: a customs note.
    { trafficClass: 'summary', share: 0.2, ownTokens: { from: 1_000, to: 4_000 }, sharedProbability: 0, maxOutputTokens: { from: 150, to: 300 } },
    // A dispatcher's question that is read as it is written.
    { trafficClass: 'interactive', share: 0.4, ownTokens: { from: 200, to: 800 }, sharedProbability: 0, maxOutputTokens: { from: 40, to: 100 } }
  ],
  documentCount: 40,
  documentTokens: { from: 6_000, to: 12_000 },
  clientShares: { adria: 4, bura: 3, galeb: 2, konoba: 1, maestral: 1, tramontana: 1 },
  callsPerSecond: 30,
  // Booking confirmations beside rate lookups.
  onceShare: 0.15
}

/** Summaries of registry extracts for notaries; tile and parcel lookups. */
export const CADASTRE: Deployment = {
  name: 'cadastre',
  availabilityZones: ['levis', 'sainte-foy', 'beauport'],
  // "Well under a millisecond apart one way."
  zoneDelayMs: 0.4,
  model: 'registry',
  prefillReplicas: 7,
  decodeReplicas: 6,
  servicePool: 'map-viewer',
  serviceReplicas: 3,
  engine: { ...ENGINE, decodeKvBytes: 36e9 },
  targets: TARGETS,
  shapes: [
    // Long registry extracts with the file of one lot.
    { trafficClass: 'summary', share: 0.5, ownTokens: { from: 3_000, to: 8_000 }, sharedProbability: 0.7, maxOutputTokens: { from: 300, to: 500 } },
    // A servitude reading.
    { trafficClass: 'summary', share: 0.2, ownTokens: { from: 1_500, to: 5_000 }, sharedProbability: 0, maxOutputTokens: { from: 150, to: 300 } },
    // A clerk's question at the counter.
    { trafficClass: 'interactive', share: 0.3, ownTokens: { from: 200, to: 800 }, sharedProbability: 0, maxOutputTokens: { from: 40, to: 100 } }
  ],
  documentCount: 60,
  documentTokens: { from: 8_000, to: 14_000 },
  clientShares: { abitibi: 3, beauce: 3, charlevoix: 2, estrie: 2, lanaudiere: 2, mauricie: 1, outaouais: 1, saguenay: 1 },
  callsPerSecond: 40,
  // Billed lookups beside tiles.
  onceShare: 0.1
}

/** All deployments, by name. */
export const DEPLOYMENTS = { jadranka: JADRANKA, cadastre: CADASTRE } as const

/** Name of a deployment. */
export type DeploymentName = keyof typeof DEPLOYMENTS
