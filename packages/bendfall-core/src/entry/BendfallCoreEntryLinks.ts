/**
 * What transfers between two availability zones really get: links are shared
 * with transfers that this entry knows nothing of, so it goes by the rates that
 * its own transfers had.
 *
 * @module
 */
import type { LinkConfig } from '../BendfallCoreConfig.js'
import type { State } from '../BendfallCoreState.js'
import type { AvailabilityZone, InstanceId } from '../BendfallCoreTypes.js'
import { ASSUMED_LINK_BYTES_PER_SECOND } from './BendfallCoreEntryPolicy.js'
import type { LinkUse } from './BendfallCoreEntryState.js'
import { entryOf, updateEntry } from './BendfallCoreEntryUpdate.js'

const MS_PER_SECOND = 1000

/** Weight of a new rate in its mean. */
const RATE_WEIGHT = 0.3

/** A rate that was not seen again for this time counts for nothing any more. */
const RATE_MEMORY_MS = 10_000

/** Transfers that an idle link makes in less tell of hops and steps, not of it. */
const MIN_TRANSFER_MS = 20

/**
 * Estimates the rate that one more transfer would get.
 *
 * @param state - state of an entry
 * @param fromId - prefill instance
 * @param toId - decode instance
 * @param atMs - monotonic time
 * @returns bytes a second
 */
export function transferRate (state: State, fromId: InstanceId, toId: InstanceId, atMs: number): number {
  return zoneTransferRate(state, zoneOf(state, fromId), zoneOf(state, toId), atMs)
}

/**
 * Estimates the rate that one more transfer between two zones would get.
 *
 * @param state - state of an entry
 * @param from - one availability zone
 * @param to - the other, or the same
 * @param atMs - monotonic time
 * @returns bytes a second
 */
export function zoneTransferRate (state: State, from: AvailabilityZone, to: AvailabilityZone, atMs: number): number {
  const link = linkBetween(from, to)
  const configured = configuredRate(state, link)
  const use = entryOf(state).links.get(link.key)
  if (use === undefined || atMs - use.seenAtMs > RATE_MEMORY_MS) return configured
  return Math.min(configured, use.bytesPerSecond)
}

/**
 * Notes how a transfer went.
 *
 * @param state - state of an entry
 * @param fromId - prefill instance
 * @param toId - decode instance
 * @param kvBytes - bytes moved
 * @param tookMs - time from the ask to the first output
 * @param atMs - monotonic time
 * @returns the new state
 */
export function noteTransfer (state: State, fromId: InstanceId, toId: InstanceId, kvBytes: number, tookMs: number, atMs: number): State {
  const link = linkBetween(zoneOf(state, fromId), zoneOf(state, toId))
  if (kvBytes / configuredRate(state, link) * MS_PER_SECOND < MIN_TRANSFER_MS) return state
  const { links } = entryOf(state)
  const sample = kvBytes / Math.max(1, tookMs) * MS_PER_SECOND
  const mean = links.get(link.key)?.bytesPerSecond ?? sample
  const use: LinkUse = { bytesPerSecond: mean + (sample - mean) * RATE_WEIGHT, seenAtMs: atMs }
  return updateEntry(state, { links: links.set(link.key, use) })
}

interface Link {
  readonly key: string
  readonly one: AvailabilityZone
  readonly other: AvailabilityZone
}

/**
 * Finds the availability zone of an instance.
 *
 * @param state - state of an entry
 * @param instanceId - the instance
 * @returns its zone; empty when the instance is unknown
 */
export function zoneOf (state: State, instanceId: InstanceId): AvailabilityZone {
  return state.members.get(instanceId)?.record.availabilityZone ?? ''
}

function linkBetween (from: AvailabilityZone, to: AvailabilityZone): Link {
  const [one, other] = from < to ? [from, to] : [to, from]
  return { key: `${one}/${other}`, one, other }
}

type RatesByPair = ReadonlyMap<AvailabilityZone, ReadonlyMap<AvailabilityZone, number>>

// Derived from an immutable configuration: a decision weighs a pair for each
// candidate, and a search through all links would cost more than all the rest.
const ratesByLinks = new WeakMap<readonly LinkConfig[], RatesByPair>()

function configuredRate (state: State, { one, other }: Link): number {
  const links = state.config?.links
  if (links === undefined) return ASSUMED_LINK_BYTES_PER_SECOND
  return ratesOf(links).get(one)?.get(other) ?? ASSUMED_LINK_BYTES_PER_SECOND
}

function ratesOf (links: readonly LinkConfig[]): RatesByPair {
  const known = ratesByLinks.get(links)
  if (known !== undefined) return known
  const rates = indexRates(links)
  ratesByLinks.set(links, rates)
  return rates
}

// The first link that names a pair holds, in both directions.
function indexRates (links: readonly LinkConfig[]): RatesByPair {
  const rates = new Map<AvailabilityZone, Map<AvailabilityZone, number>>()
  for (const { from, to, bytesPerSecond } of [...links].reverse()) {
    putRate(rates, from, to, bytesPerSecond)
    putRate(rates, to, from, bytesPerSecond)
  }
  return rates
}

function putRate (rates: Map<AvailabilityZone, Map<AvailabilityZone, number>>, from: AvailabilityZone, to: AvailabilityZone, bytesPerSecond: number): void {
  const row = rates.get(from) ?? new Map<AvailabilityZone, number>()
  rates.set(from, row.set(to, bytesPerSecond))
}
