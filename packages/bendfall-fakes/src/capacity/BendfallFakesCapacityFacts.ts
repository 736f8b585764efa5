/**
 * Runs all measurements and collects them with the intervals and constants of the
 * code.
 *
 * @module
 */
import { MAX_HOME_CANDIDATES } from 'bendfall-core'
import { checkSettings } from 'bendfall-node'
import type { TimingSettings } from 'bendfall-node'
import { CONFIG_SLOPES, measureConfig } from './BendfallFakesCapacityConfig.js'
import type { ConfigBytes } from './BendfallFakesCapacityConfig.js'
import { ENTRY_SLOPES, readEntryConstants } from './BendfallFakesCapacityEntry.js'
import type { EntryConstants } from './BendfallFakesCapacityEntry.js'
import { fitLine } from './BendfallFakesCapacityFit.js'
import type { Line } from './BendfallFakesCapacityFit.js'
import { MEMBER_SLOPES } from './BendfallFakesCapacityMembers.js'
import { measureLoopback } from './BendfallFakesCapacityLoopback.js'
import type { LoopbackName } from './BendfallFakesCapacityLoopback.js'
import type { MeasuredPoints, SlopeCase } from './BendfallFakesCapacityMeter.js'
import type { Lines } from './BendfallFakesCapacityRow.js'
import { HOME_SLOPES, SIDECAR_SLOPES } from './BendfallFakesCapacitySidecar.js'
import { WIRE_SLOPES, measureWire } from './BendfallFakesCapacityWire.js'
import type { WireBytes } from './BendfallFakesCapacityWire.js'

/** A measurement with the line fitted to its points. */
export interface MeasuredSlope extends MeasuredPoints {
  readonly line: Line
}

/** Fitted lines and constants, by source. */
export interface Facts {
  readonly entry: Lines<keyof typeof ENTRY_SLOPES>
  readonly members: Lines<keyof typeof MEMBER_SLOPES>
  readonly sidecar: Lines<keyof typeof SIDECAR_SLOPES>
  readonly home: Lines<keyof typeof HOME_SLOPES>
  readonly config: Lines<keyof typeof CONFIG_SLOPES>
  readonly wire: Lines<keyof typeof WIRE_SLOPES>
  readonly loopback: Lines<LoopbackName>
  readonly wireBytes: WireBytes
  readonly configBytes: ConfigBytes
  readonly constants: EntryConstants
  readonly timings: TimingSettings
  readonly homeCandidates: number
  /** Resident memory in bytes of a process that has only loaded the packages. */
  readonly baseBytes: number
}

/** Facts, and the measurements that they come from. */
export interface MeasuredFacts {
  readonly facts: Facts
  readonly slopes: readonly MeasuredSlope[]
}

/**
 * Runs all measurements.
 *
 * @param baseBytes - resident memory before the first measurement
 * @returns the facts and the measurements behind them
 */
export async function measureFacts (baseBytes: number): Promise<MeasuredFacts> {
  const slopes: MeasuredSlope[] = []
  const fitAndRecord = (measured: MeasuredPoints): Line => {
    const line = fitLine(measured.points)
    slopes.push({ ...measured, line })
    return line
  }
  const measure = <Name extends string>(cases: Readonly<Record<Name, SlopeCase>>): Lines<Name> =>
    mapValues(cases, (slopeCase) => fitAndRecord({ ...slopeCase, points: slopeCase.measure() }))
  const facts: Facts = {
    entry: measure(ENTRY_SLOPES),
    members: measure(MEMBER_SLOPES),
    sidecar: measure(SIDECAR_SLOPES),
    home: measure(HOME_SLOPES),
    config: measure(CONFIG_SLOPES),
    wire: measure(WIRE_SLOPES),
    loopback: mapValues(await measureLoopback(), fitAndRecord),
    wireBytes: measureWire(),
    configBytes: measureConfig(),
    constants: readEntryConstants(),
    timings: readTimings(),
    homeCandidates: MAX_HOME_CANDIDATES,
    baseBytes
  }
  return { facts, slopes }
}

function mapValues<Name extends string, From, To> (record: Readonly<Record<Name, From>>, transform: (value: From) => To): Readonly<Record<Name, To>> {
  const entries = Object.entries<From>(record).map(([name, value]) => [name, transform(value)] as const)
  return Object.fromEntries(entries) as Record<Name, To>
}

function readTimings (): TimingSettings {
  const settings = checkSettings({
    instanceId: 'entry-1',
    availabilityZone: 'zadar-hall',
    role: 'entry',
    listen: { callers: '127.0.0.1:0', peers: '127.0.0.1:0' },
    platform: { keyValueUrl: 'http://127.0.0.1:1', instanceListUrl: 'http://127.0.0.1:2' }
  }, 'capacity')
  return settings.unwrap().timings
}
