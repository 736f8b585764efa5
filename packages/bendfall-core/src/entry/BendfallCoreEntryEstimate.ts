/**
 * Estimates of the entry, from loads that lag.
 *
 * @module
 */
import type { State } from '../BendfallCoreState.js'
import type { AvailabilityZone, InstanceId, TrafficClass } from '../BendfallCoreTypes.js'
import type { Member } from '../members/BendfallCoreMembers.js'
import { transferRate, zoneOf, zoneTransferRate } from './BendfallCoreEntryLinks.js'
import { ASSUMED_HOP_MS, ASSUMED_PREFILL_TOKENS_PER_SECOND, LOAD_MEMORY_MS, PLANNED_SHARE } from './BendfallCoreEntryPolicy.js'
import type { LanguageState } from './BendfallCoreEntryState.js'
import { entryOf } from './BendfallCoreEntryUpdate.js'

const MS_PER_SECOND = 1000

/**
 * Tells the time that forecasts may fill: what is left until the output is
 * due, less a part that absorbs their error.
 *
 * @param language - the request
 * @param atMs - monotonic time
 * @returns milliseconds
 */
export function plannedMs (language: LanguageState, atMs: number): number {
  return Math.max(0, (language.outputDueAtMs - atMs) * PLANNED_SHARE - ASSUMED_HOP_MS)
}

/**
 * Estimates how long a prefill replica is busy with what goes before a new
 * request: for an interactive one, other interactive ones only.
 *
 * @param state - state of an entry
 * @param member - the replica
 * @param trafficClass - class of the new request
 * @param atMs - monotonic time
 * @returns milliseconds
 */
export function prefillQueueMs (state: State, member: Member, trafficClass: TrafficClass, atMs: number): number {
  const rate = prefillRate(member)
  const heardMs = heardTokens(member, trafficClass) / rate * MS_PER_SECOND
  const leftMs = Math.max(0, heardMs - (atMs - member.loadSeenAtMs))
  return leftMs + pendingTokens(state, member, trafficClass) / rate * MS_PER_SECOND
}

function heardTokens ({ load }: Member, trafficClass: TrafficClass): number {
  if (load === undefined) return 0
  return trafficClass === 'interactive' ? load.urgentPrefillTokens : load.queuedPrefillTokens
}

function pendingTokens (state: State, member: Member, trafficClass: TrafficClass): number {
  const pending = entryOf(state).pendingPrefills.get(member.record.instanceId)
  if (pending === undefined) return 0
  return trafficClass === 'interactive' ? pending.urgentTokens : pending.tokens
}

/**
 * Estimates the time to compute tokens at a prefill replica.
 *
 * @param member - the replica
 * @param tokens - tokens not in its cache
 * @returns milliseconds
 */
export function prefillComputeMs (member: Member, tokens: number): number {
  return tokens / prefillRate(member) * MS_PER_SECOND
}

function prefillRate (member: Member): number {
  const heard = member.load?.prefillTokensPerSecond ?? 0
  return heard > 0 ? heard : ASSUMED_PREFILL_TOKENS_PER_SECOND
}

/**
 * Estimates the time to move a KV cache between two instances.
 *
 * @param state - state of an entry
 * @param fromId - prefill instance
 * @param toId - decode instance
 * @param kvBytes - size of the cache
 * @param atMs - monotonic time
 * @returns milliseconds, both hops included
 */
export function transferMs (state: State, fromId: InstanceId, toId: InstanceId, kvBytes: number, atMs: number): number {
  return kvBytes / transferRate(state, fromId, toId, atMs) * MS_PER_SECOND + ASSUMED_HOP_MS
}

/**
 * Estimates the moves of a KV cache between one instance and many: each zone
 * is looked up once, however many instances it has.
 *
 * @param state - state of an entry
 * @param peerId - the one instance; empty when it is not known yet, then near each
 * @param kvBytes - size of the cache
 * @param atMs - monotonic time
 * @returns tells the milliseconds for a zone, both hops included
 */
export function transferMsByZone (state: State, peerId: InstanceId, kvBytes: number, atMs: number): (zone: AvailabilityZone) => number {
  const known = new Map<AvailabilityZone, number>()
  const peerZone = peerId === '' ? undefined : zoneOf(state, peerId)
  return (zone) => {
    const cached = known.get(zone)
    if (cached !== undefined) return cached
    const rate = zoneTransferRate(state, zone, peerZone ?? zone, atMs)
    const moveMs = kvBytes / rate * MS_PER_SECOND + ASSUMED_HOP_MS
    known.set(zone, moveMs)
    return moveMs
  }
}

/**
 * Estimates when a decode replica has memory for one more request.
 *
 * @param member - the replica
 * @param atMs - monotonic time
 * @returns milliseconds from now; 0 when nothing, or nothing of late, was heard
 */
export function decodeReadyMs (member: Member, atMs: number): number {
  if (member.load === undefined || member.load.totalKvBytes === 0) return 0
  if (atMs - member.loadSeenAtMs > LOAD_MEMORY_MS) return 0
  return Math.max(0, member.load.readyInMs - (atMs - member.loadSeenAtMs))
}

/**
 * Tells how full the decode memory of a replica is.
 *
 * @param member - the replica
 * @returns a part of 1; 0 when nothing was heard
 */
export function decodeFill (member: Member): number {
  const load = member.load
  if (load === undefined || load.totalKvBytes === 0) return 0
  return 1 - load.freeKvBytes / load.totalKvBytes
}
