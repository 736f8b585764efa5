/**
 * Measures the cost of the sidecar's reducer, and of the idempotency keys that a
 * home stores.
 *
 * @module
 */
import type { KeyClaimAsk } from 'bendfall-core'
import { FULL_CONFIG, createConfig, createDrivenReducer, effectOf, modelName, numbers, poolName } from './BendfallFakesCapacityFleet.js'
import type { DrivenReducer } from './BendfallFakesCapacityFleet.js'
import { pointsAt, retainedBytes, timeUs } from './BendfallFakesCapacityMeter.js'
import type { SlopeCase } from './BendfallFakesCapacityMeter.js'
import { ASSUMED, DERIVED } from './BendfallFakesCapacitySize.js'

const REQUEST_COUNTS = [500, 1_000, 2_000, 4_000]
const TOKEN_COUNTS = [5_000, 10_000, 20_000]
const HELD_COUNTS = [50, 100, 200, 400]
const RENEWAL_COUNTS = [500, 1_000, 2_000, 4_000]
const LEASES_PER_RENEWAL = 2
const KEY_COUNTS = [1_000, 2_000, 4_000, 8_000]
const RESPONSE_BYTES = [500, 1_000, 2_000, 4_000]
const KEYS_WITH_RESPONSES = 1_000
const OPEN_REQUESTS = 59
const KV_BYTES = 217e6
const TOTAL_KV_BYTES = 1e15
const SLOTS = 16
const FAR_FUTURE_MS = 1e12
const POOL = poolName(1)
const MODEL = modelName(0)
const ENTRY_ID = 'i-entry'

function createReadySidecar (): DrivenReducer {
  const driven = createDrivenReducer('sidecar', POOL)
  driven.send({ type: 'config_learned', atMs: 0, config: createConfig(1, FULL_CONFIG) })
  driven.send({ type: 'engine_order_ended', atMs: 0, fencingToken: 1, result: { type: 'done' } })
  driven.send({ type: 'engine_reported', atMs: 0, report: { usedKvBytes: 0, totalKvBytes: TOTAL_KV_BYTES, stepMs: 30, prefillTokensPerSecond: 10_000 } })
  return driven
}

function idOf (index: number): string {
  return `00000000-0000-4000-8000-${index.toString(16).padStart(12, '0')}`
}

function startDecode (driven: DrivenReducer, requestId: string): void {
  const shared = { requestId, attempt: 1, entryId: ENTRY_ID, model: MODEL, trafficClass: 'interactive', maxOutputTokens: 1_000 } as const
  const { reply } = effectOf(driven.send({ type: 'reserve_asked', atMs: 1, ask: { ...shared, entryIncarnation: ENTRY_ID, clientId: 'client-1', kvBytes: KV_BYTES, neededInMs: 100, maxReadyInMs: 1_000 } }), 'reply_reserve')
  if (reply.type !== 'granted') throw new Error(`unexpected reply to a reservation: ${reply.type}`)
  driven.send({ type: 'decode_asked', atMs: 1, ask: { ...shared, fencingToken: reply.fencingToken, handle: requestId, exportUrl: 'http://10.1.2.3:8000/kv', kvBytes: KV_BYTES, prompt: 'prompt', resumeTokens: [] } })
  driven.send({ type: 'engine_import_ended', atMs: 1, requestId, attempt: 1, result: { type: 'done' } })
}

function runRequest (driven: DrivenReducer, requestId: string): void {
  startDecode(driven, requestId)
  driven.send({ type: 'engine_tokens', atMs: 2, requestId, attempt: 1, index: 0, tokens: ['token '] })
  driven.send({ type: 'engine_decode_ended', atMs: 3, requestId, attempt: 1, result: { type: 'finished', tokenCount: 1 } })
}

function openRequests (driven: DrivenReducer, count: number): readonly string[] {
  const requestIds = numbers(count).map(idOf)
  for (const requestId of requestIds) startDecode(driven, requestId)
  return requestIds
}

function requestsUs (count: number): number {
  return timeUs(() => {
    const driven = createReadySidecar()
    openRequests(driven, OPEN_REQUESTS)
    return () => { for (let index = 0; index < count; index++) runRequest(driven, idOf(OPEN_REQUESTS + index)) }
  })
}

function tokensUs (count: number): number {
  return timeUs(() => {
    const driven = createReadySidecar()
    const open = openRequests(driven, OPEN_REQUESTS)
    return () => {
      for (let iteration = 0; iteration < count; iteration++) {
        driven.send({ type: 'engine_tokens', atMs: 2, requestId: open[iteration % OPEN_REQUESTS], attempt: 1, index: Math.floor(iteration / OPEN_REQUESTS), tokens: ['token '] })
      }
    }
  })
}

function heldBytes (count: number): number {
  return retainedBytes(() => {
    const driven = createReadySidecar()
    openRequests(driven, count)
    return driven
  })
}

function renewUs (count: number): number {
  const driven = createReadySidecar()
  const requestIds = openRequests(driven, OPEN_REQUESTS).slice(0, LEASES_PER_RENEWAL)
  return timeUs(() => () => {
    for (let iteration = 0; iteration < count; iteration++) driven.send({ type: 'leases_renewed', atMs: 2, entryId: ENTRY_ID, requestIds })
  })
}

function heartbeatUs (count: number): number {
  const driven = createReadySidecar()
  openRequests(driven, OPEN_REQUESTS)
  const name = { connectionId: '1', entryIncarnation: ENTRY_ID }
  driven.send({ type: 'entry_connected', atMs: 2, ...name })
  return timeUs(() => () => {
    for (let iteration = 0; iteration < count; iteration++) driven.send({ type: 'entry_heartbeat', atMs: 2, ...name })
  })
}

function createHome (): DrivenReducer {
  const driven = createReadySidecar()
  const slots = numbers(SLOTS).map((slot) => ({ slot, epoch: 3, sinceWallMs: 0 }))
  driven.send({ type: 'home_lease_changed', atMs: 1, pool: POOL, slots, holders: [], validUntilMs: FAR_FUTURE_MS, wallMs: 1 })
  return driven
}

function createClaim (index: number): KeyClaimAsk {
  return { requestId: idOf(index), entryId: ENTRY_ID, pool: POOL, idempotencyKey: `018f0000-${idOf(index)}`, keyIssuedAtMs: 1, bodyDigest: `digest-${index}`.padEnd(43, 'x'), maxWaitMs: 10_000 }
}

function claimAndSettleKeys (driven: DrivenReducer, count: number, responseBytes: number): void {
  for (let index = 0; index < count; index++) {
    const ask = createClaim(index)
    driven.send({ type: 'key_claim_asked', atMs: 2, ask })
    const result = { type: 'answered', body: new Uint8Array(responseBytes) } as const
    driven.send({ type: 'key_settled', atMs: 3, requestId: ask.requestId, pool: POOL, idempotencyKey: ask.idempotencyKey, result })
  }
}

function keyBytes (count: number, responseBytes: number): number {
  return retainedBytes(() => {
    const driven = createHome()
    claimAndSettleKeys(driven, count, responseBytes)
    return driven
  })
}

function keysUs (count: number): number {
  return timeUs(() => {
    const driven = createHome()
    return () => claimAndSettleKeys(driven, count, Math.round(DERIVED.tokensPerRequest * ASSUMED.bytesPerOutputToken))
  })
}

/** Measurements of the sidecar's reducer. */
export const SIDECAR_SLOPES = {
  requestUs: { name: 'decode through the sidecar\'s reducer', unit: 'µs', per: 'request', measure: () => pointsAt(REQUEST_COUNTS, requestsUs) },
  tokenUs: { name: 'token batch through the sidecar\'s reducer', unit: 'µs', per: 'batch', measure: () => pointsAt(TOKEN_COUNTS, tokensUs) },
  heldBytes: { name: 'reservation at a sidecar, without prompt', unit: 'B', per: 'request', measure: () => pointsAt(HELD_COUNTS, heldBytes) },
  heartbeatUs: { name: 'heartbeat at a sidecar', unit: 'µs', per: 'heartbeat', measure: () => pointsAt(RENEWAL_COUNTS, heartbeatUs) },
  renewUs: { name: 'renewal of two leases at a sidecar', unit: 'µs', per: 'renewal', measure: () => pointsAt(RENEWAL_COUNTS, renewUs) }
} satisfies Readonly<Record<string, SlopeCase>>

/** Measurements of the idempotency keys that a home stores. */
export const HOME_SLOPES = {
  keyBytes: { name: 'settled key at its home, without response', unit: 'B', per: 'key', measure: () => pointsAt(KEY_COUNTS, (count) => keyBytes(count, 0)) },
  responseBytes: { name: 'response stored with a key', unit: 'B', per: 'byte', measure: () => pointsAt(RESPONSE_BYTES, (bytes) => keyBytes(KEYS_WITH_RESPONSES, bytes) / KEYS_WITH_RESPONSES) },
  keyUs: { name: 'claim and settlement of a key at its home', unit: 'µs', per: 'key', measure: () => pointsAt(KEY_COUNTS, keysUs) }
} satisfies Readonly<Record<string, SlopeCase>>
