/**
 * Measures the cost of the entry's reducer: requests, tokens, memory of open
 * requests, and lease renewals.
 *
 * @module
 */
import type { Effect, LanguageRequest } from 'bendfall-core'
import { FULL_CONFIG, LOAD, createConfig, createInstances, createDrivenReducer, effectOf, flatText, modelName, numbers } from './BendfallFakesCapacityFleet.js'
import type { DrivenReducer } from './BendfallFakesCapacityFleet.js'
import { pointsAt, retainedBytes, timeUs } from './BendfallFakesCapacityMeter.js'
import type { SlopeCase } from './BendfallFakesCapacityMeter.js'
import { ASSUMED, DERIVED, SIZE } from './BendfallFakesCapacitySize.js'

const REQUEST_COUNTS = [100, 200, 400]
const TOKEN_COUNTS = [4_000, 8_000, 16_000]
const SENT_TOKEN_COUNTS = [50, 100, 200]
const HELD_COUNTS = [200, 400, 800]
const PROMPT_CHARS = [2_000, 4_000, 8_000, 16_000]
const PREFIX_COUNTS = [1_500, 3_000, 6_000]
const POOL_SIZES = [4, 8, 16, 24]
const OPEN_REQUESTS = 400
const TIMER_ITERATIONS = 50
const REQUESTS_PER_RUN = 100
const FLEET = DERIVED.pools * 24
const SHORT_PROMPT = 16
const GRANTED = { type: 'granted', readyInMs: 0, leaseMs: 10_000, fencingToken: 77, load: LOAD } as const

/**
 * Creates a request for a chat completion.
 *
 * @param index - number from which the ids and hashes of the request are derived
 * @param part - fields that replace the defaults
 * @returns the request
 */
export function languageRequest (index: number, part: Partial<LanguageRequest> = {}): LanguageRequest {
  return {
    requestId: `00000000-0000-4000-8000-${index.toString(16).padStart(12, '0')}`,
    clientId: `client-${index % SIZE.clients}`,
    model: modelName(index % SIZE.models),
    trafficClass: 'interactive',
    prompt: flatText(SHORT_PROMPT, index),
    promptTokens: DERIVED.promptTokens,
    maxOutputTokens: 1_000,
    prefixHashes: numbers(ASSUMED.prefixHashes).map((block) => `${(index * 64 + block).toString(16).padStart(16, '0')}`),
    firstOutputMs: 60_000,
    idempotencyKey: '',
    keyIssuedAtMs: 0,
    bodyDigest: 'x'.repeat(43),
    ...part
  }
}

function createReadyEntry (fleet = FLEET): DrivenReducer {
  const driven = createDrivenReducer('entry')
  driven.send({ type: 'config_learned', atMs: 0, config: createConfig(1, FULL_CONFIG) })
  const instances = createInstances(fleet)
  driven.send({ type: 'instances_listed', atMs: 0, instances })
  for (const { instanceId } of instances) driven.send({ type: 'load_seen', atMs: 0, instanceId, load: LOAD })
  return driven
}

interface Decoding {
  readonly requestId: string
  readonly decodeId: string
}

function startDecode (driven: DrivenReducer, request: LanguageRequest, atMs = 1): Decoding {
  const { requestId } = request
  const reserve = effectOf(driven.send({ type: 'language_request_arrived', atMs, request }), 'send_reserve')
  const granted = driven.send({ type: 'reserve_replied', atMs, requestId, attempt: 1, instanceId: reserve.instanceId, reply: GRANTED })
  const prefill = effectOf(awaitPrefillStart(driven, granted, atMs), 'send_prefill')
  driven.send({ type: 'prefill_replied', atMs, requestId, attempt: 1, instanceId: prefill.instanceId, reply: { type: 'done', handle: requestId, exportUrl: 'http://10.1.2.3:8000/kv', kvBytes: 1, cachedTokens: 0, evictsInMs: 800, load: LOAD } })
  return { requestId, decodeId: reserve.instanceId }
}

function awaitPrefillStart (driven: DrivenReducer, granted: readonly Effect[], atMs: number): readonly Effect[] {
  if (granted.some(({ type }) => type === 'send_prefill')) return granted
  const timer = granted.flatMap((effect) => effect.type === 'set_timer' && effect.timer.kind === 'prefill_start' ? [effect] : [])[0]
  return driven.send({ type: 'timer_fired', atMs: Math.max(atMs, timer.atMs), timer: timer.timer })
}

function runRequest (driven: DrivenReducer, request: LanguageRequest): void {
  const { requestId, decodeId } = startDecode(driven, request)
  driven.send({ type: 'tokens_arrived', atMs: 2, requestId, attempt: 1, instanceId: decodeId, index: 0, tokens: ['token '] })
  driven.send({ type: 'decode_ended', atMs: 3, requestId, attempt: 1, instanceId: decodeId, end: { type: 'finished', tokenCount: 1, load: LOAD } })
}

function openRequests (driven: DrivenReducer, count: number, promptChars = SHORT_PROMPT): readonly Decoding[] {
  return numbers(count).map((index) => startDecode(driven, languageRequest(index, { prompt: flatText(promptChars, index) })))
}

function requestsUs (count: number, fleet = FLEET): number {
  return timeUs(() => {
    const driven = createReadyEntry(fleet)
    openRequests(driven, OPEN_REQUESTS)
    const requests = numbers(count).map((index) => languageRequest(OPEN_REQUESTS + index))
    return () => { for (const request of requests) runRequest(driven, request) }
  })
}

function tokensUs (count: number): number {
  return timeUs(() => {
    const driven = createReadyEntry()
    const open = openRequests(driven, OPEN_REQUESTS)
    return () => {
      for (let iteration = 0; iteration < count; iteration++) {
        const { requestId, decodeId } = open[iteration % OPEN_REQUESTS]
        driven.send({ type: 'tokens_arrived', atMs: 2, requestId, attempt: 1, instanceId: decodeId, index: Math.floor(iteration / OPEN_REQUESTS), tokens: ['token '] })
      }
    }
  })
}

function tokenBytes (count: number): number {
  return retainedBytes(() => {
    const driven = createReadyEntry()
    for (const { requestId, decodeId } of openRequests(driven, OPEN_REQUESTS)) {
      for (let index = 0; index < count; index++) {
        driven.send({ type: 'tokens_arrived', atMs: 2, requestId, attempt: 1, instanceId: decodeId, index, tokens: [flatText(ASSUMED.bytesPerOutputToken, index)] })
      }
    }
    return driven
  }) / OPEN_REQUESTS
}

function openBytes (count: number, promptChars = SHORT_PROMPT): number {
  return retainedBytes(() => {
    const driven = createReadyEntry()
    openRequests(driven, count, promptChars)
    return driven
  })
}

function prefixBytes (count: number): number {
  return retainedBytes(() => {
    const driven = createReadyEntry()
    for (let index = 0; index < count / ASSUMED.prefixHashes; index++) runRequest(driven, languageRequest(index))
    return driven
  })
}

function renewalUs (count: number): number {
  const driven = createReadyEntry()
  openRequests(driven, count)
  return timeUs(() => () => {
    for (let iteration = 0; iteration < TIMER_ITERATIONS; iteration++) driven.send({ type: 'timer_fired', atMs: 4_001, timer: { kind: 'lease_renewal', id: 'all' } })
  }) / TIMER_ITERATIONS
}

/** Measurements of the entry's reducer. */
export const ENTRY_SLOPES = {
  requestUs: { name: 'request through the entry\'s reducer', unit: 'µs', per: 'request', measure: () => pointsAt(REQUEST_COUNTS, requestsUs) },
  candidateUs: { name: 'decision, by replicas of the pool in the subset', unit: 'µs', per: 'candidate', measure: () => pointsAt(POOL_SIZES, (size) => requestsUs(REQUESTS_PER_RUN, size * DERIVED.pools) / REQUESTS_PER_RUN) },
  tokenUs: { name: 'token batch through the entry\'s reducer', unit: 'µs', per: 'batch', measure: () => pointsAt(TOKEN_COUNTS, tokensUs) },
  openBytes: { name: 'open request at an entry, without prompt', unit: 'B', per: 'request', measure: () => pointsAt(HELD_COUNTS, openBytes) },
  promptBytes: { name: 'prompt of an open request', unit: 'B', per: 'character', measure: () => pointsAt(PROMPT_CHARS, (chars) => openBytes(OPEN_REQUESTS, chars) / OPEN_REQUESTS) },
  tokenBytes: { name: 'sent token, kept for a resume', unit: 'B', per: 'token', measure: () => pointsAt(SENT_TOKEN_COUNTS, tokenBytes) },
  prefixBytes: { name: 'location of a prompt prefix', unit: 'B', per: 'prefix', measure: () => pointsAt(PREFIX_COUNTS, prefixBytes) },
  renewalUs: { name: 'heartbeat timer at an entry', unit: 'µs', per: 'open request', measure: () => pointsAt(HELD_COUNTS, renewalUs) }
} satisfies Readonly<Record<string, SlopeCase>>

/** Constants of the reducer that are only visible in its behavior. */
export interface EntryConstants {
  /** Number of replicas of a pool that an entry uses. */
  readonly subsetSize: number
  /** Interval between lease renewals. */
  readonly renewalMs: number
}

/**
 * Determines constants of the entry from its behavior at the target size.
 *
 * @returns the constants in effect
 */
export function readEntryConstants (): EntryConstants {
  const driven = createReadyEntry(SIZE.replicas)
  const subsets = driven.getState().entry?.subsets.valueSeq().toArray() ?? []
  const request = languageRequest(1)
  const arrived = driven.send({ type: 'language_request_arrived', atMs: 0, request })
  const reserve = effectOf(arrived, 'send_reserve')
  const granted = driven.send({ type: 'reserve_replied', atMs: 0, requestId: request.requestId, attempt: 1, instanceId: reserve.instanceId, reply: GRANTED })
  const renewal = [...arrived, ...granted].flatMap((effect) => effect.type === 'set_timer' && effect.timer.kind === 'lease_renewal' ? [effect.atMs] : [])
  return { subsetSize: Math.max(...subsets.map((ids) => ids.length)), renewalMs: renewal[0] }
}
