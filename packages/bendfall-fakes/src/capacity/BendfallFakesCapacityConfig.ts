/**
 * Measures how the cost of the configuration grows with its size: bytes, parse
 * time, memory and merge patches.
 *
 * @module
 */
import { decodeConfig } from 'bendfall-core'
import type { Config } from 'bendfall-core'
import { createConfigHistory, diffConfig, patchConfig } from 'bendfall-node'
import { FULL_CONFIG, createConfig } from './BendfallFakesCapacityFleet.js'
import type { ConfigSize } from './BendfallFakesCapacityFleet.js'
import { pointsAt, retainedBytes, timeUs } from './BendfallFakesCapacityMeter.js'
import type { SlopeCase } from './BendfallFakesCapacityMeter.js'

const EMPTY: ConfigSize = { clients: 0, availabilityZones: 0, assignments: 0 }
const CLIENT_COUNTS = [165, 330, 660]
const ZONE_COUNTS = [6, 12, 24]
const ASSIGNMENT_COUNTS = [1_500, 3_000, 6_000, 12_000]
const ITERATIONS = 5

function textOf (part: Partial<ConfigSize>): string {
  return JSON.stringify(createConfig(1, { ...EMPTY, ...part }))
}

function linkPoints (value: (zones: number) => number): ReadonlyArray<{ readonly size: number, readonly value: number }> {
  return pointsAt(ZONE_COUNTS, value).map(({ size, value: bytes }) => ({ size: size * (size - 1) / 2, value: bytes }))
}

function parsePoints (): ReadonlyArray<{ readonly size: number, readonly value: number }> {
  return ASSIGNMENT_COUNTS.map((assignments) => {
    const text = textOf({ assignments })
    return { size: text.length, value: timeUs(() => () => { for (let iteration = 0; iteration < ITERATIONS; iteration++) decodeConfig(text) }) / ITERATIONS }
  })
}

function keptBytes (assignments: number): number {
  return retainedBytes(() => JSON.parse(textOf({ assignments })))
}

function patchCreateUs (assignments: number): number {
  const [base, current] = [1, 2].map((version) => createConfig(version, { ...FULL_CONFIG, assignments }))
  return timeUs(() => () => { for (let iteration = 0; iteration < ITERATIONS; iteration++) diffConfig(base, current) }) / ITERATIONS
}

function patchApplyUs (assignments: number): number {
  const base = createConfig(1, { ...FULL_CONFIG, assignments })
  const [instanceId] = Object.keys(base.assignments)
  const patch = JSON.stringify(diffConfig(base, { ...base, version: 2, assignments: { ...base.assignments, [instanceId]: 'another' } }))
  return timeUs(() => () => { for (let iteration = 0; iteration < ITERATIONS; iteration++) patchConfig(base, JSON.parse(patch)) }) / ITERATIONS
}

/** Measurements over the size of the configuration. */
export const CONFIG_SLOPES = {
  clientBytes: { name: 'configuration, JSON', unit: 'B', per: 'client', measure: () => pointsAt(CLIENT_COUNTS, (clients) => textOf({ clients }).length) },
  linkBytes: { name: 'configuration, JSON', unit: 'B', per: 'link of two zones', measure: () => linkPoints((availabilityZones) => textOf({ availabilityZones }).length) },
  assignmentBytes: { name: 'configuration, JSON', unit: 'B', per: 'assignment', measure: () => pointsAt(ASSIGNMENT_COUNTS, (assignments) => textOf({ assignments }).length) },
  parseUs: { name: 'configuration, parsing and validation', unit: 'µs', per: 'byte', measure: parsePoints },
  keptBytes: { name: 'configuration in state', unit: 'B', per: 'assignment', measure: () => pointsAt(ASSIGNMENT_COUNTS, keptBytes) },
  patchCreateUs: { name: 'merge patch, creation', unit: 'µs', per: 'assignment', measure: () => pointsAt(ASSIGNMENT_COUNTS, patchCreateUs) },
  patchApplyUs: { name: 'merge patch, parsing and application', unit: 'µs', per: 'assignment', measure: () => pointsAt(ASSIGNMENT_COUNTS, patchApplyUs) }
} satisfies Readonly<Record<string, SlopeCase>>

/** Sizes in bytes of the configuration at the target size, as JSON. */
export interface ConfigBytes {
  /** The complete configuration. */
  readonly whole: number
  /** The merge patch that a process sends after a change of one client. */
  readonly clientPatch: number
  /** The merge patch after the assignment of one instance to a pool. */
  readonly assignmentPatch: number
}

/**
 * Measures the configuration of the target size.
 *
 * @returns sizes in bytes
 */
export function measureConfig (): ConfigBytes {
  const config = createConfig(1, FULL_CONFIG)
  const [instanceId] = Object.keys(config.assignments)
  const [clientId] = Object.keys(config.clients)
  return {
    whole: JSON.stringify(config).length,
    clientPatch: patchBytes(config, { clients: { ...config.clients, [clientId]: { shareWeight: 9 } } }),
    assignmentPatch: patchBytes(config, { assignments: { ...config.assignments, [instanceId]: 'another' } })
  }
}

function patchBytes (base: Config, change: Partial<Config>): number {
  const history = createConfigHistory()
  history.add(base)
  history.add({ ...base, ...change, version: base.version + 1 })
  return history.write(base.version, true).patchJson.length
}
